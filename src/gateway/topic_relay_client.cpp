#include "gateway/topic_relay_client.h"

#include <utility>

namespace burdockshelf
{

namespace
{

// Meanwhile the topics are read at the store.
constexpr std::chrono::milliseconds blockTime {1500};

} // namespace

topic_relay_client::topic_relay_client(address<mesh_supervisor_message> mesh, sink<peer_response> answers, event_log log)
    : m_mesh(std::move(mesh))
    , m_answers(std::move(answers))
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

void topic_relay_client::ask(store_topic topic, store_offset from, instant now, handler onAnswer)
{
    const std::uint64_t exchange = ++m_lastExchange;
    m_pending.emplace(exchange, std::move(onAnswer));
    peer_request send;
    send.exchange = exchange;
    send.message = peer_records_request {relayed_topic(static_cast<std::int64_t>(topic)), log_offset(from.value()), askWait};
    send.until = deadline::after(now, peerRequestTimeout);
    send.reply = m_answers;
    if (m_mesh.post(peer_envelope {m_reader->instance, std::move(send)}) != post_result::delivered) {
        take({exchange, m_reader->instance, failure(error_code::overloaded, "the mesh is too far behind")});
    }
}

void topic_relay_client::take(const peer_response &answer)
{
    const auto pending = m_pending.extract(answer.exchange);
    if (pending.empty()) {
        return;
    }
    if (!answer.answer) {
        pending.mapped()(boost::outcome_v2::failure(answer.answer.error()));
        return;
    }
    if (const auto *records = std::get_if<peer_records_response>(&answer.answer.value())) {
        pending.mapped()(*records);
        return;
    }
    pending.mapped()(failure(error_code::invalid_message, "the answer holds no records"));
}

void topic_relay_client::block(std::string_view cause, instant now)
{
    if (!isUsable(now)) {
        return;
    }
    m_blockedUntil = deadline::after(now, blockTime);
    m_log.write(log_line("store", "reader_blocked").add("reader", m_reader->instance).add("cause", cause));
}

} // namespace burdockshelf
