// Clients that nobody controls, against one gateway process: it must stay alive, within the memory and descriptors of its machine, and
// answer an ordinary request while the abusive connections are still open. The numbers of clients and the bounds are fixed.

#include "abusive_crowd.h"
#include "process_watch.h"
#include "soak/soak_site.h"

#include <algorithm>
#include <csignal>

#include <CppUTest/TestHarness.h>
#include <sys/resource.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

// Memory of the smallest machines.
constexpr std::int64_t maxResidentKb = 88 * 1024;
constexpr rlim_t descriptorLimit = 400;
// Some descriptors must stay free for connections to endpoints and to the store.
constexpr std::size_t maxOpenDescriptors = 380;
constexpr int statusOk = 200;
constexpr auto callLimit = 15s;
constexpr std::size_t largeResponse = 6 * 1024 * 1024;
constexpr std::size_t bodyLimit = 4 * 1024 * 1024;

/// Lowers the number of descriptors of processes that are started during the lifetime of the object.
class lowered_descriptor_limit
{
public:
    lowered_descriptor_limit()
    {
        getrlimit(RLIMIT_NOFILE, &m_before);
        const rlimit lowered = {descriptorLimit, m_before.rlim_max};
        setrlimit(RLIMIT_NOFILE, &lowered);
    }

    ~lowered_descriptor_limit()
    {
        setrlimit(RLIMIT_NOFILE, &m_before);
    }

    lowered_descriptor_limit(const lowered_descriptor_limit &) = delete;
    lowered_descriptor_limit &operator=(const lowered_descriptor_limit &) = delete;

private:
    rlimit m_before = {};
};

void answer(const standin_backend &backend, const std::shared_ptr<http_exchange> &exchange)
{
    http_response response = backend.success(exchange->request());
    response.body = exchange->request().target == "/safe/large" ? std::string(largeResponse, 'x') : "body";
    exchange->respond(response);
}

std::string requestHead(const std::string &method, const std::string &target)
{
    return method + " " + target
        + " HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: 4000\r\nAuthorization: Bearer k1\r\n";
}

std::string repeated(const std::string &text, std::size_t count)
{
    std::string all;
    for (std::size_t i = 0; i < count; ++i) {
        all += text;
    }
    return all;
}

struct attacked_gateway
{
    event_loop loop;
    soak_site site {loop, soak_plan {}, answer};
    abusive_crowd crowd {loop};
    timer pauseEnd {loop, [this] {
                        loop.stop();
                    }};
    std::size_t mostDescriptors = 0;
    int lastRequest = 0;

    attacked_gateway()
    {
        // The gateway closes connections on which the crowd still sends.
        std::signal(SIGPIPE, SIG_IGN);
        const lowered_descriptor_limit lowered;
        CHECK_TRUE(site.start(1).has_value());
        CHECK_TRUE(isAnswered());
    }

    soak_gateway &gateway()
    {
        return site.gateways().front();
    }

    void wait(std::chrono::milliseconds time)
    {
        const instant until = boot_clock::now() + time;
        while (boot_clock::now() < until) {
            pauseEnd.start(deadline::after(boot_clock::now(), 50ms));
            loop.run();
            noteDescriptors();
        }
    }

    process_watch watch()
    {
        return process_watch(gateway().process.pid());
    }

    void noteDescriptors()
    {
        mostDescriptors = std::max(mostDescriptors, watch().openDescriptors());
    }

    /// Whether an ordinary caller that retries gets an answer.
    bool isAnswered()
    {
        const instant begun = boot_clock::now();
        while (boot_clock::now() - begun < callLimit) {
            if (callOnce() == statusOk) {
                return true;
            }
            wait(50ms);
        }
        return false;
    }

    int callOnce()
    {
        http_request request;
        request.target = "/safe/x";
        request.headers = {
            {"X-Attempt-Id", "ordinary" + std::to_string(++lastRequest)}, {"X-Deadline-Ms", "3000"}, {"Authorization", "Bearer k1"}};
        int status = 0;
        http_call_handlers handlers;
        handlers.onDone = [&](const http_call_result &result) {
            status = result ? result.value().status : 0;
            loop.stop();
        };
        gateway().client->send(request, std::move(handlers), deadline::after(boot_clock::now(), 3s));
        loop.run();
        return status;
    }

