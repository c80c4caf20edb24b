#include "gateway/topic_relay.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

namespace burdockshelf
{

namespace
{

// An asker that wants to wait longer is answered by then.
constexpr std::chrono::milliseconds longestWait {1000};

std::size_t indexOf(store_topic topic)
{
    return static_cast<std::size_t>(topic);
}

} // namespace

topic_relay::topic_relay(event_loop &loop)
    : m_expiry(loop, [this] { expire(); })
{
}

void topic_relay::noteReset(store_topic topic, store_offset end)
{
    topic_state &state = m_topics.at(indexOf(topic));
    state.history.begin(end);
    ++state.resyncCount;
}

void topic_relay::noteRecords(store_topic topic, const std::vector<store_record> &records)
{
    m_topics.at(indexOf(topic)).history.append(records);
}

void topic_relay::noteContact(store_topic topic, instant now)
{
    topic_state &state = m_topics.at(indexOf(topic));
    state.isRead = true;
    state.contactAt = now;
    answerWaiting(topic, now);
}

void topic_relay::noteLeft(store_topic topic)
{
    m_topics.at(indexOf(topic)).isRead = false;
}

void topic_relay::answer(const peer_records_request &ask, sink<peer_message> reply, instant now)
{
    m_lastAsked = now;
    const topic_state *state = find(ask.topic);
    // An asker may be ahead of what was read here.
    const bool mayWait = state != nullptr && state->isRead && state->history.end().value() <= ask.from.value();
    if (!mayWait) {
        respond(ask, reply, now);
        return;
    }
    const deadline until = deadline::after(now, std::min(ask.wait, longestWait));
    m_waiting.push_back({ask, std::move(reply), until});
    if (!m_expiry.isArmed() || until < m_expiry.at()) {
        m_expiry.start(until);
    }
}

instant topic_relay::lastAsked() const
{
    return m_lastAsked;
}

topic_relay::topic_state *topic_relay::find(relayed_topic topic)
{
    const bool isKnown = topic.value() >= 0 && topic.value() < static_cast<std::int64_t>(m_topics.size());
    return isKnown ? &m_topics.at(static_cast<std::size_t>(topic.value())) : nullptr;
}

void topic_relay::respond(const peer_records_request &ask, const sink<peer_message> &reply, instant now)
{
    const topic_state *state = find(ask.topic);
    peer_records_response answer;
    if (state != nullptr && state->isRead) {
        answer.isReader = true;
        answer.resyncCount = state->resyncCount;
        answer.end = log_offset(state->history.end().value());
        answer.age = std::chrono::ceil<std::chrono::milliseconds>(now - state->contactAt);
        const bool isAhead = ask.from > answer.end;
        const auto records = isAhead ? std::vector<store_record>() : state->history.from(store_offset(ask.from.value()));
        answer.isTruncated = !records;
        for (const store_record &record : records.value_or(std::vector<store_record>())) {
            answer.records.push_back({record.key, record.value});
        }
    }
    LOG_IF(WARNING, reply.post(std::move(answer)) == post_result::full) << "store: an answer to another instance was dropped.";
}

void topic_relay::answerWaiting(store_topic topic, instant now)
{
    for (auto at = m_waiting.begin(); at != m_waiting.end();) {
        const bool isConcerned = at->ask.topic.value() == static_cast<std::int64_t>(topic);
        const bool hasNews = isConcerned && m_topics.at(indexOf(topic)).history.end().value() > at->ask.from.value();
        if (!hasNews) {
            ++at;
            continue;
        }
        respond(at->ask, at->reply, now);
        at = m_waiting.erase(at);
    }
}

void topic_relay::expire()
{
    const instant now = boot_clock::now();
    deadline next = deadline::never();
    for (auto at = m_waiting.begin(); at != m_waiting.end();) {
        if (!at->until.hasPassed(now)) {
            next = std::min(next, at->until);
            ++at;
            continue;
        }
        respond(at->ask, at->reply, now);
        at = m_waiting.erase(at);
    }
    if (!next.isNever()) {
        m_expiry.start(next);
    }
}

} // namespace burdockshelf
