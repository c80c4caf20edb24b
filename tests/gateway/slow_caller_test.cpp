#include "gateway/scripted_deployment.h"

#include <netinet/in.h>
#include <sys/socket.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

// More than the sockets on the way buffer, and far below the memory of an instance.
constexpr std::size_t maxSentBytes = 24 * 1024 * 1024;

int connectTo(const socket_address &server)
{
    const int caller = ::socket(AF_INET, SOCK_STREAM, 0);
    const int receiveBuffer = 64 * 1024;
    setsockopt(caller, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    sockaddr_in to = {};
    to.sin_family = AF_INET;
    to.sin_port = htons(server.port);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    LONGS_EQUAL(0, ::connect(caller, reinterpret_cast<const sockaddr *>(&to), sizeof(to)));
    return caller;
}

} // namespace

TEST_GROUP(slow_caller)
{
    scripted_deployment site;
};

// Guards against memory that grows with the part of a stream that its caller does not read: an endpoint writes whole events without end.
TEST(slow_caller, isDisconnectedWhenItLeavesTooMuchOfAStreamUnread)
{
    site.startServing();
    site.decode.setRequestHandler([](scripted_connection &from, const http_request &request) {
        if (request.path() == "/hold-take") {
            scripted_deployment::answer(from, request);
            return;
        }
        from.write("HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\nX-Attempt-Id: slow\r\n\r\n");
        from.writeEndlessly("data: " + std::string(1000, 'a') + "\n\n");
    });
    const int caller = connectTo(site.gateway->callerAddress());
    const std::string request = "POST /text/x HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt-Id: slow\r\nX-Deadline-Ms: 4000\r\n"
                                "X-Token-Counts: 1000,50\r\nAuthorization: Bearer k1\r\nContent-Length: 1\r\n\r\nx";
    LONGS_EQUAL(request.size(), ::send(caller, request.data(), request.size(), 0));
    const instant before = boot_clock::now();
    while (boot_clock::now() - before < 3s && (site.decode.requests().size() < 2 || site.decode.openConnectionCount() > 0)) {
        site.pause(20ms);
        if (site.decode.sentBytes() > 2 * maxSentBytes) {
            break;
        }
    }
    CHECK(site.decode.sentBytes() < maxSentBytes);
    site.pause(100ms);
    LONGS_EQUAL(0, site.decode.openConnectionCount());
    CHECK(site.logText().find("event=request_done request=slow") != std::string::npos);
    CHECK(site.logText().find("event=caller_too_slow") != std::string::npos);
    ::close(caller);
}
