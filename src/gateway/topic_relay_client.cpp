#include "gateway/topic_relay_client.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

// The records are requested from another reader in the meantime, or read at the store when there is none.
constexpr std::chrono::milliseconds readerBlockPeriod {1500};
// Another holder begins to read a topic when it is asked for it. The bounds leave no time to wait as long as for a reader that has failed.
constexpr std::chrono::milliseconds holderBlockPeriod {250};

std::size_t indexOf(store_topic topic)
{
    return static_cast<std::size_t>(topic);
}

} // namespace

topic_relay_client::topic_relay_client(address<mesh_supervisor_message> mesh, sink<peer_response> answers, event_log log)
    : m_mesh(std::move(mesh))
    , m_responses(std::move(answers))
    , m_log(std::move(log))
{
}

void topic_relay_client::setReaders(std::vector<peer_instance> readers, const std::vector<peer_instance> &otherHolders)
{
    bool isChanged = false;
    for (relay_readers &holders : m_otherHolders) {
        isChanged = holders.set(otherHolders);
    }
    log_line line("store", "reader_chosen");
    line.add("reader", readers.empty() ? "none" : readers.front().instance.value())
        .add("alternatives", std::max<std::size_t>(readers.size(), 1) - 1)
        .add("other_holders", otherHolders.size());
    isChanged = m_readers.set(std::move(readers)) || isChanged;
    if (isChanged) {
        m_log.write(std::move(line));
    }
}

bool topic_relay_client::isUsable(instant now) const
{
    return m_readers.current(now) != nullptr;
}

bool topic_relay_client::isAnyUsable(store_topic topic, instant now) const
{
    return findReader(topic, now) != nullptr;
}

const peer_instance *topic_relay_client::findReader(store_topic topic, instant now) const
{
    const peer_instance *reader = m_readers.current(now);
    return reader != nullptr ? reader : m_otherHolders.at(indexOf(topic)).current(now);
}

void topic_relay_client::sendRequest(store_topic topic, store_offset from, instant now, handler onAnswer)
{
    const std::uint64_t exchange = ++m_lastExchange;
    const instance_id reader = findReader(topic, now)->instance;
    m_pending.emplace(exchange, pending_request {reader, std::move(onAnswer)});
    peer_request send;
    send.exchange = exchange;
    send.message = peer_records_request {relayed_topic(static_cast<std::int64_t>(topic)), log_offset(from.value()), maxRecordsWait};
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

void topic_relay_client::block(const instance_id &reader, store_topic topic, reader_failure failure, std::string_view cause, instant now)
{
    const auto holderPeriod = failure == reader_failure::unresponsive ? readerBlockPeriod : holderBlockPeriod;
    const bool isHolderBlocked = m_otherHolders.at(indexOf(topic)).block(reader, deadline::after(now, holderPeriod), now);
    const bool isReaderBlocked = m_readers.block(reader, deadline::after(now, readerBlockPeriod), now);
    // That a holder has no records at first is usual, and would fill the log while the store does not respond to any instance.
    if (isReaderBlocked || (isHolderBlocked && failure == reader_failure::unresponsive)) {
        m_log.write(log_line("store", "reader_blocked").add("reader", reader).add("cause", cause));
    }
}

} // namespace burdockshelf
