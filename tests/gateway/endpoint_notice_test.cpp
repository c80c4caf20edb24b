#include "gateway/endpoint_client_task.h"
#include "gateway/fleet_state.h"
#include "gateway/stage_control_task.h"
#include "platform/platform.h"
#include "standins/users_platform/standin_backend.h"

#include <algorithm>
#include <array>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

constexpr auto guardTime = 20s;

/// An address at which connections stay unestablished: its queue of connections that wait to be accepted is full.
class full_listener
{
public:
    full_listener()
    {
        sockaddr_in own = {};
        own.sin_family = AF_INET;
        own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(own);
        CHECK(::bind(m_listener, reinterpret_cast<sockaddr *>(&own), size) == 0);
        CHECK(::listen(m_listener, 0) == 0);
        CHECK(::getsockname(m_listener, reinterpret_cast<sockaddr *>(&own), &size) == 0);
        m_address = {"127.0.0.1", ntohs(own.sin_port)};
        for (int &waiting : m_waiting) {
            waiting = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            static_cast<void>(::connect(waiting, reinterpret_cast<sockaddr *>(&own), size));
        }
    }

    ~full_listener()
    {
        ::close(m_listener);
        for (const int waiting : m_waiting) {
            ::close(waiting);
        }
        for (const int accepted : m_accepted) {
            ::close(accepted);
        }
    }

    full_listener(const full_listener &) = delete;
    full_listener &operator=(const full_listener &) = delete;

    const socket_address &address() const
    {
        return m_address;
    }

    /// Accepts every connection that has been established and returns the bytes that have arrived on them.
    std::string acceptAll()
    {
        const pollfd established = {m_listener, POLLIN, 0};
        for (pollfd next = established; ::poll(&next, 1, 0) > 0; next = established) {
            m_accepted.push_back(::accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        }
        std::array<char, 4096> bytes {};
        for (const int socket : m_accepted) {
            for (ssize_t read = 1; read > 0;) {
                read = ::recv(socket, bytes.data(), bytes.size(), 0);
                m_received.append(bytes.data(), static_cast<std::size_t>(std::max<ssize_t>(read, 0)));
            }
        }
        return m_received;
    }

private:
    int m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    std::array<int, 3> m_waiting {};
    std::vector<int> m_accepted;
    std::string m_received;
    socket_address m_address;
};

/// An endpoint_client_task with one endpoint, whose messages to the dispatcher are collected.
struct client_fixture
{
    event_loop loop;
    timer guard {loop, [this] {
                     loop.stop();
                 }};
    standin_backend backend {loop, "b"};
    platform_adapter adapter;
    std::shared_ptr<mailbox<dispatch_message>> toDispatcher = std::make_shared<mailbox<dispatch_message>>(loop, 100);
    std::shared_ptr<mailbox<endpoint_client_message>> toClient = std::make_shared<mailbox<endpoint_client_message>>(loop, 100);
    endpoint_client_task endpointClient {loop, toClient, adapter.dialects().endpoints, address(toDispatcher), {}};
    std::vector<endpoint_notice_received> notices;
    std::map<flow_id, attempt_ended> ended;
    std::size_t heads = 0;

    client_fixture()
    {
        guard.start(deadline::after(boot_clock::now(), guardTime));
        toDispatcher->attach([this](dispatch_message &&message) {
            if (auto *notice = std::get_if<endpoint_notice_received>(&message)) {
                notices.push_back(std::move(*notice));
            } else if (auto *end = std::get_if<attempt_ended>(&message)) {
                ended[end->flow] = std::move(*end);
            } else if (std::holds_alternative<attempt_response_head>(message)) {
                ++heads;
            }
            loop.stop();
        });
    }

    endpoint_process process(std::int64_t startTime = 10) const
    {
        return {endpoint_id("b"), endpoint_start_time(startTime)};
    }

    void open(std::int64_t flow, const socket_address &to, bool isStreamed = false, std::int64_t startTime = 10)
    {
        open_attempt command;
        command.flow = flow_id(flow);
        command.number = attempt_number(1);
        command.process = process(startTime);
        command.address = to;
        command.request.target = "/x";
        command.request.headers = {{"Host", "h"}, {"X-Attempt-Id", "a" + std::to_string(flow)}};
        command.expected = attempt_id("a" + std::to_string(flow));
        command.isStreamed = isStreamed;
        CHECK(toClient->post(std::move(command)) == post_result::delivered);
    }

    attempt_outcome runUntilEnded(std::int64_t flow)
    {
        const instant begun = boot_clock::now();
        while (ended.count(flow_id(flow)) == 0 && boot_clock::now() - begun < guardTime) {
            loop.run();
        }
        CHECK(ended.count(flow_id(flow)) == 1);
        return ended[flow_id(flow)].end;
    }
};

} // namespace

TEST_GROUP(endpoint_client_notices)
{
    client_fixture fixture;
};

