#include "http1/client_connection.h"

#include "runtime/timer.h"

#include <optional>

#include <arpa/inet.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

constexpr auto testTimeout = 20s;

/// A server that sends the next prepared response whenever bytes arrive, with an event loop and a guard timer that stops a test that hangs.
struct scripted_server
{
    event_loop loop;
    timer guard;
    evconnlistener *listener = nullptr;
    socket_address address;
    std::vector<std::unique_ptr<byte_stream>> streams;
    std::vector<std::string> responses;
    std::size_t next = 0;
    std::size_t receivedBytes = 0;
    bool closesAfterResponse = false;
    bool isTimedOut = false;

    scripted_server()
        : guard(loop, [this] {
            isTimedOut = true;
            loop.stop();
        })
    {
        sockaddr_in at = {};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        listener =
            evconnlistener_new_bind(loop.base(), &accept, this, LEV_OPT_CLOSE_ON_FREE, 16, reinterpret_cast<sockaddr *>(&at), sizeof(at));
        socklen_t size = sizeof(at);
        getsockname(evconnlistener_get_fd(listener), reinterpret_cast<sockaddr *>(&at), &size);
        address = {"127.0.0.1", ntohs(at.sin_port)};
        guard.start(deadline::after(boot_clock::now(), testTimeout));
    }

    ~scripted_server()
    {
        streams.clear();
        evconnlistener_free(listener);
    }

    static void accept(evconnlistener * /*listener*/, int socket, sockaddr * /*from*/, int /*size*/, void *self)
    {
        auto *server = static_cast<scripted_server *>(self);
        const std::size_t index = server->streams.size();
        byte_stream::handlers handlers;
        handlers.onReadable = [server, index] {
            byte_stream &stream = *server->streams[index];
            server->receivedBytes += stream.peek().size();
            stream.drop(stream.peek().size());
            if (server->next < server->responses.size()) {
                stream.write(server->responses[server->next++]);
                if (server->closesAfterResponse) {
                    stream.finishWriting();
                }
            }
        };
        handlers.onEnded = [](stream_end_cause) {
        };
        server->streams.push_back(byte_stream::adopt(server->loop, socket, std::move(handlers)));
    }
};

struct exchange_result
{
    std::optional<exchange_outcome> end;
    std::string body;
};

exchange_result runExchange(scripted_server &server, client_connection &connection, const std::string &expected = {})
{
    exchange_result result;
    exchange_handlers handlers;
    if (!expected.empty()) {
        handlers.acceptsResponse = [expected](const http_response &head) {
            return head.headers.value("Id") == expected;
        };
    }
    handlers.onHead = [](http_response &&, const message_framing &) {
    };
    handlers.onBody = [&](std::string_view bytes) {
        result.body.append(bytes);
    };
    handlers.onEnd = [&](exchange_outcome end) {
        result.end = end;
        server.loop.stop();
    };
    connection.send({"GET", "/", {}, ""}, std::move(handlers));
    server.loop.run();
    CHECK_FALSE(server.isTimedOut);
    return result;
}

} // namespace

TEST_GROUP(client_connection) {};

// Guards against bytes after a response that are taken for the response to the next request.
TEST(client_connection, isNotReusedAfterSurplusBytes)
{
    scripted_server server;
    server.responses = {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra"};
    client_connection connection(server.loop, server.address, {});
    const exchange_result result = runExchange(server, connection);
    CHECK(result.end == exchange_outcome::complete);
    STRCMP_EQUAL("ok", result.body.c_str());
    CHECK_FALSE(connection.isReusable(boot_clock::now()));
}

// Guards against a late second response to another request that is taken for the response to this request.
TEST(client_connection, skipsAResponseToAnotherRequest)
{
    scripted_server server;
    server.responses = {
        "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nwrongHTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 5\r\n\r\nright"};
    client_connection connection(server.loop, server.address, {});
    const exchange_result result = runExchange(server, connection, "mine");
    CHECK(result.end == exchange_outcome::complete);
    STRCMP_EQUAL("right", result.body.c_str());
}

TEST(client_connection, reportsATruncatedResponseAsLost)
{
    scripted_server server;
    server.responses = {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"};
    server.closesAfterResponse = true;
    client_connection connection(server.loop, server.address, {});
    CHECK(runExchange(server, connection).end == exchange_outcome::lost);
}

TEST(client_connection, reportsInvalidBytesAsBroken)
{
    scripted_server server;
    server.responses = {"hello there\r\n\r\n"};
    client_connection connection(server.loop, server.address, {});
    CHECK(runExchange(server, connection).end == exchange_outcome::broken);
}

// A refused connection must be reported as not_sent, which is reserved for connections that were never established.
TEST(client_connection, reportsNotSentWhenTheConnectionIsRefused)
{
    scripted_server server;
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in at = {};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    LONGS_EQUAL(0, bind(socket, reinterpret_cast<sockaddr *>(&at), sizeof(at)));
    socklen_t size = sizeof(at);
    getsockname(socket, reinterpret_cast<sockaddr *>(&at), &size);
    client_connection connection(server.loop, {"127.0.0.1", ntohs(at.sin_port)}, {});
    CHECK(runExchange(server, connection).end == exchange_outcome::not_sent);
    ::close(socket);
}

// Guards against a request that is sent while the server closes the idle connection after its stated timeout.
TEST(client_connection, isNotReusedNearTheKeepAliveTimeout)
{
    scripted_server server;
    server.responses = {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok"};
    client_connection connection(server.loop, server.address, {});
    runExchange(server, connection);
    const instant now = boot_clock::now();
    CHECK_TRUE(connection.isReusable(now + 4s));
    CHECK_FALSE(connection.isReusable(now + 5s));
}

// Guards against a request that reaches its server after the attempt was given up as not sent: when the connect timeout and the connection
// came in the same iteration of the event loop, a booking was sent here and to a second server (rampa-hat-large trouble-1: TWICE).
TEST(client_connection, sendsNothingAfterItWasAbandoned)
{
    scripted_server server;
    client_connection connection(server.loop, server.address, {});
    exchange_handlers handlers;
    handlers.onEnd = [](exchange_outcome) {
    };
    connection.send({"POST", "/book", {}, "booking"}, std::move(handlers));
    CHECK_FALSE(connection.isConnected());
    connection.abandon();
    timer end(server.loop, [&server] { server.loop.stop(); });
    end.start(deadline::after(boot_clock::now(), 100ms));
    server.loop.run();
    LONGS_EQUAL(1, server.streams.size());
    LONGS_EQUAL(0, server.receivedBytes);
}
