#pragma once

#include "core/socket_address.h"
#include "http1/byte_stream.h"
#include "runtime/timer.h"

#include <chrono>
#include <deque>
#include <list>
#include <memory>
#include <string>

struct evconnlistener;
struct sockaddr;

namespace burdockshelf
{

/// How a proxy treats what passes through it.
enum class link_fault
{
    none,
    /// Bytes arrive later, in both directions.
    delayed,
    /// Nothing arrives in either direction; it goes on once the fault is over.
    silent,
    /// What the server sends does not arrive until the fault is over.
    one_way,
    /// Connections are closed, and new ones at once.
    reset,
};

/// A TCP proxy on loopback that can be made to fail. Runs on the soak's own loop.
class fault_proxy
{
public:
    fault_proxy(event_loop &loop, const socket_address &server);
    ~fault_proxy();
    fault_proxy(const fault_proxy &) = delete;
    fault_proxy &operator=(const fault_proxy &) = delete;

    const socket_address &address() const;
    void setFault(link_fault fault, std::chrono::milliseconds delay = {});
    bool hasFault() const;

private:
    struct piece
    {
        deadline due;
        std::string bytes;
    };

    struct side
    {
        std::unique_ptr<byte_stream> stream;
        /// Read here, not yet written to the other side.
        std::deque<piece> pieces;
        bool hasEnded = false;
    };

    struct link
    {
        side client;
        side server;
        bool isClosed = false;
    };

    static void onAccept(evconnlistener *listener, int socket, sockaddr *from, int size, void *self);
    void accept(int socket);
    byte_stream::handlers handlersOf(link &owner, side link::*end);
    void take(side &from);
    void pump();
    void pass(link &owner, side &from, side &to, bool isHeld, instant now);

    event_loop &m_loop;
    socket_address m_server;
    socket_address m_address;
    evconnlistener *m_listener = nullptr;
    std::list<link> m_links;
    link_fault m_fault = link_fault::none;
    std::chrono::milliseconds m_delay {0};
    timer m_tick;
};

} // namespace burdockshelf
