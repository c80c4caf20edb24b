#include "gateway/caller_connection.h"

#include "http1/message_writer.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

// After the last response on a connection, waits for the caller to close its side. Closing at once could send a RST that discards the
// response before the caller has read it.
constexpr milliseconds lingerTimeout {1000};
// Pipelined requests are buffered up to this size while a response is pending; then reading from the connection pauses.
constexpr std::size_t maxPipelinedBytes = 16 * 1024;
// A caller that leaves more bytes of a stream unread than this is disconnected. A language model needs minutes for as much text.
constexpr std::size_t maxUnreadStreamBytes = 1024 * 1024;

// A connection's objects, buffers and socket.
constexpr byte_count connectionMemory(4096);
constexpr int sendBufferBytes = 128 * 1024;

constexpr int statusRequestTimeout = 408;
constexpr int statusUnavailable = 503;
// Seconds after which a caller whose request was not read before the end of a shutdown may return; other instances are ready by then.
constexpr std::string_view shutdownRetryAfter = "0.05";

} // namespace

caller_connection::caller_connection(event_loop &loop, int socket, source_address source, caller_connection_owner &owner)
    : m_owner(owner)
    , m_parser(message_parser::direction::requests, owner.limits().head, *this)
    , m_source(source)
    , m_ownMemory(owner.chargeFor(source))
    , m_requestMemory(owner.chargeFor(source))
    , m_unsentMemory(owner.chargeFor(source))
    , m_lastProgress(boot_clock::now())
    , m_idleSince(m_lastProgress)
{
    m_ownMemory.force(connectionMemory);
    byte_stream::handlers handlers;
    handlers.onReadable = [this] {
        readMore();
    };
    handlers.onEnded = [this](stream_end_cause) {
        end();
    };
    m_stream = byte_stream::adopt(loop, socket, std::move(handlers));
    m_stream->setSendBuffer(sendBufferBytes);
}

caller_connection::~caller_connection() = default;

bool caller_connection::isIdle() const
{
    return !m_isResponsePending && !m_isClosing && m_parser.isBetweenMessages();
}

bool caller_connection::isResponsePending() const
{
    return m_isResponsePending;
}

source_address caller_connection::source() const
{
    return m_source;
}

byte_count caller_connection::heldMemory() const
{
    return m_requestMemory.amount() + m_unsentMemory.amount();
}

instant caller_connection::lastProgress() const
{
    return m_lastProgress;
}

flow_id caller_connection::flow() const
{
    return m_flow;
}

const attempt_id &caller_connection::request() const
{
    return m_requestId;
}

void caller_connection::setFlow(flow_id flow, attempt_id request)
{
    m_flow = flow;
    m_requestId = std::move(request);
    m_isResponsePending = true;
}

void caller_connection::writeFullResponse(http_response &&response)
{
    const bool closes = closesAfterResponse();
    if (m_method == "HEAD") {
        response.body.clear();
    }
    m_stream->write(responseHeadBytes(response, body_framing::length, response.body.size(), closes));
    m_stream->write(std::make_shared<const std::string>(std::move(response.body)));
    finishResponse(closes);
}

void caller_connection::writeResponseHead(const http_response &head)
{
    m_closesAfterStream = closesAfterResponse();
    m_stream->write(responseBytes(head, body_framing::chunked, m_closesAfterStream));
}

void caller_connection::writeBodyData(std::string_view bytes)
{
    m_stream->write(chunkBytes(bytes));
}

void caller_connection::writeResponseEnd()
{
    m_stream->write(lastChunk());
    finishResponse(m_closesAfterStream);
}

void caller_connection::abortResponse()
{
    m_isResponsePending = false;
    close();
}

void caller_connection::close()
{
    m_isClosing = true;
    releaseRequest();
    m_closeDeadline = deadline::after(boot_clock::now(), lingerTimeout);
    m_stream->finishWriting();
}

std::size_t caller_connection::unsentBytes() const
{
    return m_stream->unsentBytes();
}

bool caller_connection::isTooSlow() const
{
    return unsentBytes() > maxUnreadStreamBytes;
}

bool caller_connection::hasUnfinishedExchange() const
{
    return m_isResponsePending || isReadingRequest() || unsentBytes() > 0;
}

bool caller_connection::isReadingRequest() const
{
    return !m_isClosing && !m_isResponsePending && !m_parser.isBetweenMessages();
}

void caller_connection::refuseUnreadRequest()
{
    if (isReadingRequest()) {
        refuse(statusUnavailable, shutdownRetryAfter);
    }
}

