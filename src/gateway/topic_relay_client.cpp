#include "gateway/topic_relay_client.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

// The records are requested from another reader in the meantime, or read at the store when there is none.
constexpr std::chrono::milliseconds readerBlockPeriod {1500};

} // namespace

topic_relay_client::topic_relay_client(address<mesh_supervisor_message> mesh, sink<peer_response> answers, event_log log)
    : m_mesh(std::move(mesh))
    , m_responses(std::move(answers))
    , m_log(std::move(log))
{
}

bool topic_relay_client::setReaders(std::vector<peer_instance> readers)
{
    log_line line("store", "reader_chosen");
    line.add("reader", readers.empty() ? "none" : readers.front().instance.value())
        .add("alternatives", std::max<std::size_t>(readers.size(), 1) - 1);
    if (!m_readers.set(std::move(readers))) {
        return false;
    }
    m_log.write(std::move(line));
    return true;
}

bool topic_relay_client::isUsable(instant now) const
{
    return m_readers.current(now) != nullptr;
}

void topic_relay_client::sendRequest(store_topic topic, store_offset from, std::optional<store_era> era, instant now, handler onAnswer)
{
    const std::uint64_t exchange = ++m_lastExchange;
    const instance_id reader = m_readers.current(now)->instance;
    m_pending.emplace(exchange, pending_request {reader, std::move(onAnswer)});
    peer_request send;
    send.exchange = exchange;
    send.message = peer_records_request {relayed_topic(static_cast<std::int64_t>(topic)),
                                         log_offset(from.value()),
                                         maxRecordsWait,
                                         era ? std::optional(relayed_era(era->value())) : std::nullopt};
    send.until = deadline::after(now, peerRequestTimeout);
    send.reply = m_responses;
    if (m_mesh.post(peer_envelope {reader, std::move(send)}) != post_result::delivered) {
        receive({exchange, reader, failure(error_code::overloaded, "the request could not be delivered to the mesh supervisor")});
    }
}

void topic_relay_client::receive(const peer_response &response)
{
    const auto pending = m_pending.extract(response.exchange);
    if (pending.empty()) {
        return;
    }
    const pending_request &request = pending.mapped();
    if (!response.answer) {
        request.onAnswer(request.reader, boost::outcome_v2::failure(response.answer.error()));
        return;
    }
    if (const auto *records = std::get_if<peer_records_response>(&response.answer.value())) {
        request.onAnswer(request.reader, *records);
        return;
    }
    request.onAnswer(request.reader, failure(error_code::invalid_message, "the response is not a records response"));
}

void topic_relay_client::block(const instance_id &reader, std::string_view cause, instant now)
{
    if (m_readers.block(reader, deadline::after(now, readerBlockPeriod), now)) {
        m_log.write(log_line("store", "reader_blocked").add("reader", reader).add("cause", cause));
    }
}

} // namespace burdockshelf
