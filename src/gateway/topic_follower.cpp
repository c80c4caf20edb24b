#include "gateway/topic_follower.h"

#include "gateway/response_limits.h"

#include <algorithm>
#include <array>
#include <utility>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds minRetryDelay {40};
// Delay before retrying after a stale response of the store.
constexpr milliseconds staleRetryDelay {250};
// Delay before repeating a check that was postponed because records before the end of its first page had not been read yet.
constexpr milliseconds checkRetryDelay {1000};
// All instances learn of a restore at nearly the same time.
constexpr milliseconds restoreReadSpread {300};

std::string_view topicName(store_topic topic)
{
    static constexpr std::array<std::string_view, followedTopicCount> names = {
        "operators", "endpoints", "members", "crash_reports", "rollouts"};
    return names.at(static_cast<std::size_t>(topic));
}

} // namespace

topic_follower::topic_follower(event_loop &loop,
                               const socket_address &store,
                               const store_dialect &dialect,
                               store_call_counter calls,
                               topic_follower_settings settings,
                               topic_relays links,
                               update_handler onUpdate,
                               contact_handler onContact,
                               event_log log,
                               random_source &random)
    : m_dialect(dialect)
    , m_calls(std::move(calls))
    , m_settings(settings)
    , m_relays(std::move(links))
    , m_onUpdate(std::move(onUpdate))
    , m_onContact(std::move(onContact))
    , m_log(std::move(log))
    , m_random(random)
    , m_call(loop, store, deadline_scope::start_of_response)
    , m_next(loop, [this] { startNextCall(); })
    , m_backoff(minRetryDelay, maxRetryDelay)
    , m_retry(settings.responseTimeout, settings.extendedTimeout)
    , m_age(settings.overdueAfter)
{
}

void topic_follower::start()
{
    m_age.begin(boot_clock::now());
    startNextCall();
}

void topic_follower::readNow()
{
    const instant now = boot_clock::now();
    if (readsAtStore(now) && !m_call.isBusy() && !m_isRequestPending && !m_retry.isFailing()) {
        scheduleNextCall(milliseconds::zero());
    }
}

void topic_follower::readAfterRestore()
{
    ++m_reading;
    if (m_call.isBusy()) {
        m_call.abandon();
    }
    m_isRequestPending = false;
    m_isRestored = true;
    m_fullReadCause = full_read_cause::needed;
    m_readsOnceAtStore = false;
    m_newest.clear();
    m_position = {m_relays.era.current().value_or(store_era()), {}};
    m_readerResyncCount.reset();
    m_completeAt = {};
    scheduleNextCall(milliseconds(m_random.below(restoreReadSpread.count())));
}

void topic_follower::logIfOverdue(instant now)
{
    if (m_isPaused || !m_age.takeOverdue(now)) {
        return;
    }
    std::string_view doing = "pausing";
    if (m_isRequestPending) {
        doing = "waiting_for_reader";
    } else if (m_call.isBusy()) {
        doing = "waiting_for_store";
    }
    m_log.write(log_line("store", "topic_overdue")
                    .add("topic", name())
                    .add("age_ms", m_age.age(now))
                    .add("cause", m_age.obstacle().empty() ? "no response yet" : m_age.obstacle())
                    .add("doing", doing)
                    .add("position", m_position.offset));
}

std::optional<boot_clock::duration> topic_follower::age(instant now) const
{
    return m_isPaused ? std::nullopt : std::optional(m_age.age(now));
}

std::string_view topic_follower::name() const
{
    return topicName(m_settings.topic);
}

const store_position &topic_follower::position() const
{
    return m_position;
}

void topic_follower::setPaused(bool isPaused)
{
    if (isPaused == std::exchange(m_isPaused, isPaused)) {
        return;
    }
    if (isPaused) {
        m_relays.relay.markNotReading(m_settings.topic);
        return;
    }
    m_age.begin(boot_clock::now());
    m_fullReadCause = full_read_cause::needed;
    if (!m_call.isBusy() && !m_isRequestPending) {
        scheduleNextCall(milliseconds::zero());
    }
}

void topic_follower::startNextCall()
{
    if (m_isPaused) {
        return;
    }
    const instant now = boot_clock::now();
    if (m_isRequestPending) {
        m_log.write(log_line("store", "response_lost").add("topic", name()).add("position", m_position.offset));
        m_age.noteObstacle("the response of a reader was lost");
        ++m_reading;
        m_isRequestPending = false;
        m_readsOnceAtStore = true;
    }
    const bool isReader = readsAtStore(now);
    if (isReader && !m_readsOnceAtStore && !m_fullReadCause && m_rereadAt.hasPassed(now)) {
        m_fullReadCause = full_read_cause::check;
    }
    if (!isReader && (!m_fullReadCause || mayPostponeFullRead(now))) {
        requestFromReader();
        return;
    }
    if (waitForStore(now)) {
        return;
    }
    if (m_retry.mustProbe()) {
        probeStore();
    } else if (m_fullReadCause) {
        m_page.clear();
        m_afterKey.clear();
        m_pagesBegunAt = now;
        readNewest();
    } else {
        readUpdates();
    }
}