void caller_connection::shed(memory_bound exceeded)
{
    if (isReadingRequest()) {
        refuseForMemory(exceeded);
        return;
    }
    m_owner.noteShed(*this, exceeded, "closed");
    close();
}

void caller_connection::accountForUnsent(instant now)
{
    const byte_count unsent(static_cast<std::int64_t>(unsentBytes()));
    if (unsent < m_unsentAtLastAccount || m_unsentAtLastAccount == byte_count()) {
        m_lastRead = now;
    }
    m_unsentAtLastAccount = unsent;
    m_unsentMemory.force(unsent);
}

instant caller_connection::lastRead() const
{
    return m_lastRead;
}

bool caller_connection::checkTimeouts(instant now)
{
    if (!m_isResponsePending && unsentBytes() > 0) {
        // The caller is still reading, so neither the idle nor the linger timeout has begun.
        m_idleSince = now;
        m_closeDeadline = deadline::after(now, lingerTimeout);
        return isReadingStalled(now);
    }
    if (m_isClosing) {
        return m_closeDeadline.hasPassed(now);
    }
    if (m_isResponsePending) {
        return false;
    }
    if (isIdle()) {
        // The caller may not know a changed idle timeout yet, so the longer of the old and the new value applies.
        const milliseconds idle = std::max(m_idleTimeout, m_owner.limits().idleTimeout);
        if (now - m_idleSince > idle) {
            close();
        }
        return false;
    }
    const milliseconds allowed = m_hasHead ? m_owner.limits().idleTimeout : m_owner.limits().headTimeout;
    if (now - m_requestSince > allowed) {
        refuse(statusRequestTimeout);
    }
    return false;
}

void caller_connection::onRequestHead(http_request &&head, const message_framing &framing)
{
    m_request = std::move(head);
    m_hasHead = true;
    m_isKeptAlive = framing.keepAlive;
    m_method = m_request.method;
    if (framing.contentLength > m_owner.limits().body.value()) {
        m_isTooLarge = true;
    }
    m_announced = std::max<std::int64_t>(framing.contentLength, 0);
    m_expectsContinue = m_request.headers.has("Expect");
}

void caller_connection::onBody(std::string_view bytes)
{
    const auto size = static_cast<std::int64_t>(m_request.body.size() + bytes.size());
    if (m_isTooLarge || size > m_owner.limits().body.value()) {
        m_isTooLarge = true;
        return;
    }
    m_request.body.append(bytes);
}

void caller_connection::onComplete()
{
}

void caller_connection::readMore()
{
    if (m_isClosing) {
        m_stream->drop(m_stream->receivedBytes());
        return;
    }
    if (m_isResponsePending) {
        readPipelined();
        return;
    }
    const std::string_view bytes = m_stream->peek();
    if (!bytes.empty()) {
        parse(bytes);
    }
}

void caller_connection::readPipelined()
{
    if (m_stream->receivedBytes() > maxPipelinedBytes) {
        m_stream->setReading(false);
    }
}

bool caller_connection::isReadingStalled(instant now)
{
    const std::size_t unsent = unsentBytes();
    if (unsent != m_unsentAtLastCheck) {
        m_unsentAtLastCheck = unsent;
        m_readingDeadline = deadline::after(now, m_owner.limits().idleTimeout);
    }
    return m_readingDeadline.hasPassed(now);
}

void caller_connection::refuse(int status, std::string_view retryAfter)
{
    m_owner.logUnreadableRequest(status);
    http_response response;
    response.status = status;
    if (!retryAfter.empty()) {
        response.headers.add("Retry-After", std::string(retryAfter));
    }
    m_stream->write(responseBytes(response, body_framing::length, true));
    close();
}

bool caller_connection::closesAfterResponse() const
{
    return !m_isKeptAlive || m_owner.isShuttingDown();
}

void caller_connection::finishResponse(bool closes)
{
    m_isResponsePending = false;
    m_unsentAtLastCheck = 0;
    m_idleSince = boot_clock::now();
    m_idleTimeout = m_owner.limits().idleTimeout;
    if (closes) {
        close();
        return;
    }
    m_lastProgress = m_idleSince;
    m_owner.noteProgress(*this);
    m_parser.resume();
    m_stream->setReading(true);
    if (!m_stream->peek().empty()) {
        readMore();
    }
}

void caller_connection::end()
{
    if (m_isResponsePending) {
        m_owner.reportCallerDisconnected(*this);
    }
    m_owner.destroyLater(*this);
}

} // namespace burdockshelf
