#include "http1/client_connection.h"

#include "runtime/timer.h"

#include <csignal>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

// More than the sockets on the way hold.
constexpr std::size_t uploadBytes = 16 * 1024 * 1024;
constexpr int receiveBufferBytes = 16 * 1024;
constexpr auto loopTime = 5ms;
constexpr int maxLoopRuns = 200;

enum class upload_progress
{
    queued,
    half_read,
    read,
};

enum class connection_end
{
    closed,
    reset,
};

/// Whether the client's event loop runs between the last bytes of the response and the end of the connection.
enum class end_arrival
{
    with_last_bytes,
    after_last_bytes,
};

/// A server whose test acts while the client's event loop stands still, so that the loop then sees several events at once.
struct upload_exchange
{
    event_loop loop;
    timer pauseEnd {loop, [this] {
                        loop.stop();
                    }};
    int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int accepted = -1;
    socket_address address;
    std::unique_ptr<client_connection> connection;
    std::optional<exchange_outcome> end;
    std::string body;

    upload_exchange()
    {
        std::signal(SIGPIPE, SIG_IGN);
        setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
        sockaddr_in at = {};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        LONGS_EQUAL(0, ::bind(listener, reinterpret_cast<sockaddr *>(&at), sizeof(at)));
        LONGS_EQUAL(0, ::listen(listener, 1));
        socklen_t size = sizeof(at);
        getsockname(listener, reinterpret_cast<sockaddr *>(&at), &size);
        address = {"127.0.0.1", ntohs(at.sin_port)};
    }

    ~upload_exchange()
    {
        connection.reset();
        ::close(listener);
        if (accepted >= 0) {
            ::close(accepted);
        }
    }

    void runLoop()
    {
        pauseEnd.start(deadline::after(boot_clock::now(), loopTime));
        loop.run();
    }

    void begin(std::size_t bytes)
    {
        connection = std::make_unique<client_connection>(loop, address, client_connection_settings {});
        exchange_handlers handlers;
        handlers.onHead = [](http_response &&, const message_framing &) {
        };
        handlers.onBody = [this](std::string_view received) {
            body.append(received);
        };
        handlers.onEnd = [this](exchange_outcome outcome) {
            end = outcome;
        };
        connection->send({"POST", "/", {}, std::string(bytes, 'x')}, std::move(handlers));
        accepted = ::accept(listener, nullptr, nullptr);
        runLoop();
    }

    void read(std::size_t bytes)
    {
        std::vector<char> buffer(64 * 1024);
        for (std::size_t received = 0; received < bytes;) {
            const ssize_t count = ::recv(accepted, buffer.data(), buffer.size(), MSG_DONTWAIT);
            received += count > 0 ? static_cast<std::size_t>(count) : 0;
            if (count <= 0) {
                runLoop();
            }
        }
    }

    void play(upload_progress progress, const std::string &response, connection_end how, end_arrival arrival)
    {
        begin(uploadBytes);
        if (progress != upload_progress::queued) {
            read(progress == upload_progress::read ? uploadBytes : uploadBytes / 2);
        }
        LONGS_EQUAL(response.size(), ::send(accepted, response.data(), response.size(), MSG_NOSIGNAL));
        if (arrival == end_arrival::after_last_bytes) {
            runLoop();
        }
        if (how == connection_end::closed) {
            ::shutdown(accepted, SHUT_WR);
        } else {
            const linger abortive = {1, 0};
            setsockopt(accepted, SOL_SOCKET, SO_LINGER, &abortive, sizeof(abortive));
            ::close(accepted);
            accepted = -1;
        }
        for (int i = 0; i < maxLoopRuns && !end; ++i) {
            runLoop();
        }
        CHECK_TRUE(end.has_value());
        // A connection that was reset after a whole response is not used again.
        runLoop();
        CHECK_FALSE(how == connection_end::reset && connection->isReusable(boot_clock::now()));
    }
};

struct reset_case
{
    const char *name;
    std::string response;
    exchange_outcome afterClose;
    exchange_outcome afterReset;
};

const reset_case cases[] = {
    {"whole with a length", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", exchange_outcome::complete, exchange_outcome::complete},
    {"whole in chunks",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
     exchange_outcome::complete,
     exchange_outcome::complete},
    {"cut with a length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody", exchange_outcome::lost, exchange_outcome::lost},
    {"cut in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", exchange_outcome::lost, exchange_outcome::lost},
    {"without a length", "HTTP/1.1 200 OK\r\n\r\nbody", exchange_outcome::complete, exchange_outcome::lost},
    {"head cut", "HTTP/1.1 200 OK\r\n", exchange_outcome::lost, exchange_outcome::lost},
};

} // namespace

TEST_GROUP(reset_response) {};

// Guards against a part of a body without a length that counts as whole because its connection was reset during the upload, and against
// whole responses that are lost with it. The result must not depend on what the event loop sees first: the failed write, the last bytes or
// the end of reading.
TEST(reset_response, isJudgedByItsFramingAndNotByTheOrderOfEvents)
{
    std::string found;
    for (const upload_progress progress : {upload_progress::queued, upload_progress::half_read, upload_progress::read}) {
        for (const reset_case &each : cases) {
            for (const connection_end how : {connection_end::closed, connection_end::reset}) {
                for (const end_arrival arrival : {end_arrival::with_last_bytes, end_arrival::after_last_bytes}) {
                    upload_exchange exchange;
                    exchange.play(progress, each.response, how, arrival);
                    const std::string text = std::string(each.name) + ", upload " + std::to_string(static_cast<int>(progress)) + ", end "
                        + std::to_string(static_cast<int>(how)) + ", arrival " + std::to_string(static_cast<int>(arrival));
                    const exchange_outcome expected = how == connection_end::closed ? each.afterClose : each.afterReset;
                    if (*exchange.end != expected) {
                        found += text + ": outcome " + std::to_string(static_cast<int>(*exchange.end)) + "\n";
                    }
                }
            }
        }
    }
    STRCMP_EQUAL("", found.c_str());
}
