// The part of topic_follower that reads records through other instances.

#include "gateway/topic_follower.h"

#include <utility>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

// An instance counts as relaying for this long after the last request for its records.
constexpr milliseconds relayActivePeriod {3000};
// A reader that refuses or has old records says so within this time.
constexpr milliseconds promptResponseTime {60};
// A response that has not arrived this long after its deadline was dropped on the way between two tasks.
constexpr milliseconds lostResponseMargin {200};

} // namespace

bool topic_follower::mayPostponeFullRead(instant now) const
{
    const bool hasRead = m_completeAt != instant();
    return hasRead && m_retry.mustProbe() && m_relays.relayClient.isAnyUsable(m_settings.topic, now);
}

void topic_follower::requestFromReader()
{
    m_isRequestPending = true;
    m_requestedAt = boot_clock::now();
    // While the store does not respond to this instance alone, the age that the relay reports tells the others.
    if (!m_retry.isFailing()) {
        m_relays.relay.markNotReading(m_settings.topic);
    }
    // An instance whose own records are old would take the whole wait to say so. In an outage of the store all instances are in this state,
    // and the waits would delay the call that notices its return.
    const bool mayWait = !m_retry.isFailing() || m_isReaderUsable;
    records_query query = {m_settings.topic, m_position.offset, m_relays.era.current(), milliseconds::zero()};
    if (mayWait) {
        query.wait = topic_relay_client::maxRecordsWait;
    }
    m_next.start(deadline::after(m_requestedAt, topic_relay_client::peerRequestTimeout + lostResponseMargin));
    m_relays.relayClient.sendRequest(
        query, m_requestedAt, [this, reading = m_reading](const instance_id &reader, const outcome<peer_records_response> &response) {
            if (reading != m_reading) {
                return;
            }
            m_isRequestPending = false;
            handleRelayed(reader, response);
        });
}

bool topic_follower::isRelaying(instant now) const
{
    return now - m_relays.relay.lastRequestAt() < relayActivePeriod;
}

bool topic_follower::readsAtStore(instant now) const
{
    if (m_readsOnceAtStore) {
        return true;
    }
    if (m_retry.mustProbe() && m_relays.relayClient.isAnyUsable(m_settings.topic, now)) {
        return false;
    }
    return !m_relays.relayClient.isUsable(now) || (isRelaying(now) && !m_retry.isFailing());
}

void topic_follower::handleRelayed(const instance_id &reader, const outcome<peer_records_response> &response)
{
    const instant now = boot_clock::now();
    if (response) {
        const std::optional<relayed_era> &era = response.value().era;
        const era_verdict verdict = m_relays.judgePeerEra(era ? std::optional(store_era(era->value())) : std::nullopt);
        if (verdict == era_verdict::risen) {
            return;
        }
        if (verdict == era_verdict::outdated) {
            avoidReader(reader, "the instance's records may be from before a restore of the store", now);
            return;
        }
    }
    const std::string_view reason = unusableReason(response);
    m_isReaderUsable = reason.empty();
    if (!reason.empty()) {
        avoidReader(reader, reason, now);
        return;
    }
    const peer_records_response &read = response.value();
    if (reader != m_lastReader) {
        m_log.write(log_line("store", "records_received").add("topic", name()).add("reader", reader));
        m_lastReader = reader;
        m_readerResyncCount.reset();
    }
    const bool isNewReader = !m_readerResyncCount;
    const bool hasReaderResynced = m_readerResyncCount && *m_readerResyncCount != read.resyncCount;
    m_readerResyncCount = read.resyncCount;
    const bool mayLackChange = hasReaderResynced || (isNewReader && mayHaveMissedChange(read, now));
    if (mayLackChange && m_retry.isFailing()) {
        // The changes that have records are applied now; the others are looked for once the store responds.
        m_fullReadCause = full_read_cause::needed;
    } else if (read.isTruncated || mayLackChange) {
        m_log.write(log_line("store", "newest_needed")
                        .add("topic", name())
                        .add("gone", read.isTruncated)
                        .add("reset", hasReaderResynced)
                        .add("position", m_position.offset)
                        .add("reader_end", read.end));
        m_fullReadCause = full_read_cause::needed;
        startNextCall();
        return;
    }
    std::vector<store_record> records;
    for (const relayed_record &record : read.records) {
        records.push_back({record.key, record.value, {}});
    }
    m_onContact(true);
    recordSuccess();
    if (!applyRecords(std::move(records), now)) {
        readAnew();
        return;
    }
    recordUpToDate(now - read.age);
    scheduleNextCall(m_settings.askPause);
}

void topic_follower::avoidReader(const instance_id &reader, std::string_view reason, instant now)
{
    m_age.noteObstacle("reader " + reader.value() + ": " + std::string(reason));
    const bool isPrompt = now - m_requestedAt <= promptResponseTime;
    m_relays.relayClient.block(
        reader, m_settings.topic, isPrompt ? reader_failure::without_records : reader_failure::unresponsive, reason, now);
    // The bounds leave time for one reader that does not respond. After that the store itself is called, unless it has just failed.
    m_readsOnceAtStore = !isPrompt && !m_retry.isFailing();
    startNextCall();
}

bool topic_follower::mayHaveMissedChange(const peer_records_response &response, instant now) const
{
    return m_rereadAt.hasPassed(now) && now - response.sinceResync > m_completeAt;
}

std::string_view topic_follower::unusableReason(const outcome<peer_records_response> &response) const
{
    if (!response) {
        return response.error().message;
    }
    if (!response.value().isReader) {
        return "the instance does not read the topic at the store";
    }
    if (response.value().isTruncated && m_retry.isFailing()) {
        return "the instance no longer has the records";
    }
    return response.value().age > m_settings.maxRelayedAge ? "the instance's records are too old" : std::string_view();
}

} // namespace burdockshelf
