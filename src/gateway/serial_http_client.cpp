#include "gateway/serial_http_client.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

// Longest pause between two parts of a response. A dead connection shows by a longer one.
constexpr milliseconds maxTransferPause {450};
// Longest time that a response may take after the deadline of its call, as long as it makes progress.
constexpr milliseconds maxTransferTime {8000};

error failureOf(exchange_outcome end)
{
    switch (end) {
    case exchange_outcome::not_sent:
        return {error_code::connection_refused, "cannot connect"};
    case exchange_outcome::too_large:
        return {error_code::too_large, "the response is too large"};
    case exchange_outcome::complete:
    case exchange_outcome::lost:
    case exchange_outcome::broken:
        break;
    }
    return {error_code::connection_lost, "the call failed before a complete response was received"};
}

} // namespace

serial_http_client::serial_http_client(event_loop &loop, const socket_address &server, deadline_scope scope)
    : m_loop(loop)
    , m_server(server)
    , m_scope(scope)
    , m_timeout(loop,
                [this] {
                    discardConnection();
                    finish(failure(error_code::deadline_exceeded, "no complete response before the deadline"));
                })
    , m_destroyTimer(loop, [this] { m_discarded.reset(); })
{
}

serial_http_client::~serial_http_client() = default;

bool serial_http_client::isBusy() const
{
    return m_onDone != nullptr;
}

void serial_http_client::abandon()
{
    m_timeout.stop();
    m_onDone = nullptr;
    discardConnection();
}

void serial_http_client::begin(const http_request &request, deadline until, byte_count maxBody, handler onDone)
{
    m_onDone = std::move(onDone);
    m_response = {};
    m_timeout.start(until);
    m_transferDeadline = until.isNever() ? until : deadline::after(until.at(), maxTransferTime);
    if (!m_connection || !m_connection->isReusable(boot_clock::now())) {
        discardConnection();
        m_connection = std::make_unique<client_connection>(m_loop, m_server, client_connection_settings {});
    }
    exchange_handlers handlers;
    handlers.maxBody = maxBody;
    handlers.onHead = [this](http_response &&head, const message_framing & /*framing*/) {
        m_response = std::move(head);
        noteProgress();
    };
    handlers.onBody = [this](std::string_view bytes) {
        m_response.body.append(bytes);
        noteProgress();
    };
    handlers.onEnd = [this](exchange_outcome end) {
        if (end == exchange_outcome::complete) {
            finish(std::move(m_response));
            return;
        }
        discardConnection();
        finish(failureOf(end));
    };
    // If the connection attempt fails immediately, the call ends at its deadline.
    m_connection->send(request, std::move(handlers));
}

void serial_http_client::finish(outcome<http_response> result)
{
    m_timeout.stop();
    const handler onDone = std::exchange(m_onDone, nullptr);
    if (onDone) {
        onDone(std::move(result));
    }
}

void serial_http_client::noteProgress()
{
    if (m_scope == deadline_scope::whole_response) {
        return;
    }
    const deadline extended = std::min(deadline::after(boot_clock::now(), maxTransferPause), m_transferDeadline);
    m_timeout.start(std::max(m_timeout.at(), extended));
}

// This function may run inside a handler of the connection, which must therefore be destroyed later, from the event loop.
void serial_http_client::discardConnection()
{
    if (m_connection) {
        m_connection->abandon();
        m_discarded = std::move(m_connection);
        m_destroyTimer.start(deadline());
    }
}

} // namespace burdockshelf