bool topic_follower::waitForStore(instant now)
{
    const deadline next = m_relays.gate.nextCallAt(now);
    if (!next.hasPassed(now)) {
        m_next.start(next);
        return true;
    }
    m_relays.gate.noteBegun(now);
    return false;
}

void topic_follower::probeStore()
{
    m_calls.count(store_call::probe);
    m_callBegunAt = boot_clock::now();
    const deadline until = deadline::after(m_callBegunAt, m_retry.probeTimeout());
    m_call.begin(m_dialect.probe(m_settings.topic), until, response_limits::records, [this](const outcome<http_response> &response) {
        handleProbe(response);
    });
}

void topic_follower::readNewest()
{
    m_calls.count(store_call::read_newest);
    m_callBegunAt = boot_clock::now();
    const deadline until = deadline::after(m_callBegunAt, m_retry.readTimeout());
    m_call.begin(m_dialect.readNewest(m_settings.topic, m_afterKey),
                 until,
                 response_limits::records,
                 [this](const outcome<http_response> &response) { handlePage(response); });
}

void topic_follower::readUpdates()
{
    const instant now = boot_clock::now();
    // A call that hangs after a failure must not be waited for longer than the extended timeout.
    const bool mayWait = !m_retry.isFailing() && !m_relays.gate.isFailing() && !m_readsOnceAtStore;
    const milliseconds wait = mayWait ? pollTiming(now).wait : milliseconds::zero();
    m_calls.count(store_call::read_updates);
    m_callBegunAt = now;
    m_call.begin(m_dialect.readFrom(m_settings.topic, m_position.offset, wait),
                 deadline::after(now, wait + m_retry.readTimeout()),
                 response_limits::records,
                 [this](const outcome<http_response> &response) { handleBatch(response); });
}

poll_timing topic_follower::pollTiming(instant now) const
{
    return isRelaying(now) ? m_settings.whileRelaying : m_settings.own;
}

bool topic_follower::isOfPresentEra(const outcome<http_response> &response)
{
    if (!response) {
        return true;
    }
    const era_verdict verdict = m_relays.judgeStoreEra(m_dialect.decodeEra(response.value()));
    if (verdict == era_verdict::outdated) {
        m_log.write(log_line("store", "outdated_era_ignored").add("topic", name()));
        m_age.noteObstacle("the store's response is of an era before a restore");
        scheduleNextCall(staleRetryDelay);
    }
    return verdict == era_verdict::current;
}

void topic_follower::handleProbe(const outcome<http_response> &response)
{
    if (!isOfPresentEra(response)) {
        return;
    }
    const auto answer = response ? m_dialect.decodeNewest(response.value()) : outcome<store_page>(response.error());
    if (!answer) {
        retryLater(answer.error().message);
        return;
    }
    recordStoreContact();
    m_retry.noteProbeAnswered();
    startNextCall();
}

