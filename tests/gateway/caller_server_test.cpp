#include "gateway/caller_server_task.h"

#include "platform/platform.h"

#include <algorithm>
#include <array>
#include <optional>
#include <string>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t largeBody = 32 * 1024 * 1024;

/// A caller_server_task whose dispatcher is replaced by the test, and a caller with a small receive window that reads when the test says
/// so.
struct caller_server_fixture
{
    event_loop loop;
    platform_adapter adapter;
    std::shared_ptr<mailbox<caller_server_message>> box = std::make_shared<mailbox<caller_server_message>>(loop, 100);
    std::shared_ptr<mailbox<dispatch_message>> dispatcher = std::make_shared<mailbox<dispatch_message>>(loop, 100);
    std::optional<flow_id> arrived;
    socket_address bound;
    std::shared_ptr<caller_memory> memory =
        std::make_shared<caller_memory>(caller_memory_limits::of(byte_count(512LL * 1024 * 1024), 4096));
    std::unique_ptr<caller_server_task> server;
    int caller = -1;
    bool isFinished = false;
    bool isCallerAtEnd = false;
    std::size_t bytesRead = 0;
    std::string firstBytes;

    caller_server_fixture()
    {
        dispatcher->attach([this](dispatch_message &&message) {
            if (const auto *request = std::get_if<request_arrived>(&message)) {
                arrived = request->flow;
            }
        });
        const sink<caller_server_listening> listening([this](const caller_server_listening &at) {
            bound = at.address;
            return post_result::delivered;
        });
        server = std::make_unique<caller_server_task>(loop,
                                                      box,
                                                      caller_server_settings {{"127.0.0.1", 0}, 8000ms},
                                                      memory,
                                                      adapter.dialects().callers,
                                                      address(dispatcher),
                                                      listening,
                                                      event_log());
        server->setHandlers([](const error &) {}, [this] { isFinished = true; });
        CHECK_TRUE(server->start().has_value());
    }

    ~caller_server_fixture()
    {
        ::close(caller);
    }

    void connectAndSend(const std::string &text)
    {
        caller = ::socket(AF_INET, SOCK_STREAM, 0);
        const int window = 16 * 1024;
        ::setsockopt(caller, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
        sockaddr_in to = {};
        to.sin_family = AF_INET;
        to.sin_port = htons(bound.port);
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        LONGS_EQUAL(0, ::connect(caller, reinterpret_cast<const sockaddr *>(&to), sizeof(to)));
        ::fcntl(caller, F_SETFL, O_NONBLOCK);
        send(text);
    }

    void send(const std::string &text) const
    {
        LONGS_EQUAL(text.size(), ::send(caller, text.data(), text.size(), 0));
    }

    void post(caller_server_message message)
    {
        CHECK(box->post(std::move(message)) == post_result::delivered);
    }

    void respond(std::size_t bodySize)
    {
        caller_full_response answer;
        answer.flow = *arrived;
        answer.response.status = 200;
        answer.response.body = std::string(bodySize, 'x');
        post(std::move(answer));
    }

    void run(std::chrono::milliseconds time)
    {
        timer end(loop, [this] { loop.stop(); });
        end.start(deadline::after(boot_clock::now(), time));
        loop.run();
    }

    void read()
    {
        std::array<char, 256 * 1024> buffer = {};
        ssize_t size = ::recv(caller, buffer.data(), buffer.size(), 0);
        while (size > 0) {
            firstBytes.append(buffer.data(),
                              std::min<std::size_t>(static_cast<std::size_t>(size), 1024 - std::min<std::size_t>(firstBytes.size(), 1024)));
            bytesRead += static_cast<std::size_t>(size);
            size = ::recv(caller, buffer.data(), buffer.size(), 0);
        }
        isCallerAtEnd = isCallerAtEnd || size == 0;
    }

    // Reads until the connection ends or the time is over.
    void readFor(std::chrono::milliseconds time)
    {
        const instant until = boot_clock::now() + time;
        while (!isCallerAtEnd && boot_clock::now() < until) {
            run(1ms);
            read();
        }
    }
};

} // namespace

TEST_GROUP(caller_server) {};

