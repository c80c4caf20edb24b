#include "gateway/topic_follower.h"

#include <array>
#include <utility>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds firstRetry {40};
constexpr milliseconds lastRetry {400};
// A stale answer of the store is asked for again after this pause.
constexpr milliseconds stalePause {250};

std::string_view topicName(store_topic topic)
{
    static constexpr std::array<std::string_view, 3> names = {"operators", "endpoints", "members"};
    return names.at(static_cast<std::size_t>(topic));
}

} // namespace

topic_follower::topic_follower(event_loop &loop,
                               const socket_address &store,
                               const store_dialect &dialect,
                               follow_settings settings,
                               update_handler onUpdate,
                               contact_handler onContact,
                               event_log log,
                               random_source &random)
    : m_dialect(dialect)
    , m_settings(settings)
    , m_onUpdate(std::move(onUpdate))
    , m_onContact(std::move(onContact))
    , m_log(std::move(log))
    , m_random(random)
    , m_call(loop, store)
    , m_next(loop, [this] { next(); })
    , m_backoff(firstRetry, lastRetry)
{
}

void topic_follower::start()
{
    next();
}

void topic_follower::hurry()
{
    if (!m_call.isBusy() && !m_isFailing) {
        waitForNext(milliseconds::zero());
    }
}

void topic_follower::next()
{
    if (!m_readsNewest && m_rereadAt.hasPassed(boot_clock::now())) {
        m_readsNewest = true;
    }
    if (m_readsNewest) {
        m_page.clear();
        m_afterKey.clear();
        readNewest();
    } else {
        readOn();
    }
}

void topic_follower::readNewest()
{
    const deadline until = deadline::after(boot_clock::now(), m_settings.answerTime);
    m_call.begin(
        m_dialect.readNewest(m_settings.topic, m_afterKey), until, [this](const outcome<http_response> &answer) { takePage(answer); });
}

void topic_follower::readOn()
{
    const deadline until = deadline::after(boot_clock::now(), m_settings.wait + m_settings.answerTime);
    m_call.begin(m_dialect.readFrom(m_settings.topic, m_position, m_settings.wait), until, [this](const outcome<http_response> &answer) {
        takeBatch(answer);
    });
}

void topic_follower::takePage(const outcome<http_response> &answer)
{
    if (!answer) {
        retryLater(answer.error().message);
        return;
    }
    auto page = m_dialect.decodeNewest(answer.value());
    if (!page) {
        retryLater(page.error().message);
        return;
    }
    noteSuccess();
    if (m_page.empty() && m_afterKey.empty()) {
        // Pages are no snapshot; what changes while they are read stands behind the end of the first.
        m_pageEnd = page.value().end;
    }
    if (m_pageEnd < m_position) {
        m_log.write(log_line("store", "stale_answer_ignored")
                        .add("topic", topicName(m_settings.topic))
                        .add("end", m_pageEnd)
                        .add("position", m_position));
        waitForNext(stalePause);
        return;
    }
    for (store_record &record : page.value().records) {
        m_afterKey = record.key;
        m_page.push_back(std::move(record));
    }
    if (page.value().hasMore) {
        readNewest();
        return;
    }
    std::map<std::string, store_offset> listed;
    for (const store_record &record : m_page) {
        const auto known = m_newest.find(record.key);
        const bool isOlder = known != m_newest.end() && record.offset < known->second;
        listed[record.key] = isOlder ? known->second : record.offset;
    }
    m_newest = std::move(listed);
    m_position = m_pageEnd;
    m_readsNewest = false;
    m_rereadAt = deadline::after(boot_clock::now(), m_settings.rereadPause);
    m_onUpdate(topic_reset {m_settings.topic, std::exchange(m_page, {})});
    waitForNext(m_settings.pause);
}

void topic_follower::takeBatch(const outcome<http_response> &answer)
{
    if (!answer) {
        retryLater(answer.error().message);
        return;
    }
    auto batch = m_dialect.decodeBatch(answer.value());
    if (!batch && batch.error().code == error_code::not_found) {
        m_log.write(log_line("store", "history_gone").add("topic", topicName(m_settings.topic)).add("position", m_position));
        noteSuccess();
        m_readsNewest = true;
        waitForNext(milliseconds::zero());
        return;
    }
    if (!batch) {
        retryLater(batch.error().message);
        return;
    }
    noteSuccess();
    if (batch.value().end < m_position) {
        m_log.write(log_line("store", "stale_answer_ignored")
                        .add("topic", topicName(m_settings.topic))
                        .add("end", batch.value().end)
                        .add("position", m_position));
        waitForNext(stalePause);
        return;
    }
    std::vector<store_record> records = std::move(batch.value().records);
    for (store_record &record : records) {
        record.offset = m_position;
        m_position += store_offset(1);
        m_newest[record.key] = record.offset;
    }
    const bool hasMore = m_position < batch.value().end;
    if (!records.empty()) {
        m_onUpdate(topic_changed {m_settings.topic, std::move(records)});
    }
    waitForNext(hasMore ? milliseconds::zero() : m_settings.pause);
}

void topic_follower::retryLater(std::string_view cause)
{
    m_log.write(log_line("store", "call_failed").add("topic", topicName(m_settings.topic)).add("cause", cause).add("position", m_position));
    m_isFailing = true;
    m_onContact(false);
    m_next.start(deadline::after(boot_clock::now(), m_backoff.next(m_random)));
}

void topic_follower::noteSuccess()
{
    m_isFailing = false;
    m_backoff.reset();
    m_onContact(true);
}

void topic_follower::waitForNext(milliseconds pause)
{
    m_next.start(deadline::after(boot_clock::now(), pause));
}

} // namespace burdockshelf
