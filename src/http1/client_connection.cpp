#include "http1/client_connection.h"

#include "http1/message_writer.h"

#include <charconv>
#include <utility>

namespace burdockshelf
{

namespace
{

// Subtracted from the server's Keep-Alive timeout, which starts when the server sends its response; a request also needs time to arrive.
constexpr std::chrono::milliseconds keepAliveMargin {300};
constexpr int firstFinalStatus = 200;

std::chrono::milliseconds keepAliveTimeout(const http_headers &headers)
{
    const std::string_view value = headers.value("Keep-Alive");
    const auto at = value.find("timeout=");
    if (at == std::string_view::npos) {
        return std::chrono::milliseconds(-1);
    }
    const std::string_view digits = value.substr(at + std::string_view("timeout=").size());
    std::int64_t seconds = 0;
    if (std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec != std::errc()) {
        return std::chrono::milliseconds(-1);
    }
    return std::chrono::seconds(seconds);
}

} // namespace

client_connection::client_connection(event_loop &loop, const socket_address &to, client_connection_settings settings)
    : m_server(to)
    , m_maxSkipped(settings.maxSkipped)
    , m_parser(message_parser::direction::responses, settings.maxHead, *this)
{
    byte_stream::handlers handlers;
    handlers.onConnected = [this] {
        onConnected();
    };
    handlers.onReadable = [this] {
        onReadable();
    };
    handlers.onEnded = [this](stream_end_cause end) {
        onEnded(end);
    };
    m_stream = byte_stream::connect(loop, to, settings.userTimeout, std::move(handlers));
    m_isUsable = m_stream != nullptr;
}

client_connection::~client_connection() = default;

void client_connection::send(const http_request &request, exchange_handlers handlers)
{
    send(request, request.body.empty() ? nullptr : std::make_shared<const std::string>(request.body), std::move(handlers));
}

void client_connection::send(const http_request &request, std::shared_ptr<const std::string> body, exchange_handlers handlers)
{
    m_handlers = std::move(handlers);
    m_isBusy = true;
    m_isResponseAccepted = false;
    m_isComplete = false;
    m_isTooLarge = false;
    m_skipped = {};
    m_body = {};
    m_hasBodyLimit = true;
    m_keepAliveTimeout = std::chrono::milliseconds(-1);
    m_parser.resume();
    m_parser.setNoBody(request.method == "HEAD");
    const std::size_t length = body ? body->size() : 0;
    const bool hasBody = length > 0 || request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
    write(requestHeadBytes(request, hasBody ? body_framing::length : body_framing::none, length), std::move(body));
}

void client_connection::write(std::string head, std::shared_ptr<const std::string> body)
{
    if (m_isConnected) {
        m_stream->write(head);
        m_stream->write(std::move(body));
    } else {
        m_unsentHead = std::move(head);
        m_unsentBody = std::move(body);
    }
}

void client_connection::abandon()
{
    m_handlers = {};
    m_isBusy = false;
    m_isUsable = false;
    // The connection may still be established before it is destroyed.
    m_unsentHead.clear();
    m_unsentBody.reset();
}

void client_connection::rejectResponse()
{
    m_isTooLarge = true;
}

void client_connection::liftBodyLimit()
{
    m_hasBodyLimit = false;
}

byte_count client_connection::headCost() const
{
    return m_parser.headCost();
}

bool client_connection::isOpen() const
{
    return m_isUsable;
}

bool client_connection::isConnected() const
{
    return m_isConnected;
}

bool client_connection::isBusy() const
{
    return m_isBusy;
}

bool client_connection::isReusable(instant now) const
{
    return m_isUsable && !m_isBusy && m_isConnected && m_isKeptAlive && !m_idleUntil.hasPassed(now);
}

deadline client_connection::idleUntil() const
{
    return m_idleUntil;
}

instant client_connection::idleSince() const
{
    return m_idleSince;
}

const socket_address &client_connection::server() const
{
    return m_server;
}

void client_connection::onResponseHead(http_response &&head, const message_framing &framing)
{
    if (head.status < firstFinalStatus) {
        return;
    }
    m_isKeptAlive = framing.keepAlive && !framing.endsAtConnectionClose;
    m_keepAliveTimeout = keepAliveTimeout(head.headers);
    m_isResponseAccepted = !m_handlers.acceptsResponse || m_handlers.acceptsResponse(head);
    if (m_isResponseAccepted) {
        m_body = {};
        m_handlers.onHead(std::move(head), framing);
        m_isTooLarge = m_isTooLarge || (m_hasBodyLimit && framing.contentLength > m_handlers.maxBody.value());
    }
}

void client_connection::onBody(std::string_view bytes)
{
    if (!m_isResponseAccepted) {
        return;
    }
    countBody(static_cast<std::int64_t>(bytes.size()));
    if (!m_isTooLarge) {
        m_handlers.onBody(bytes);
    }
}

void client_connection::onComplete()
{
    m_isComplete = m_isResponseAccepted;
}

void client_connection::onConnected()
{
    m_isConnected = true;
    write(std::exchange(m_unsentHead, {}), std::exchange(m_unsentBody, nullptr));
}

void client_connection::onReadable()
{
    if (!m_isBusy) {
        // Bytes without a request that they could respond to.
        m_isUsable = false;
        stopReading();
        return;
    }
    while (m_parser.state() == parse_state::reading && !m_isTooLarge) {
        const std::string_view bytes = m_stream->peek();
        if (bytes.empty()) {
            return;
        }
        const std::size_t taken = m_parser.take(bytes);
        m_stream->drop(taken);
        if (isSuperseded()) {
            // Not reused, because the server may repeat a response again.
            m_isUsable = false;
            m_isComplete = false;
            m_isResponseAccepted = false;
        }
        countSkipped(taken);
        if (m_parser.state() == parse_state::complete && !m_isComplete) {
            // An interim (1xx) response or a response to another request.
            m_parser.resume();
        }
    }
    if (m_isTooLarge || m_parser.state() == parse_state::head_too_large) {
        finish(exchange_outcome::too_large);
    } else if (m_parser.state() == parse_state::complete) {
        finish(exchange_outcome::complete);
    } else {
        finish(exchange_outcome::broken);
    }
}

bool client_connection::isSuperseded()
{
    return m_handlers.takesLastResponse && m_isComplete && !m_stream->peek().empty();
}

void client_connection::countSkipped(std::size_t bytes)
{
    if (m_isResponseAccepted) {
        return;
    }
    m_skipped += byte_count(static_cast<std::int64_t>(bytes));
    m_isTooLarge = m_isTooLarge || m_skipped > m_maxSkipped;
}

void client_connection::countBody(std::int64_t bytes)
{
    m_body += byte_count(bytes);
    m_isTooLarge = m_isTooLarge || (m_hasBodyLimit && m_body > m_handlers.maxBody);
}

void client_connection::stopReading()
{
    if (m_stream) {
        m_stream->setReading(false);
    }
}

void client_connection::onEnded(stream_end_cause end)
{
    m_isUsable = false;
    if (!m_isBusy) {
        return;
    }
    if (!m_isConnected) {
        finish(exchange_outcome::not_sent);
        return;
    }
    if (end == stream_end_cause::closed) {
        m_parser.finishInput();
    }
    finish(m_isComplete ? exchange_outcome::complete : exchange_outcome::lost);
}

void client_connection::finish(exchange_outcome end)
{
    const bool isClean = end == exchange_outcome::complete && m_stream->peek().empty() && m_stream->unsentBytes() == 0;
    m_isUsable = m_isUsable && isClean;
    if (!m_isUsable) {
        stopReading();
    }
    m_isBusy = false;
    m_idleSince = boot_clock::now();
    m_idleUntil = m_keepAliveTimeout < std::chrono::milliseconds::zero()
        ? deadline::never()
        : deadline::after(m_idleSince, m_keepAliveTimeout - keepAliveMargin);
    const exchange_handlers handlers = std::move(m_handlers);
    m_handlers = {};
    handlers.onEnd(end);
}

} // namespace burdockshelf