// A response to a caller that pauses for more than a second was cut although the caller went on reading.
TEST(caller_server, completesResponsesToSlowCallers)
{
    caller_server_fixture fixture;
    fixture.connectAndSend("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    fixture.run(50ms);
    fixture.respond(largeBody);
    fixture.run(1500ms);
    fixture.readFor(5000ms);
    CHECK_TRUE(fixture.isCallerAtEnd);
    CHECK(fixture.bytesRead > largeBody);
}

// A shutdown ended while responses were still in the output buffers, which cut them (LOST beside a SIGTERM).
TEST(caller_server, finishesTheShutdownAfterAllBytesAreSent)
{
    caller_server_fixture fixture;
    fixture.connectAndSend("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.run(50ms);
    fixture.server->beginShutdown();
    fixture.respond(largeBody);
    for (int round = 0; round < 20; ++round) {
        fixture.run(200ms);
        std::array<char, 1024> few = {};
        const ssize_t size = ::recv(fixture.caller, few.data(), few.size(), 0);
        fixture.bytesRead += size > 0 ? static_cast<std::size_t>(size) : 0;
    }
    CHECK_FALSE(fixture.isFinished);
    fixture.readFor(3000ms);
    CHECK(fixture.bytesRead > largeBody);
    fixture.run(300ms);
    CHECK_TRUE(fixture.isFinished);
}

// A request whose body is still arriving when the other requests are done must be answered before the shutdown ends.
TEST(caller_server, finishesTheShutdownAfterPartlyReadRequests)
{
    caller_server_fixture fixture;
    caller_limits limits;
    limits.idleTimeout = 20s;
    fixture.post(limits_changed {limits});
    fixture.connectAndSend("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf ");
    fixture.run(50ms);
    fixture.server->beginShutdown();
    fixture.run(4000ms);
    CHECK_FALSE(fixture.isFinished);
    fixture.send("whole");
    fixture.run(50ms);
    CHECK_TRUE(fixture.arrived.has_value());
    fixture.respond(10);
    fixture.readFor(1000ms);
    CHECK(fixture.bytesRead > 10);
    fixture.run(1300ms);
    CHECK_TRUE(fixture.isFinished);
}

// Guards against a caller whose connection ends without an answer because its request was only partly read at the end of the grace period.
TEST(caller_server, refusesPartlyReadRequestsAtTheEndOfTheGracePeriod)
{
    caller_server_fixture fixture;
    caller_limits limits;
    limits.idleTimeout = 20s;
    fixture.post(limits_changed {limits});
    fixture.connectAndSend("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf ");
    fixture.run(50ms);
    fixture.server->beginShutdown();
    fixture.run(7500ms);
    fixture.read();
    CHECK(fixture.firstBytes.find("HTTP/1.1 503") == 0);
    CHECK(fixture.firstBytes.find("Retry-After") != std::string::npos);
    CHECK_FALSE(fixture.arrived.has_value());
    fixture.run(400ms);
    CHECK_TRUE(fixture.isFinished);
}

// A changed limit for heads did not apply to connections that were open before, so an abusive caller could keep the old one.
TEST(caller_server, appliesAChangedHeadLimitToKeptConnections)
{
    caller_server_fixture fixture;
    fixture.connectAndSend("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.run(50ms);
    fixture.respond(1);
    caller_limits lowered;
    lowered.head = byte_count(64);
    fixture.post(limits_changed {lowered});
    fixture.readFor(50ms);
    fixture.firstBytes.clear();
    fixture.send("GET /x HTTP/1.1\r\nHost: h\r\nX-Long: " + std::string(100, 'x') + "\r\n\r\n");
    fixture.readFor(200ms);
    STRCMP_CONTAINS("HTTP/1.1 431", fixture.firstBytes.c_str());
}

// A request whose announced body does not fit the account was read all the same. It is refused before its body, and has not run.
TEST(caller_server, refusesABodyThatDoesNotFitTheAccountBeforeItIsRead)
{
    caller_server_fixture fixture;
    memory_charge others(fixture.memory, source_address(1));
    others.force(fixture.memory->limits().total);
    fixture.connectAndSend("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n");
    fixture.readFor(200ms);
    STRCMP_CONTAINS("HTTP/1.1 503", fixture.firstBytes.c_str());
    STRCMP_CONTAINS("Retry-After: 0.5", fixture.firstBytes.c_str());
    CHECK_FALSE(fixture.arrived.has_value());
    LONGS_EQUAL(1, fixture.memory->takeShed(memory_bound::total));
}
