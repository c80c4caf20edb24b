#include "http/http_client.h"

#include <optional>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support/property.h"

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

/// A server that writes the same bytes to every connection and then ends its sending direction, or resets the connection.
struct cutting_server
{
    event_loop &loop;
    std::string bytes;
    bool resets = false;
    std::vector<int> accepted;
    evconnlistener *listener = nullptr;
    socket_address at;

    explicit cutting_server(event_loop &owner)
        : loop(owner)
    {
        sockaddr_in address = {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        listener = evconnlistener_new_bind(loop.base(),
                                           &cutting_server::onAccept,
                                           this,
                                           LEV_OPT_CLOSE_ON_FREE,
                                           16,
                                           reinterpret_cast<sockaddr *>(&address),
                                           sizeof(address));
        socklen_t size = sizeof(address);
        getsockname(evconnlistener_get_fd(listener), reinterpret_cast<sockaddr *>(&address), &size);
        at = {"127.0.0.1", ntohs(address.sin_port)};
    }

    ~cutting_server()
    {
        evconnlistener_free(listener);
        for (const int each : accepted) {
            ::close(each);
        }
    }

    static void onAccept(evconnlistener * /*listener*/, int socket, sockaddr * /*from*/, int /*size*/, void *self)
    {
        auto *server = static_cast<cutting_server *>(self);
        ::send(socket, server->bytes.data(), server->bytes.size(), MSG_NOSIGNAL);
        if (server->resets) {
            const linger atOnce = {1, 0};
            setsockopt(socket, SOL_SOCKET, SO_LINGER, &atOnce, sizeof(atOnce));
            ::close(socket);
            return;
        }
        ::shutdown(socket, SHUT_WR);
        server->accepted.push_back(socket);
    }
};

http_call_result callOnce(event_loop &loop, const socket_address &server)
{
    http_client client(loop, server);
    http_request request;
    request.method = "POST";
    request.target = "/x";
    request.body = "content";
    std::optional<http_call_result> result;
    http_call_handlers handlers;
    handlers.onDone = [&](http_call_result ended) {
        result = std::move(ended);
        loop.stop();
    };
    client.send(request, std::move(handlers), deadline::after(boot_clock::now(), 5s));
    loop.run();
    return std::move(*result);
}

} // namespace

TEST_GROUP(cut_response) {};

// Guards against a response that counts as whole although its server stopped in the middle of the head or the body and closed.
TEST(cut_response, isAnErrorAtEveryCut)
{
    event_loop loop;
    cutting_server server(loop);
    const std::vector<std::string> wholes = {
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
    };
    for (const std::string &whole : wholes) {
        for (std::size_t cut = 0; cut < whole.size(); ++cut) {
            for (const bool resets : {false, true}) {
                server.bytes = whole.substr(0, cut);
                server.resets = resets;
                CHECK_TEXT(callOnce(loop, server.at).has_error(), ("cut after " + std::to_string(cut) + " of " + whole).c_str());
            }
        }
        server.bytes = whole;
        server.resets = false;
        CHECK_TRUE(callOnce(loop, server.at).has_value());
    }
}
