// Reads requests from a caller's connection, within the account of memory.

#include "gateway/caller_connection.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

// Parsed heads exist in the request and in the copy for the attempt.
constexpr std::int64_t headCopies = 2;
// Fewer bytes than this count as no progress, so that a caller cannot hold memory by sending one byte at a time.
constexpr std::size_t progressBytes = 16 * 1024;
// Seconds after which most of the requests that hold the memory have been read.
constexpr std::string_view memoryRetryAfter = "0.5";

constexpr int statusBadRequest = 400;
constexpr int statusTooLarge = 413;
constexpr int statusHeadTooLarge = 431;
constexpr int statusUnavailable = 503;

} // namespace

void caller_connection::parse(std::string_view bytes)
{
    const bool isNew = m_parser.isBetweenMessages();
    if (isNew) {
        m_requestSince = boot_clock::now();
        m_hasHead = false;
        // The limit may have changed since the connection was opened.
        m_parser.setMaxHead(m_owner.limits().head);
    }
    const std::size_t taken = m_parser.take(bytes);
    m_stream->drop(taken);
    noteProgressOf(isNew ? progressBytes : taken);
    if (m_isTooLarge) {
        refuse(statusTooLarge);
        return;
    }
    switch (m_parser.state()) {
    case parse_state::reading:
        if (accountForRequest() && m_hasHead && std::exchange(m_expectsContinue, false)) {
            m_stream->write("HTTP/1.1 100 Continue\r\n\r\n");
        }
        break;
    case parse_state::complete:
        if (accountForRequest()) {
            dispatch();
        }
        break;
    case parse_state::broken:
        refuse(statusBadRequest);
        break;
    case parse_state::head_too_large:
        refuse(statusHeadTooLarge);
        break;
    }
}

void caller_connection::dispatch()
{
    // If the whole process was suspended, callers may have disconnected long before their requests are read.
    if (m_stream->hasPeerDisconnected()) {
        m_owner.reportAbandonedRequest(std::exchange(m_request, {}));
        m_owner.destroyLater(*this);
        return;
    }
    memory_charge memory = std::exchange(m_requestMemory, m_owner.chargeFor(m_source));
    m_announced = 0;
    m_expectsContinue = false;
    m_owner.noteResponsePending(*this);
    m_owner.dispatchRequest(*this, std::exchange(m_request, {}), std::move(memory));
}

byte_count caller_connection::requestMemory() const
{
    const std::int64_t body = std::max(m_announced, static_cast<std::int64_t>(m_request.body.size()));
    return m_parser.headCost() * headCopies + byte_count(body);
}

bool caller_connection::accountForRequest()
{
    memory_bound exceeded = m_requestMemory.resize(requestMemory());
    while (exceeded != memory_bound::none && exceeded != memory_bound::connection && m_owner.makeRoom(*this, exceeded)) {
        exceeded = m_requestMemory.resize(requestMemory());
    }
    if (exceeded == memory_bound::none) {
        m_request.body.reserve(static_cast<std::size_t>(m_announced));
        return true;
    }
    refuseForMemory(exceeded);
    return false;
}

void caller_connection::refuseForMemory(memory_bound exceeded)
{
    m_owner.noteShed(*this, exceeded, "refused");
    if (exceeded == memory_bound::connection) {
        refuse(statusTooLarge);
    } else {
        refuse(statusUnavailable, memoryRetryAfter);
    }
}

void caller_connection::noteProgressOf(std::size_t bytes)
{
    m_bytesSinceProgress += bytes;
    if (m_bytesSinceProgress >= progressBytes) {
        m_bytesSinceProgress = 0;
        m_lastProgress = boot_clock::now();
        m_owner.noteProgress(*this);
    }
}

void caller_connection::releaseRequest()
{
    m_request = {};
    m_announced = 0;
    m_requestMemory.force(byte_count());
}

} // namespace burdockshelf
