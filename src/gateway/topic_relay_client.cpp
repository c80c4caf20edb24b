#include "gateway/topic_relay_client.h"

#include <utility>

namespace burdockshelf
{

namespace
{

// The topics are read at the store while the reader is blocked.
constexpr std::chrono::milliseconds readerBlockPeriod {1500};

} // namespace

topic_relay_client::topic_relay_client(address<mesh_supervisor_message> mesh, sink<peer_response> answers, event_log log)
    : m_mesh(std::move(mesh))
    , m_responses(std::move(answers))
    , m_log(std::move(log))
{
}

bool topic_relay_client::setReader(std::optional<peer_instance> reader)
{
    if (reader == m_reader) {
        return false;
    }
    m_reader = std::move(reader);
    m_blockedUntil = deadline();
    m_log.write(log_line("store", "reader_chosen").add("reader", m_reader ? m_reader->instance.value() : "none"));
    return true;
}

bool topic_relay_client::isUsable(instant now) const
{
    return m_reader && m_blockedUntil.hasPassed(now);
}

void topic_relay_client::sendRequest(store_topic topic, store_offset from, instant now, handler onAnswer)
{
    const std::uint64_t exchange = ++m_lastExchange;
    m_pending.emplace(exchange, std::move(onAnswer));
    peer_request send;
    send.exchange = exchange;
    send.message = peer_records_request {relayed_topic(static_cast<std::int64_t>(topic)), log_offset(from.value()), maxRecordsWait};
    send.until = deadline::after(now, peerRequestTimeout);
    send.reply = m_responses;
    if (m_mesh.post(peer_envelope {m_reader->instance, std::move(send)}) != post_result::delivered) {
        receive(
            {exchange, m_reader->instance, failure(error_code::overloaded, "the request could not be delivered to the mesh supervisor")});
    }
}

void topic_relay_client::receive(const peer_response &response)
{
    const auto pending = m_pending.extract(response.exchange);
    if (pending.empty()) {
        return;
    }
    if (!response.answer) {
        pending.mapped()(boost::outcome_v2::failure(response.answer.error()));
        return;
    }
    if (const auto *records = std::get_if<peer_records_response>(&response.answer.value())) {
        pending.mapped()(*records);
        return;
    }
    pending.mapped()(failure(error_code::invalid_message, "the response is not a records response"));
}

void topic_relay_client::block(std::string_view cause, instant now)
{
    if (!isUsable(now)) {
        return;
    }
    m_blockedUntil = deadline::after(now, readerBlockPeriod);
    m_log.write(log_line("store", "reader_blocked").add("reader", m_reader->instance).add("cause", cause));
}

} // namespace burdockshelf