// The dispatcher has chosen the endpoint before it knew; the request must not be written, not even to a connection that is open already.
TEST(endpoint_client_notices, withholdRequestsThatWereAlreadyChosen)
{
    fixture.backend.setLeaving();
    fixture.open(1, fixture.backend.address());
    CHECK(fixture.runUntilEnded(1) == attempt_outcome::whole);
    CHECK_TRUE(fixture.notices.front().notice.isLeaving);
    CHECK(fixture.notices.front().request == attempt_id("a1"));
    fixture.open(2, fixture.backend.address());
    CHECK(fixture.runUntilEnded(2) == attempt_outcome::withheld);
    LONGS_EQUAL(1, fixture.backend.calls().size());
    // The dispatcher may have been restarted meanwhile, so it is told again.
    LONGS_EQUAL(2, fixture.notices.size());
    // A new process has not said so.
    fixture.backend.restart();
    fixture.open(3, fixture.backend.address(), false, 11);
    CHECK(fixture.runUntilEnded(3) == attempt_outcome::whole);
}

// Another endpoint has taken over the address; it is the one that says that it leaves.
TEST(endpoint_client_notices, reportWhichAddressAMisdirectedRequestReached)
{
    fixture.backend.setRequestHandler([&](const std::shared_ptr<http_exchange> &exchange) {
        http_response response = fixture.backend.success(exchange->request());
        response.status = 421;
        exchange->respond(response);
    });
    fixture.backend.setLeaving();
    fixture.open(1, fixture.backend.address());
    CHECK(fixture.runUntilEnded(1) == attempt_outcome::misdirected);
    CHECK(fixture.notices.front().misdirectedTo == fixture.backend.address());
}

// A request waits for its connection when the notice comes.
TEST(endpoint_client_notices, withholdRequestsThatWaitForTheirConnection)
{
    const full_listener slow;
    fixture.backend.setPause("2");
    fixture.open(1, slow.address());
    fixture.open(2, fixture.backend.address());
    CHECK(fixture.runUntilEnded(2) == attempt_outcome::rejected);
    CHECK(fixture.runUntilEnded(1) == attempt_outcome::withheld);
}

// Guards against a request that reaches an endpoint long after it was chosen, when the endpoint may have left: the kernel repeats the first
// packet of a connection after a second, and the connection may then be established (DRAIN).
TEST(endpoint_client_notices, areNotNeededForRequestsWhoseConnectionIsLate)
{
    full_listener slow;
    fixture.open(1, slow.address());
    CHECK(fixture.runUntilEnded(1) == attempt_outcome::not_sent);
    timer end(fixture.loop, [&] { fixture.loop.stop(); });
    for (int round = 0; round < 30; ++round) {
        STRCMP_EQUAL("", slow.acceptAll().c_str());
        end.start(deadline::after(boot_clock::now(), 50ms));
        fixture.loop.run();
    }
    // The listener does receive what is sent to it.
    fixture.open(2, slow.address());
    while (slow.acceptAll().empty() && fixture.ended.count(flow_id(2)) == 0) {
        end.start(deadline::after(boot_clock::now(), 5ms));
        fixture.loop.run();
    }
    CHECK(slow.acceptAll().find("X-Attempt-Id: a2") != std::string::npos);
}

// A stream may run for a long time after the head that says that the endpoint leaves.
TEST(endpoint_client_notices, areReadFromTheHeadOfARunningStream)
{
    std::shared_ptr<http_exchange> running;
    fixture.backend.setLeaving();
    fixture.backend.setRequestHandler([&](const std::shared_ptr<http_exchange> &exchange) {
        running = exchange;
        exchange->startStream(200, fixture.backend.success(exchange->request()).headers);
    });
    fixture.open(1, fixture.backend.address(), true);
    while (fixture.heads == 0) {
        fixture.loop.run();
    }
    LONGS_EQUAL(1, fixture.notices.size());
    CHECK_TRUE(fixture.notices.front().notice.isLeaving);
    CHECK_TRUE(fixture.ended.empty());
    running->endStream();
}

// The response to a call that releases something counts, and a leaving endpoint still gets such calls; a pausing one does not.
TEST(endpoint_client_notices, areReadFromReleaseCalls)
{
    const auto release = [&] {
        http_request call;
        call.method = "DELETE";
        call.target = "/kv-handle/x";
        CHECK(fixture.toClient->post(fire_and_forget_call {fixture.process(), fixture.backend.address(), call}) == post_result::delivered);
    };
    const auto runUntilNotices = [&](std::size_t count) {
        while (fixture.notices.size() < count) {
            fixture.loop.run();
        }
    };
    fixture.backend.setLeaving();
    release();
    runUntilNotices(1);
    CHECK_TRUE(fixture.notices.back().notice.isLeaving);
    fixture.backend.setPause("5");
    release();
    runUntilNotices(2);
    LONGS_EQUAL(2, fixture.backend.calls().size());
    release();
    runUntilNotices(3);
    LONGS_EQUAL(2, fixture.backend.calls().size());
}

