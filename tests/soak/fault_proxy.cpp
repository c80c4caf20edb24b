#include "fault_proxy.h"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <netinet/in.h>

namespace burdockshelf
{

namespace
{

constexpr std::chrono::milliseconds tickPause {2};
constexpr std::chrono::milliseconds connectTime {2000};

} // namespace

fault_proxy::fault_proxy(event_loop &loop, const socket_address &server)
    : m_loop(loop)
    , m_server(server)
    , m_tick(loop, [this] { pump(); })
{
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    constexpr int backlog = 512;
    m_listener = evconnlistener_new_bind(loop.base(),
                                         &fault_proxy::onAccept,
                                         this,
                                         LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
                                         backlog,
                                         reinterpret_cast<sockaddr *>(&address),
                                         sizeof(address));
    socklen_t size = sizeof(address);
    getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr *>(&address), &size);
    m_address = {"127.0.0.1", ntohs(address.sin_port)};
    pump();
}

fault_proxy::~fault_proxy()
{
    evconnlistener_free(m_listener);
}

const socket_address &fault_proxy::address() const
{
    return m_address;
}

bool fault_proxy::hasFault() const
{
    return m_fault != link_fault::none;
}

void fault_proxy::setFault(link_fault fault, std::chrono::milliseconds delay)
{
    m_fault = fault;
    m_delay = delay;
    if (fault == link_fault::reset) {
        for (link &one : m_links) {
            one.isClosed = true;
        }
    }
}

void fault_proxy::onAccept(evconnlistener * /*listener*/, int socket, sockaddr * /*from*/, int /*size*/, void *self)
{
    static_cast<fault_proxy *>(self)->accept(socket);
}

void fault_proxy::accept(int socket)
{
    link &fresh = m_links.emplace_back();
    fresh.client.stream = byte_stream::adopt(m_loop, socket, handlersOf(fresh, &link::client));
    fresh.server.stream = byte_stream::connect(m_loop, m_server, connectTime, handlersOf(fresh, &link::server));
    fresh.isClosed = m_fault == link_fault::reset || fresh.server.stream == nullptr;
}

byte_stream::handlers fault_proxy::handlersOf(link &owner, side link::*end)
{
    byte_stream::handlers handlers;
    handlers.onReadable = [this, &owner, end] {
        take(owner.*end);
    };
    handlers.onEnded = [&owner, end](stream_end_cause) {
        (owner.*end).hasEnded = true;
    };
    return handlers;
}

void fault_proxy::take(side &from)
{
    const std::string_view bytes = from.stream->peek();
    const auto delay = m_fault == link_fault::delayed ? m_delay : std::chrono::milliseconds(0);
    from.pieces.push_back({deadline::after(boot_clock::now(), delay), std::string(bytes)});
    from.stream->drop(bytes.size());
}

void fault_proxy::pump()
{
    const instant now = boot_clock::now();
    m_tick.start(deadline::after(now, tickPause));
    for (link &one : m_links) {
        if (!one.isClosed) {
            pass(one, one.client, one.server, m_fault == link_fault::silent, now);
            pass(one, one.server, one.client, m_fault == link_fault::silent || m_fault == link_fault::one_way, now);
        }
    }
    m_links.remove_if([](const link &one) { return one.isClosed; });
}

void fault_proxy::pass(link &owner, side &from, side &to, bool isHeld, instant now)
{
    if (isHeld) {
        return;
    }
    while (!from.pieces.empty() && from.pieces.front().due.hasPassed(now)) {
        to.stream->write(from.pieces.front().bytes);
        from.pieces.pop_front();
    }
    if (from.hasEnded && from.pieces.empty() && to.stream->unsentBytes() == 0) {
        owner.isClosed = true;
    }
}

} // namespace burdockshelf
