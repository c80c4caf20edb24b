#include "gateway/topic_relay.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

namespace burdockshelf
{

namespace
{

// Longest time that a request waits for records. A request with a longer wait is not refused, but gets its response after this time.
constexpr std::chrono::milliseconds maxRequestWait {1000};

std::size_t indexOf(store_topic topic)
{
    return static_cast<std::size_t>(topic);
}

} // namespace

topic_relay::topic_relay(event_loop &loop, const store_era_tracker &era)
    : m_era(era)
    , m_expiry(loop, [this] { respondToExpired(); })
{
}

void topic_relay::recordSnapshot(store_topic topic, store_offset end, instant now)
{
    topic_state &state = m_topics.at(indexOf(topic));
    state.history.begin(end);
    ++state.resyncCount;
    state.resyncedAt = now;
}

void topic_relay::recordUpdates(store_topic topic, const std::vector<store_record> &records)
{
    m_topics.at(indexOf(topic)).history.append(records);
}

void topic_relay::recordContact(store_topic topic, instant now)
{
    topic_state &state = m_topics.at(indexOf(topic));
    state.isReadAtStore = true;
    state.lastContactAt = now;
    respondToWaiting(topic, now);
}

void topic_relay::markNotReading(store_topic topic)
{
    m_topics.at(indexOf(topic)).isReadAtStore = false;
}

void topic_relay::beginEra()
{
    for (topic_state &state : m_topics) {
        state.isReadAtStore = false;
    }
    const instant now = boot_clock::now();
    for (const waiting_request &waiting : std::exchange(m_waiting, {})) {
        respond(waiting.request, waiting.reply, now);
    }
}

void topic_relay::handleRequest(const peer_records_request &request, sink<peer_message> reply, instant now)
{
    m_lastRequestAt = now;
    const topic_state *state = find(request.topic);
    // The requesting instance may have records that were not read here yet.
    const bool mayWait =
        state != nullptr && state->isReadAtStore && !isOutdated(request) && state->history.end().value() <= request.from.value();
    if (!mayWait) {
        respond(request, reply, now);
        return;
    }
    const deadline until = deadline::after(now, std::min(request.wait, maxRequestWait));
    m_waiting.push_back({request, std::move(reply), until});
    if (!m_expiry.isArmed() || until < m_expiry.at()) {
        m_expiry.start(until);
    }
}

instant topic_relay::lastRequestAt() const
{
    return m_lastRequestAt;
}

topic_relay::topic_state *topic_relay::find(relayed_topic topic)
{
    const bool isKnown = topic.value() >= 0 && topic.value() < static_cast<std::int64_t>(m_topics.size());
    return isKnown ? &m_topics.at(static_cast<std::size_t>(topic.value())) : nullptr;
}

bool topic_relay::isOutdated(const peer_records_request &request) const
{
    return request.era && m_era.current() && store_era(request.era->value()) < *m_era.current();
}

void topic_relay::respond(const peer_records_request &request, const sink<peer_message> &reply, instant now)
{
    const topic_state *state = find(request.topic);
    peer_records_response response;
    if (const auto era = m_era.current()) {
        response.era = relayed_era(era->value());
    }
    if (state != nullptr && state->isReadAtStore) {
        response.isReader = true;
        response.resyncCount = state->resyncCount;
        response.sinceResync = std::chrono::floor<std::chrono::milliseconds>(now - state->resyncedAt);
        response.end = log_offset(state->history.end().value());
        response.age = std::chrono::ceil<std::chrono::milliseconds>(now - state->lastContactAt);
        const bool isAhead = request.from > response.end;
        auto records = isAhead ? std::vector<store_record>() : state->history.from(store_offset(request.from.value()));
        if (isOutdated(request)) {
            records.reset();
        }
        response.isTruncated = !records;
        for (const store_record &record : records.value_or(std::vector<store_record>())) {
            response.records.push_back({record.key, record.value});
        }
    }
    LOG_IF(WARNING, reply.post(std::move(response)) == post_result::full)
        << "store: dropped a records response because the receiver's mailbox is full.";
}

void topic_relay::respondToWaiting(store_topic topic, instant now)
{
    for (auto at = m_waiting.begin(); at != m_waiting.end();) {
        const bool isSameTopic = at->request.topic.value() == static_cast<std::int64_t>(topic);
        const bool hasNewRecords = isSameTopic && m_topics.at(indexOf(topic)).history.end().value() > at->request.from.value();
        if (!hasNewRecords) {
            ++at;
            continue;
        }
        respond(at->request, at->reply, now);
        at = m_waiting.erase(at);
    }
}

void topic_relay::respondToExpired()
{
    const instant now = boot_clock::now();
    deadline next = deadline::never();
    for (auto at = m_waiting.begin(); at != m_waiting.end();) {
        if (!at->until.hasPassed(now)) {
            next = std::min(next, at->until);
            ++at;
            continue;
        }
        respond(at->request, at->reply, now);
        at = m_waiting.erase(at);
    }
    if (!next.isNever()) {
        m_expiry.start(next);
    }
}

} // namespace burdockshelf
