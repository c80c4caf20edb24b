#include <event2/bufferevent.h>
#include <event2/event.h>
#include <rapidcheck.h>

#include "mesh/native_address.h"
#include "mesh_nodes.h"
#include "support/property.h"

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

/// HTTP/2 client that sends arbitrary requests to a node's listener.
struct raw_client
{
    test_event_loop &loop;
    std::vector<outcome<http2_response>> responses;
    std::optional<error> closed;
    bool isConnected = false;
    http2_session session;

    raw_client(test_event_loop &onLoop, const socket_address &server, const http2_limits &limits = {})
        : loop(onLoop)
        , session(loop, server, limits, handlers())
    {
        CHECK_TRUE(loop.runUntil([this] { return isConnected; }));
    }

    http2_handlers handlers()
    {
        http2_handlers sessionHandlers;
        sessionHandlers.onConnected = [this] {
            isConnected = true;
            loop.checkCondition();
        };
        sessionHandlers.onResponse = [this](http2_stream_id, outcome<http2_response> response) {
            responses.push_back(std::move(response));
            loop.checkCondition();
        };
        sessionHandlers.onClosed = [this](error cause) {
            closed = std::move(cause);
            loop.checkCondition();
        };
        return sessionHandlers;
    }

    http2_response ask(const std::string &path, std::string body)
    {
        responses.clear();
        CHECK_TRUE(session.sendRequest({path, std::move(body)}).has_value());
        CHECK_TRUE(loop.runUntil([this] { return !responses.empty(); }));
        return responses.at(0).value();
    }
};

/// TCP client that sends arbitrary bytes, which need not be valid HTTP/2.
struct raw_socket
{
    test_event_loop &loop;
    bool isClosed = false;
    bufferevent *connection;

    raw_socket(test_event_loop &onLoop, const socket_address &server)
        : loop(onLoop)
        , connection(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE))
    {
        bufferevent_setcb(connection, nullptr, nullptr, &raw_socket::onEvent, this);
        bufferevent_enable(connection, EV_READ | EV_WRITE);
        native_address to(server);
        bufferevent_socket_connect(connection, to.data(), to.size());
    }

    ~raw_socket()
    {
        bufferevent_free(connection);
    }

    raw_socket(const raw_socket &) = delete;
    raw_socket &operator=(const raw_socket &) = delete;

    static void onEvent(bufferevent * /*connection*/, short what, void *self)
    {
        auto *owner = static_cast<raw_socket *>(self);
        owner->isClosed = (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0;
        owner->loop.checkCondition();
    }
};

// raw_client sends no heartbeats, so the heartbeat interval is long enough that the listener does not close the connection as idle while a
// large body is handled.
mesh_settings longHeartbeatSettings()
{
    mesh_settings settings = shortTimeoutSettings("a");
    settings.heartbeatInterval = 1s;
    return settings;
}

} // namespace

TEST_GROUP(http2_sessions)
{
    test_event_loop loop;
    mesh_node node {loop, longHeartbeatSettings()};
    peer_codec codec {testRecords()};

    error_code refusalOf(const http2_response &response) const
    {
        CHECK_EQUAL(400, response.status);
        return codec.decodeError(response.body).code;
    }
};

// Guards against messages that are accepted before a hello, and against invalid input that ends the process instead of being refused.
TEST(http2_sessions, refuseInvalidMessages)
{
    raw_client client(loop, node.listening);
    CHECK_TRUE(refusalOf(client.ask("/m/loan_ask", "{}")) == error_code::forbidden);
    CHECK_TRUE(refusalOf(client.ask("/m/hello", "{]")) == error_code::invalid_message);
    CHECK_EQUAL(200, client.ask("/m/hello", codec.encodeHello({instance_id("b"), incarnation_id("b-1"), {}})).status);
    CHECK_TRUE(refusalOf(client.ask("/m/loan_ask", "{\"t\":-1}")) == error_code::invalid_message);
    CHECK_TRUE(refusalOf(client.ask("/m/rumour", "{}")) == error_code::unsupported);
    CHECK_TRUE(refusalOf(client.ask("/other", "{}")) == error_code::unsupported);
    CHECK_TRUE(refusalOf(client.ask("/m/acknowledgement", "{\"k\":true}")) == error_code::unsupported);
    CHECK_TRUE(node.received.empty());
}

// Guards against bodies of unlimited size in memory, and against large bodies that stall at the flow control window.
TEST(http2_sessions, carryLargeBodiesUpToTheLimit)
{
    raw_client client(loop, node.listening);
    CHECK_EQUAL(200, client.ask("/m/hello", codec.encodeHello({instance_id("b"), incarnation_id("b-1"), {}})).status);
    std::string body = codec.encode(loan_refund {workspace_id(std::string(4 * 1024 * 1024, 'w')), token_count(1)}).body;
    CHECK_TRUE(client.session.sendRequest({"/m/loan_refund", body}).has_value());
    CHECK_TRUE(loop.runUntil([&] { return node.received.size() == 1; }));
    CHECK_TRUE(node.received[0].reply.post(loan_refund {workspace_id(std::string(4 * 1024 * 1024, 'w')), {}}) == post_result::delivered);
    client.responses.clear();
    CHECK_TRUE(loop.runUntil([&] { return client.responses.size() == 1; }));
    CHECK_TRUE(client.responses[0].value().body.size() > 4 * 1024 * 1024);
    client.responses.clear();
    CHECK_TRUE(client.session.sendRequest({"/m/loan_refund", std::string(9 * 1024 * 1024, 'x')}).has_value());
    CHECK_TRUE(loop.runUntil([&] { return client.responses.size() == 1; }));
    CHECK_TRUE(client.responses[0].error().code == error_code::too_large);
    CHECK_EQUAL(200, client.ask("/m/hello", codec.encodeHello({instance_id("b"), incarnation_id("b-1"), {}})).status);
}

// Guards against a listener that fails on bytes that are not HTTP/2, also after a correct preface: only the connection may end.
TEST(http2_sessions, closeOnMalformedFrames)
{
    CHECK_PROPERTY("the listener survives arbitrary bytes", [this] {
        const bool hasPreface = *rc::gen::arbitrary<bool>();
        const auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
        const std::string sent = (hasPreface ? "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" : "") + bytes + std::string(32, '\xff');
        raw_socket raw(loop, node.listening);
        bufferevent_write(raw.connection, sent.data(), sent.size());
        RC_ASSERT(loop.runUntil([&] { return raw.isClosed; }));
    });
    raw_client client(loop, node.listening);
    CHECK_TRUE(refusalOf(client.ask("/m/loan_ask", "{}")) == error_code::forbidden);
}
