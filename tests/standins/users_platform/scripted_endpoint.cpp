#include "standins/users_platform/scripted_endpoint.h"

#include "standins/users_platform/endpoint_entry_text.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace burdockshelf
{

namespace
{

// A scripted endpoint never starts again.
constexpr std::int64_t firstStartTime = 1000;

constexpr byte_count maxRequestHead {64 * 1024};
constexpr std::chrono::milliseconds refillInterval {1};
// Bytes that an endless writer keeps ready for the kernel.
constexpr std::size_t refillBytes = 256 * 1024;
// Keeps the bytes that are under way in the kernel small against what a test allows the peer to read.
constexpr int sendBufferBytes = 64 * 1024;
// Small against the uploads of tests, so that most of an upload that is not read stays at its sender.
constexpr int receiveBufferBytes = 16 * 1024;
// Announced bodies from this length on are long uploads.
constexpr std::int64_t minUploadBytes = 64 * 1024;
constexpr int listenBacklog = 64;

} // namespace

scripted_connection::scripted_connection(scripted_endpoint &owner, std::size_t number, int socket)
    : m_owner(owner)
    , m_number(number)
    , m_socket(socket)
    , m_parser(message_parser::direction::requests, maxRequestHead, *this)
    , m_refillTimer(owner.m_loop, [this] { refill(); })
    , m_resetTimer(owner.m_loop, [this] { m_stream.reset(); })
{
    setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &sendBufferBytes, sizeof(sendBufferBytes));
    byte_stream::handlers handlers;
    handlers.onReadable = [this] {
        readMore();
    };
    handlers.onEnded = [this](stream_end_cause) {
        m_hasEnded = true;
    };
    m_stream = byte_stream::adopt(owner.m_loop, socket, std::move(handlers));
}

scripted_connection::~scripted_connection() = default;

std::size_t scripted_connection::number() const
{
    return m_number;
}

void scripted_connection::write(std::string_view bytes)
{
    if (m_stream && !m_hasEnded) {
        m_writtenBytes += bytes.size();
        m_stream->write(bytes);
    }
}

void scripted_connection::writeEndlessly(std::string bytes, std::size_t limit)
{
    m_endless = std::move(bytes);
    m_endlessLeft = limit;
    refill();
}

void scripted_connection::refill()
{
    if (!m_stream || m_hasEnded) {
        return;
    }
    while (m_stream->unsentBytes() < refillBytes && m_endlessLeft > 0) {
        write(m_endless);
        m_endlessLeft -= std::min(m_endlessLeft, m_endless.size());
    }
    if (m_endlessLeft == 0) {
        return;
    }
    m_refillTimer.start(deadline::after(boot_clock::now(), refillInterval));
}

void scripted_connection::finishWriting()
{
    if (m_stream) {
        m_stream->finishWriting();
    }
}

void scripted_connection::reset()
{
    const linger abortive = {1, 0};
    setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &abortive, sizeof(abortive));
    m_hasEnded = true;
    // The stream may not be destroyed inside one of its handlers.
    m_resetTimer.start(deadline());
}

bool scripted_connection::hasEnded() const
{
    return m_hasEnded;
}

std::size_t scripted_connection::sentBytes() const
{
    return m_writtenBytes - (m_stream ? m_stream->unsentBytes() : 0);
}

void scripted_connection::onRequestHead(http_request &&head, const message_framing &framing)
{
    m_request = std::move(head);
    m_isUpload = m_owner.m_uploadHandler && framing.contentLength >= minUploadBytes;
}

void scripted_connection::onBody(std::string_view bytes)
{
    m_request.body.append(bytes);
}

void scripted_connection::onComplete()
{
}

void scripted_connection::readMore()
{
    for (std::string_view bytes = m_stream->peek(); !bytes.empty(); bytes = m_stream->peek()) {
        m_stream->drop(m_parser.take(bytes));
        if (handleUpload()) {
            return;
        }
        if (m_parser.state() == parse_state::complete) {
            m_parser.resume();
            m_owner.handleRequest(*this, std::exchange(m_request, {}));
        } else if (m_parser.state() != parse_state::reading) {
            m_stream->drop(m_stream->peek().size());
            return;
        }
    }
}

bool scripted_connection::handleUpload()
{
    if (!m_isUpload || m_request.body.size() < m_owner.m_uploadAnsweredAfter) {
        return false;
    }
    m_stream->setReading(false);
    m_owner.m_requests.push_back(m_request);
    m_owner.m_uploadHandler(*this, std::exchange(m_request, {}));
    return true;
}

scripted_endpoint::scripted_endpoint(event_loop &loop)
    : m_loop(loop)
{
    sockaddr_in at = {};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    m_listener = evconnlistener_new_bind(loop.base(),
                                         &scripted_endpoint::onAccept,
                                         this,
                                         LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
                                         listenBacklog,
                                         reinterpret_cast<sockaddr *>(&at),
                                         sizeof(at));
    socklen_t size = sizeof(at);
    getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr *>(&at), &size);
    m_address = {"127.0.0.1", ntohs(at.sin_port)};
}

scripted_endpoint::~scripted_endpoint()
{
    evconnlistener_free(m_listener);
}

const socket_address &scripted_endpoint::address() const
{
    return m_address;
}

std::string scripted_endpoint::entry(const std::string &service, const std::string &zone, const std::string &stage) const
{
    return endpointEntryText(m_address, firstStartTime, service, zone, stage);
}

void scripted_endpoint::setRequestHandler(request_handler handler)
{
    m_requestHandler = std::move(handler);
}

void scripted_endpoint::setUploadHandler(std::size_t afterBytes, request_handler handler)
{
    m_uploadAnsweredAfter = afterBytes;
    m_uploadHandler = std::move(handler);
    // Accepted connections inherit it.
    setsockopt(evconnlistener_get_fd(m_listener), SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
}

const std::vector<http_request> &scripted_endpoint::requests() const
{
    return m_requests;
}

std::size_t scripted_endpoint::connectionCount() const
{
    return m_connections.size();
}

scripted_connection &scripted_endpoint::connection(std::size_t number)
{
    return *std::next(m_connections.begin(), static_cast<std::ptrdiff_t>(number));
}

std::size_t scripted_endpoint::sentBytes() const
{
    std::size_t sum = 0;
    for (const scripted_connection &each : m_connections) {
        sum += each.sentBytes();
    }
    return sum;
}

std::size_t scripted_endpoint::openConnectionCount() const
{
    std::size_t count = 0;
    for (const scripted_connection &each : m_connections) {
        count += each.hasEnded() ? 0 : 1;
    }
    return count;
}

std::string scripted_endpoint::success(const http_request &request, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + std::string(request.headers.value("X-Attempt-Id"))
        + "\r\nX-Server-Seal: seal\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string scripted_endpoint::refusal(const http_request &request)
{
    return "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: " + std::string(request.headers.value("X-Attempt-Id"))
        + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

void scripted_endpoint::onAccept(evconnlistener * /*listener*/, int socket, sockaddr * /*from*/, int /*size*/, void *self)
{
    auto *owner = static_cast<scripted_endpoint *>(self);
    owner->m_connections.emplace_back(*owner, owner->m_connections.size(), socket);
}

void scripted_endpoint::handleRequest(scripted_connection &from, http_request &&request)
{
    m_requests.push_back(request);
    if (m_requestHandler) {
        m_requestHandler(from, request);
    }
}

} // namespace burdockshelf
