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
// Records that come while the newest ones are checked put the check off.
constexpr milliseconds nextCheck {1000};
// An instance that was asked for records within this time reads them for others.
constexpr milliseconds readingTime {3000};

std::string_view topicName(store_topic topic)
{
    static constexpr std::array<std::string_view, 3> names = {"operators", "endpoints", "members"};
    return names.at(static_cast<std::size_t>(topic));
}

} // namespace

topic_follower::topic_follower(event_loop &loop,
                               const socket_address &store,
                               const store_dialect &dialect,
                               topic_follower_settings settings,
                               topic_links links,
                               update_handler onUpdate,
                               contact_handler onContact,
                               event_log log,
                               random_source &random)
    : m_dialect(dialect)
    , m_settings(settings)
    , m_links(links)
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
    const instant now = boot_clock::now();
    const bool readsHere = readsForOthers(now) || !m_links.source.isUsable(now);
    if (readsHere && !m_call.isBusy() && !m_isAsking && !m_isFailing) {
        waitForNext(milliseconds::zero());
    }
}

void topic_follower::forgetReader()
{
    m_resets.reset();
}

void topic_follower::next()
{
    const instant now = boot_clock::now();
    const bool isReader = readsForOthers(now) || !m_links.source.isUsable(now);
    if (isReader && !m_newestCause && m_rereadAt.hasPassed(now)) {
        m_newestCause = newest_cause::check;
    }
    if (m_newestCause) {
        m_page.clear();
        m_afterKey.clear();
        readNewest();
    } else if (isReader) {
        readOn();
    } else {
        askReader();
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
    const instant now = boot_clock::now();
    const milliseconds wait = rhythm(now).wait;
    m_call.begin(m_dialect.readFrom(m_settings.topic, m_position, wait),
                 deadline::after(now, wait + m_settings.answerTime),
                 [this](const outcome<http_response> &answer) { takeBatch(answer); });
}

void topic_follower::askReader()
{
    m_isAsking = true;
    m_links.readers.noteLeft(m_settings.topic);
    m_links.source.ask(m_settings.topic, m_position, boot_clock::now(), [this](const outcome<peer_records_response> &answer) {
        m_isAsking = false;
        takeRelayed(answer);
    });
}

bool topic_follower::readsForOthers(instant now) const
{
    return now - m_links.readers.lastAsked() < readingTime;
}

call_rhythm topic_follower::rhythm(instant now) const
{
    return readsForOthers(now) ? m_settings.whileRelaying : m_settings.own;
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
    finishPages();
}

void topic_follower::finishPages()
{
    const instant now = boot_clock::now();
    const bool isCheck = m_newestCause == newest_cause::check;
    m_newestCause.reset();
    m_links.readers.noteContact(m_settings.topic, now);
    if (isCheck && m_pageEnd != m_position) {
        // Records that are still to come may tell of what is new.
        m_rereadAt = deadline::after(now, nextCheck);
        waitForNext(milliseconds::zero());
        return;
    }
    m_rereadAt = deadline::after(now, m_settings.rereadPause);
    std::map<std::string, newest_record> listed;
    for (const store_record &record : m_page) {
        const auto known = m_newest.find(record.key);
        const bool isOlder = known != m_newest.end() && record.offset < known->second.offset;
        listed[record.key] = isOlder ? known->second : newest_record {record.offset, false};
    }
    if (!isCheck || isSurprise(listed)) {
        m_newest = std::move(listed);
        m_position = m_pageEnd;
        m_links.readers.noteReset(m_settings.topic, m_position);
        m_onUpdate(topic_snapshot {m_settings.topic, std::exchange(m_page, {}), storeSilence(now)});
    }
    noteUpToDate(now);
    waitForNext(milliseconds::zero());
}

bool topic_follower::isSurprise(const std::map<std::string, newest_record> &listed) const
{
    for (const auto &[key, record] : listed) {
        const auto known = m_newest.find(key);
        if (known == m_newest.end() || known->second.isDropped || known->second.offset != record.offset) {
            return true;
        }
    }
    for (const auto &[key, known] : m_newest) {
        if (!known.isDropped && listed.count(key) == 0) {
            return true;
        }
    }
    return false;
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
        m_newestCause = newest_cause::needed;
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
    const instant now = boot_clock::now();
    takeRecords(std::move(batch.value().records), now);
    m_links.readers.noteContact(m_settings.topic, now);
    const bool hasMore = m_position < batch.value().end;
    if (!hasMore) {
        noteUpToDate(now);
    }
    waitForNext(hasMore ? milliseconds::zero() : rhythm(now).pause);
}

void topic_follower::takeRecords(std::vector<store_record> &&records, instant now)
{
    if (records.empty()) {
        return;
    }
    for (store_record &record : records) {
        record.offset = m_position;
        m_position += store_offset(1);
        m_newest[record.key] = {record.offset, !record.value.has_value()};
    }
    m_links.readers.noteRecords(m_settings.topic, records);
    m_onUpdate(topic_update {m_settings.topic, std::move(records), storeSilence(now)});
}

void topic_follower::takeRelayed(const outcome<peer_records_response> &answer)
{
    const instant now = boot_clock::now();
    const std::string_view flaw = flawOf(answer);
    if (!flaw.empty()) {
        m_links.source.block(flaw, now);
        next();
        return;
    }
    const peer_records_response &read = answer.value();
    const bool isNewReader = !m_resets;
    const bool hasReset = m_resets && *m_resets != read.resyncCount;
    m_resets = read.resyncCount;
    if (read.isTruncated || hasReset || (isNewReader && m_rereadAt.hasPassed(now))) {
        m_log.write(log_line("store", "newest_needed")
                        .add("topic", topicName(m_settings.topic))
                        .add("gone", read.isTruncated)
                        .add("reset", hasReset)
                        .add("position", m_position)
                        .add("reader_end", read.end));
        m_newestCause = newest_cause::needed;
        next();
        return;
    }
    std::vector<store_record> records;
    for (const relayed_record &record : read.records) {
        records.push_back({record.key, record.value, {}});
    }
    noteSuccess();
    takeRecords(std::move(records), now);
    noteUpToDate(now - read.age);
    waitForNext(m_settings.askPause);
}

std::string_view topic_follower::flawOf(const outcome<peer_records_response> &answer) const
{
    if (!answer) {
        return answer.error().message;
    }
    if (!answer.value().isReader) {
        return "it does not read the topic";
    }
    return answer.value().age > m_settings.maxRelayedAge ? "its records are too old" : std::string_view();
}

void topic_follower::noteSuccess()
{
    m_isFailing = false;
    m_backoff.reset();
    m_onContact(true);
}

milliseconds topic_follower::storeSilence(instant now) const
{
    return m_upToDateAt ? std::chrono::floor<milliseconds>(now - *m_upToDateAt) : milliseconds::zero();
}

void topic_follower::noteUpToDate(instant at)
{
    m_upToDateAt = std::max(m_upToDateAt.value_or(at), at);
}

void topic_follower::retryLater(std::string_view cause)
{
    m_log.write(log_line("store", "call_failed").add("topic", topicName(m_settings.topic)).add("cause", cause).add("position", m_position));
    m_isFailing = true;
    m_onContact(false);
    m_next.start(deadline::after(boot_clock::now(), m_backoff.next(m_random)));
}

void topic_follower::waitForNext(milliseconds pause)
{
    m_next.start(deadline::after(boot_clock::now(), pause));
}

} // namespace burdockshelf
