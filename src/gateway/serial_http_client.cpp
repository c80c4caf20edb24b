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

} // namespace

serial_http_client::serial_http_client(event_loop &loop, const socket_address &server)
    : m_loop(loop)
    , m_server(server)
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

void serial_http_client::begin(const http_request &request, deadline until, handler onDone)
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
        finish(failure(end == exchange_outcome::not_sent ? error_code::connection_refused : error_code::connection_lost,
                       "the call failed before a complete response was received"));
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