namespace
{

/// A stage_control_task that holds the stage control, and two engines of which one has to change its stage.
struct stage_control_fixture
{
    event_loop loop;
    timer guard {loop, [this] {
                     loop.stop();
                 }};
    timer pauseEnd {loop, [this] {
                        loop.stop();
                    }};
    standin_backend engine {loop, "e"};
    platform_adapter adapter;
    std::shared_ptr<mailbox<dispatch_message>> toDispatcher = std::make_shared<mailbox<dispatch_message>>(loop, 100);
    std::shared_ptr<mailbox<stage_control_message>> toStageControl = std::make_shared<mailbox<stage_control_message>>(loop, 100);
    stage_control_task stageControl {
        loop, toStageControl, {instance_id("me"), 100ms, 50}, adapter.dialects().endpoints, address(toDispatcher), {}};
    std::vector<endpoint_notice_received> notices;

    stage_control_fixture()
    {
        guard.start(deadline::after(boot_clock::now(), guardTime));
        toDispatcher->attach([this](dispatch_message &&message) { notices.push_back(std::get<endpoint_notice_received>(message)); });
        engine.setRequestHandler([this](const std::shared_ptr<http_exchange> &exchange) {
            http_response response = engine.success(exchange->request());
            response.body = R"({"stage":"decode","busy":false,"sequence":0})";
            exchange->respond(response);
        });
    }

    void wait(std::chrono::milliseconds time)
    {
        pauseEnd.start(deadline::after(boot_clock::now(), time));
        loop.run();
    }

    // Lists two decode engines at the stand-in's address until an engine is called, or for 4 s.
    void listEngines(bool mayBeCalled)
    {
        engines_listed listed;
        for (const char *name : {"e", "f"}) {
            engine_snapshot one;
            one.id = endpoint_id(name);
            one.service = service_id("s");
            one.address = engine.address();
            one.startTime = endpoint_start_time(10);
            one.mayBeCalled = mayBeCalled;
            listed.engines.push_back(one);
        }
        const instant begun = boot_clock::now();
        while (engine.calls().empty() && boot_clock::now() - begun < 4s) {
            CHECK(toStageControl->post(assignment_confirmed {fencing_token(1), true, {}, boot_clock::now()}) == post_result::delivered);
            CHECK(toStageControl->post(engines_listed {listed}) == post_result::delivered);
            wait(100ms);
        }
    }
};

} // namespace

TEST_GROUP(fleet_notices) {};

// The store lists a service's leaving endpoint as ready, under an address that another entry still names as well.
TEST(fleet_notices, markTheEndpointAtTheAddressOfAMisdirectedRequest)
{
    platform_adapter adapter;
    fleet_state fleet({instance_id("me"), data_centre_id("z"), {}}, {}, adapter.dialects().records, {});
    const instant now(1000s);
    const std::string plan = R"({"version":1,"routes":[],"services":[{"name":"s"}],"tenants":[]})";
    fleet.change(store_topic::operators, {{"config", plan, store_offset(1)}}, {now, {}});
    for (const char *name : {"gone", "heir", "other"}) {
        const std::string port = name == std::string("other") ? "81" : "80";
        const std::string entry = R"({"service":"s","address":"10.0.0.1:)" + port
            + R"(","zone":"z","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"sequence":1,"born":10})";
        fleet.change(store_topic::endpoints, {{name, entry, store_offset(2)}}, {now, {}});
    }
    random_source random(7);
    endpoint_notice_received received;
    received.from = {endpoint_id("gone"), endpoint_start_time(10)};
    received.notice.isLeaving = true;
    received.misdirectedTo = socket_address {"10.0.0.1", 80};
    CHECK_TRUE(fleet.noteNotice(received, now, random).isNewlyLeaving);
    CHECK_FALSE(fleet.endpoints().mayReceive(endpoint_id("heir"), now));
    CHECK_TRUE(fleet.endpoints().mayReceive(endpoint_id("other"), now));
    CHECK_FALSE(fleet.noteNotice(received, now, random).isNewlyLeaving);
}

TEST_GROUP(stage_control_notices)
{
    stage_control_fixture fixture;
};

// An order to an engine that has just said that it leaves would be in vain, and the statement must reach the dispatcher.
TEST(stage_control_notices, endTheOrderThatIsBeingPrepared)
{
    fixture.engine.setLeaving();
    fixture.listEngines(true);
    fixture.wait(200ms);
    LONGS_EQUAL(1, fixture.engine.calls().size());
    CHECK(fixture.engine.calls().front().method == "GET");
    LONGS_EQUAL(1, fixture.notices.size());
    CHECK_TRUE(fixture.notices.front().notice.isLeaving);
    CHECK(fixture.notices.front().from.startTime == endpoint_start_time(10));
}

// Status calls and orders are requests like any other to an engine that pauses.
TEST(stage_control_notices, engineThatMayNotBeCalledGetsNoStatusCall)
{
    fixture.listEngines(false);
    LONGS_EQUAL(0, fixture.engine.calls().size());
}