void topic_follower::handlePage(const outcome<http_response> &response)
{
    if (!isOfPresentEra(response)) {
        return;
    }
    if (!response) {
        retryLater(response.error().message);
        return;
    }
    auto page = m_dialect.decodeNewest(response.value());
    if (!page) {
        retryLater(page.error().message);
        return;
    }
    const std::vector<store_record> &read = page.value().records;
    if (page.value().hasMore && (read.empty() || read.back().key == m_afterKey)) {
        retryLater("a page announces more records and does not advance");
        return;
    }
    recordStoreContact();
    if (m_page.empty() && m_afterKey.empty()) {
        // The pages do not show the topic at a single moment. Changes made while they are read have records at or after the end offset of
        // the first page, which is the offset of the next record to read.
        m_pageEnd = {m_relays.era.current().value_or(store_era()), page.value().end};
    }
    if (m_pageEnd < m_position) {
        ignoreStaleAnswer(m_pageEnd);
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
    const bool isCheck = m_fullReadCause == full_read_cause::check;
    m_fullReadCause.reset();
    recordSuccess();
    m_relays.relay.recordContact(m_settings.topic, now);
    if (isCheck && m_pageEnd != m_position) {
        // The differences may be due to records that have not been read yet.
        m_rereadAt = deadline::after(now, checkRetryDelay);
        scheduleNextCall(milliseconds::zero());
        return;
    }
    m_rereadAt = deadline::after(now, m_settings.rereadInterval);
    m_completeAt = m_pagesBegunAt;
    std::map<std::string, newest_record> listed;
    for (const store_record &record : m_page) {
        const auto known = m_newest.find(record.key);
        const bool isOlder = known != m_newest.end() && record.offset < known->second.offset;
        listed[record.key] = isOlder ? known->second : newest_record {record.offset, false};
    }
    if (!isCheck || hasUnreportedChange(listed)) {
        if (!m_onUpdate(topic_snapshot {m_settings.topic, std::exchange(m_page, {}), m_age.silence(now), m_isRestored})) {
            m_relays.relay.markNotReading(m_settings.topic);
            readAnew();
            return;
        }
        m_newest = std::move(listed);
        m_position = m_pageEnd;
        m_isRestored = false;
        m_relays.relay.recordSnapshot(m_settings.topic, m_position.offset, now);
    }
    recordUpToDate(now);
    scheduleNextCall(milliseconds::zero());
}

bool topic_follower::hasUnreportedChange(const std::map<std::string, newest_record> &listed) const
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

void topic_follower::handleBatch(const outcome<http_response> &response)
{
    if (!isOfPresentEra(response)) {
        return;
    }
    if (!response) {
        retryLater(response.error().message);
        return;
    }
    auto batch = m_dialect.decodeBatch(response.value());
    if (!batch && batch.error().code == error_code::not_found) {
        m_log.write(log_line("store", "history_gone").add("topic", name()).add("position", m_position.offset));
        recordStoreContact();
        m_fullReadCause = full_read_cause::needed;
        scheduleNextCall(milliseconds::zero());
        return;
    }
    if (!batch) {
        retryLater(batch.error().message);
        return;
    }
    recordStoreContact();
    const store_position end {m_position.era, batch.value().end};
    if (end < m_position) {
        ignoreStaleAnswer(end);
        return;
    }
    const instant now = boot_clock::now();
    const bool isDelivered = applyRecords(std::move(batch.value().records), now);
    m_relays.relay.recordContact(m_settings.topic, now);
    if (!isDelivered) {
        recordSuccess();
        readAnew();
        return;
    }
    const bool hasMore = m_position < end;
    if (!hasMore) {
        recordSuccess();
        recordUpToDate(now);
    }
    scheduleNextCall(hasMore ? milliseconds::zero() : pollTiming(now).pause);
}

bool topic_follower::applyRecords(std::vector<store_record> &&records, instant now)
{
    if (records.empty()) {
        return true;
    }
    for (store_record &record : records) {
        record.offset = m_position.offset;
        m_position.offset += store_offset(1);
        m_newest[record.key] = {record.offset, !record.value.has_value()};
    }
    m_relays.relay.recordUpdates(m_settings.topic, records);
    return m_onUpdate(topic_update {m_settings.topic, std::move(records), m_age.silence(now)});
}

void topic_follower::readAnew()
{
    m_fullReadCause = full_read_cause::needed;
    scheduleNextCall(undeliveredRetryDelay);
}

void topic_follower::recordStoreContact()
{
    m_relays.gate.noteSuccess();
    m_onContact(true);
}

void topic_follower::recordSuccess()
{
    m_readsOnceAtStore = false;
    m_retry.noteComplete();
    m_backoff.reset();
}

void topic_follower::recordUpToDate(instant at)
{
    if (const auto reached = m_age.noteUpToDate(at, boot_clock::now())) {
        m_log.write(log_line("store", "topic_current").add("topic", name()).add("age_ms", *reached));
    }
}

void topic_follower::ignoreStaleAnswer(const store_position &end)
{
    m_log.write(log_line("store", "stale_answer_ignored").add("topic", name()).add("end", end.offset).add("position", m_position.offset));
    m_age.noteObstacle("the store's records end before those that were read");
    recordSuccess();
    scheduleNextCall(staleRetryDelay);
}

void topic_follower::retryLater(std::string_view cause)
{
    m_log.write(log_line("store", "call_failed")
                    .add("topic", name())
                    .add("cause", cause)
                    .add("position", m_position.offset)
                    .add("waited_ms", boot_clock::now() - m_callBegunAt));
    m_age.noteObstacle("store: " + std::string(cause));
    m_readsOnceAtStore = false;
    m_retry.noteFailure();
    m_relays.gate.noteFailure(boot_clock::now(), m_random);
    m_onContact(false);
    m_next.start(deadline::after(boot_clock::now(), m_backoff.next(m_random)));
}

void topic_follower::scheduleNextCall(milliseconds pause)
{
    m_next.start(deadline::after(boot_clock::now(), pause));
}

} // namespace burdockshelf