    void checkItStands()
    {
        CHECK_TRUE(isAnswered());
        CHECK_FALSE(gateway().process.hasEnded());
        noteDescriptors();
        const std::int64_t peak = watch().peakResidentKb();
        CHECK_TEXT(peak > 0 && peak <= maxResidentKb, ("resident memory: " + std::to_string(peak) + " KB").c_str());
        CHECK_TEXT(mostDescriptors <= maxOpenDescriptors, ("open descriptors: " + std::to_string(mostDescriptors)).c_str());
    }
};

} // namespace

TEST_GROUP(abusive_callers)
{
    attacked_gateway target;
};

// Parsed header lines cost many times their bytes: a line of 4 bytes takes 64 in a list of fields.
TEST(abusive_callers, manyShortHeaderLines)
{
    target.crowd.add(target.gateway().callers, 350, requestHead("GET", "/safe/x") + repeated("a:\r\n", 3990));
    target.wait(2s);
    target.checkItStands();
}

// Empty values, folded and repeated lines and a very long name, in complete requests and in heads that never end.
TEST(abusive_callers, oddHeaderLines)
{
    const std::string odd =
        requestHead("GET", "/safe/x") + repeated("b:\r\n", 900) + repeated("c: d\r\n\te\r\n", 300) + std::string(6000, 'n') + ": v\r\n";
    target.crowd.add(target.gateway().callers, 150, odd);
    target.crowd.add(target.gateway().callers, 150, odd + "\r\n");
    target.wait(2s);
    target.checkItStands();
}

// Bodies of legal size that stop short of their end add up over all connections.
TEST(abusive_callers, manyUnfinishedBodiesInLargeChunks)
{
    const std::string head = requestHead("POST", "/unsafe/x") + "Transfer-Encoding: chunked\r\n\r\n";
    target.crowd.add(target.gateway().callers, 48, head + "3f0000\r\n" + std::string(0x3f0000, 'x') + "\r\n");
    target.wait(3s);
    target.checkItStands();
}

// Chunks of one byte carry six bytes of framing each.
TEST(abusive_callers, manyUnfinishedBodiesInTinyChunks)
{
    const std::string head = requestHead("POST", "/unsafe/x") + "Transfer-Encoding: chunked\r\n\r\n";
    target.crowd.add(target.gateway().callers, 64, head + repeated("1\r\nx\r\n", 1'300'000));
    target.wait(3s);
    target.checkItStands();
}

// Whole bodies at once: every copy on the way to an endpoint counts.
TEST(abusive_callers, manyWholeLargeBodies)
{
    const std::string head = requestHead("POST", "/unsafe/x") + "Content-Length: 4000000\r\n\r\n";
    target.crowd.add(target.gateway().callers, 40, head + std::string(4'000'000, 'x'));
    target.wait(3s);
    target.checkItStands();
}

// Bodies over the limit, announced and simply sent, must not be stored.
TEST(abusive_callers, bodiesFarOverTheLimit)
{
    const std::string announced = requestHead("POST", "/unsafe/x") + "Content-Length: 8388608\r\n\r\n" + std::string(2 * bodyLimit, 'x');
    const std::string sent =
        requestHead("POST", "/unsafe/x") + "Transfer-Encoding: chunked\r\n\r\n800000\r\n" + std::string(2 * bodyLimit, 'x') + "\r\n";
    target.crowd.add(target.gateway().callers, 20, announced);
    target.crowd.add(target.gateway().callers, 20, sent);
    target.wait(3s);
    target.checkItStands();
}

// More connections than descriptors, which send nothing, half a head, or one byte at a time.
TEST(abusive_callers, manyConnectionsThatSendNextToNothing)
{
    target.crowd.add(target.gateway().callers, 250, "");
    target.crowd.add(target.gateway().callers, 250, "GET /safe/x HTTP/1.1\r\nHost: 1");
    for (int second = 0; second < 3; ++second) {
        target.crowd.sendMore("G");
        target.wait(1s);
    }
    target.checkItStands();
}

// The same at the readiness, metrics and peers' addresses.
TEST(abusive_callers, manyConnectionsToTheOtherAddresses)
{
    for (const socket_address &to : {target.gateway().readiness, target.gateway().metrics, target.gateway().peers}) {
        target.crowd.add(to, 100, "");
        target.crowd.add(to, 100, "GET /ready HTTP/1.1\r\nHost: 1");
    }
    target.wait(2s);
    target.checkItStands();
}

// Responses that callers do not read are kept until the callers are given up.
TEST(abusive_callers, callersThatDoNotReadTheirResponses)
{
    target.crowd.add(target.gateway().callers, 60, requestHead("GET", "/safe/large") + "\r\n", false);
    target.wait(4s);
    target.checkItStands();
}
