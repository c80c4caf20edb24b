#include "gateway/store_task.h"

#include "gateway/response_limits.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include <glog/logging.h>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds writeTimeout {1500};
// A storm of crashes changes the report many times a second.
constexpr milliseconds crashReportInterval {100};
constexpr milliseconds crashReportRetryDelay {500};

// Longest time that the response to a long poll may take after its wait has ended.
constexpr milliseconds responseTimeout {450};
// Reserved within a bound for the next call on a new connection and for applying the change.
constexpr milliseconds applyMargin {200};
// A long poll that reaches the store while a change is being written returns the change only at the end of its wait, so the wait must end
// this long before the bound.
constexpr milliseconds missedChangeMargin {400};
constexpr milliseconds minWait {200};
// A store that all instances read at once is waited for up to this many times the usual timeout.
constexpr std::int64_t timeoutExtension = 8;
// Endpoints rewrite their entries periodically; a pause between polls lets one poll return the changes of several endpoints. The pause is
// the bound for draining endpoints divided by this number.
constexpr std::int64_t drainPauseDivisor = 3;
constexpr milliseconds relayPause {100};
// Longest time for passing on records that another instance has read.
constexpr milliseconds maxRelayLatency {250};
// Every instance writes its evidence once a second; a pause lets one poll return that of many.
constexpr milliseconds rolloutsPause {250};
constexpr milliseconds contactInterval {250};
constexpr milliseconds membersPause {10000};
constexpr milliseconds membersRelayPause {2000};
constexpr milliseconds membersResponseTimeout {1000};
constexpr milliseconds rereadInterval {10000};
constexpr milliseconds membersRereadInterval {60000};
// Number of instances that request records from the same reader.
constexpr std::int64_t instancesPerReader = 16;
// Instances that start at the same time have joined the group by then.
constexpr milliseconds firstHoldersRequestDelay {1000};
constexpr std::int64_t holdersRequestsAtStart = 2;
constexpr milliseconds holdersRequestInterval {5000};
constexpr milliseconds topicAgesInterval {250};

milliseconds longPollWait(milliseconds bound, milliseconds silence)
{
    // An unresponsive connection is detected after the wait and the response timeout.
    return std::max(std::min(bound - missedChangeMargin, silence - responseTimeout - applyMargin), minWait);
}

// Largest age of another instance's records at which a further request to it and, if that fails, a call to the store still keep the bound.
milliseconds relayedAgeLimit(milliseconds bound)
{
    return std::max(bound - topic_relay_client::peerRequestTimeout - applyMargin, minWait);
}

// A call that is lost at the beginning of a silence may hang until the store is back. It must then fail early enough for the next ones to
// bring the instance up to date within the bound.
milliseconds extendedTimeout(milliseconds usual, milliseconds silence)
{
    return std::clamp(silence - topic_follower::maxRetryDelay - responseTimeout - applyMargin, usual, usual * timeoutExtension);
}

topic_follower_settings makeTopicSettings(store_topic topic, milliseconds bound, milliseconds silence, milliseconds pause)
{
    topic_follower_settings settings;
    settings.topic = topic;
    settings.own = {longPollWait(bound, silence), pause};
    settings.whileRelaying = {std::max(relayedAgeLimit(bound) - maxRelayLatency - relayPause, minWait), relayPause};
    settings.maxRelayedAge = relayedAgeLimit(bound);
    settings.responseTimeout = responseTimeout;
    settings.extendedTimeout = extendedTimeout(responseTimeout, silence);
    settings.rereadInterval = rereadInterval;
    // Without new records, two responses of the store may be further apart than the bound.
    settings.overdueAfter = std::max(bound, settings.own.wait + settings.own.pause + responseTimeout);
    return settings;
}

topic_follower_settings makeMembersSettings(milliseconds silence)
{
    topic_follower_settings settings;
    settings.topic = store_topic::members;
    settings.own = {milliseconds(0), membersPause};
    settings.whileRelaying = {milliseconds(0), membersRelayPause};
    settings.askPause = membersRelayPause;
    settings.maxRelayedAge = membersPause;
    settings.responseTimeout = membersResponseTimeout;
    settings.extendedTimeout = extendedTimeout(membersResponseTimeout, silence);
    settings.rereadInterval = membersRereadInterval;
    return settings;
}

} // namespace

std::array<topic_follower_settings, followedTopicCount> topicFollowerSettings(const store_latency_bounds &bounds)
{
    return {
        makeTopicSettings(store_topic::operators, bounds.configuration, bounds.silence, milliseconds(0)),
        makeTopicSettings(store_topic::endpoints, bounds.drain, bounds.silence, bounds.drain / drainPauseDivisor),
        makeMembersSettings(bounds.silence),
        makeTopicSettings(store_topic::crash_reports, bounds.configuration, bounds.silence, milliseconds(0)),
        makeTopicSettings(store_topic::rollouts, bounds.configuration, bounds.silence, rolloutsPause),
    };
}

store_task::store_task(event_loop &loop,
                       std::shared_ptr<mailbox<store_message>> box,
                       store_settings settings,
                       const store_dialect &dialect,
                       store_addresses to,
                       event_log log,
                       random_source random)
    : task(std::move(box))
    , m_settings(std::move(settings))
    , m_dialect(dialect)
    , m_to(std::move(to))
    , m_log(std::move(log))
    , m_random(random)
    , m_writer(loop, m_settings.address)
    , m_crashReportWriter(loop, m_settings.address)
    , m_crashReportTimer(loop, [this] { writeCrashReport(); })
    , m_sendCrashReportTimer(loop, [this] { sendCrashReport(); })
    , m_rolloutWriter(
          loop,
          m_settings.address,
          m_dialect,
          m_to.calls,
          [this](const rollout_decision &decided) { post(rollout_status_written {decided}); },
          m_log)
    , m_relay(loop, m_era)
    , m_relayClient(m_to.mesh, makeSink<peer_response>(self()), m_log)
    , m_holdersTimer(loop, [this] { requestHolders(); })
    , m_topicAgesTimer(loop, [this] { reviewTopicAges(); })
{
    for (const topic_follower_settings &topic : topicFollowerSettings(m_settings.bounds)) {
        m_followers.push_back(std::make_unique<topic_follower>(
            loop,
            m_settings.address,
            m_dialect,
            m_to.calls,
            topic,
            topic_relays {m_relayClient,
                          m_relay,
                          m_gate,
                          m_era,
                          [this](std::optional<store_era> seen) { return judgeStoreEra(seen); },
                          [this](std::optional<store_era> seen) {
                              return judgePeerEra(seen);
                          }},
            [this](dispatch_message update) { return post(std::move(update)); },
            [this](bool isReachable) { recordContact(isReachable); },
            m_log,
            m_random));
    }
}

outcome<void> store_task::start()
{
    m_followers.at(static_cast<std::size_t>(store_topic::rollouts))->setPaused(true);
    for (const auto &follower : m_followers) {
        follower->start();
    }
    m_holdersTimer.start(deadline::after(boot_clock::now(), firstHoldersRequestDelay));
    reviewTopicAges();
    return success();
}

void store_task::handle(store_message &&message)
{
    std::visit([this](auto &&typed) { apply(std::forward<decltype(typed)>(typed)); }, std::move(message));
}

void store_task::apply(publish_member_report &&state)
{
    if (m_writer.isBusy()) {
        return;
    }
    const deadline until = deadline::after(boot_clock::now(), writeTimeout);
    const http_request request = m_dialect.write(store_topic::members, m_settings.instance.value(), state.value);
    m_to.calls.count(store_call::write);
    m_writer.begin(request, until, response_limits::acknowledgement, [this](const outcome<http_response> &response) {
        if (response) {
            judgeStoreEra(m_dialect.decodeEra(response.value()));
        }
        const auto written = response ? m_dialect.decodeWriteResult(response.value()) : outcome<void>(response.error());
        if (!written) {
            m_log.write(log_line("store", "write_failed").add("topic", "members").add("cause", written.error().message));
        }
    });
}

void store_task::apply(publish_crash_report &&report)
{
    m_unsentCrashReport = report.value;
    if (!m_sendCrashReportTimer.isArmed()) {
        sendCrashReport();
    }
    m_crashReport = std::move(report.value);
    if (!m_crashReportWriter.isBusy() && !m_crashReportTimer.isArmed()) {
        writeCrashReport();
    }
}

void store_task::sendCrashReport()
{
    if (!m_unsentCrashReport) {
        return;
    }
    const std::string report = std::move(*m_unsentCrashReport);
    m_unsentCrashReport.reset();
    m_sendCrashReportTimer.start(deadline::after(boot_clock::now(), crashReportInterval));
    std::set<instance_id> receivers;
    for (const quota_partition_holder &one : m_holders) {
        if (one.holder.instance != m_settings.instance) {
            receivers.insert(one.holder.instance);
        }
    }
    for (const instance_id &receiver : receivers) {
        peer_request send;
        send.message = peer_crash_report {report};
        send.until = deadline::after(boot_clock::now(), writeTimeout);
        // A report that is lost arrives through the store.
        send.reply = sink<peer_response>([](peer_response &&) { return post_result::delivered; });
        if (m_to.mesh.post(peer_envelope {receiver, std::move(send)}) != post_result::delivered) {
            m_log.write(log_line("store", "message_dropped").add("receiver", receiver));
        }
    }
}

void store_task::writeCrashReport()
{
    const std::string value = std::move(*m_crashReport);
    m_crashReport.reset();
    const deadline until = deadline::after(boot_clock::now(), writeTimeout);
    const http_request request = m_dialect.write(store_topic::crash_reports, m_settings.instance.value(), value);
    m_to.calls.count(store_call::write);
    m_crashReportWriter.begin(request, until, response_limits::acknowledgement, [this, value](const outcome<http_response> &response) {
        const auto written = response ? m_dialect.decodeWriteResult(response.value()) : outcome<void>(response.error());
        if (!written) {
            m_log.write(log_line("store", "write_failed").add("topic", "crash_reports").add("cause", written.error().message));
            // The report is written again, unless there is a newer one.
            m_crashReport = m_crashReport ? std::move(m_crashReport) : std::optional(value);
        }
        if (m_crashReport) {
            m_crashReportTimer.start(deadline::after(boot_clock::now(), written ? crashReportInterval : crashReportRetryDelay));
        }
    });
}

void store_task::apply(const follow_rollouts &change)
{
    m_isFollowingRollouts = change.isFollowing;
    m_followers.at(static_cast<std::size_t>(store_topic::rollouts))->setPaused(!change.isFollowing);
}

void store_task::apply(publish_rollout_record &&record)
{
    m_rolloutWriter.write(std::move(record));
}

void store_task::apply(publish_rollout_status &&status)
{
    m_rolloutWriter.write(std::move(status));
}

void store_task::apply(const members_changed & /*changed*/)
{
    m_followers.at(static_cast<std::size_t>(store_topic::members))->readNow();
}

void store_task::apply(const instance_count_changed &change)
{
    m_instanceCount = change.count;
    chooseReader();
}

void store_task::apply(const holders_listed &listed)
{
    m_holders = listed.holders;
    chooseReader();
}

void store_task::apply(const peer_message_received &received)
{
    if (const auto *request = std::get_if<peer_records_request>(&received.message)) {
        if (request->era) {
            judgePeerEra(store_era(request->era->value()));
        }
        m_relay.handleRequest(*request, received.reply, boot_clock::now());
    } else if (const auto *crashes = std::get_if<peer_crash_report>(&received.message)) {
        post(topic_update {store_topic::crash_reports, {{received.from.instance.value(), crashes->report, {}}}, {}});
        LOG_IF(WARNING, received.reply.post(acknowledgement {}) == post_result::full)
            << "store: dropped an acknowledgement because the receiver's mailbox is full.";
    }
}

void store_task::apply(const peer_response &response)
{
    m_relayClient.receive(response);
}

void store_task::chooseReader()
{
    const std::int64_t readers = (m_instanceCount + instancesPerReader - 1) / instancesPerReader;
    std::vector<peer_instance> chosen = chooseReaders(m_settings.instance, readers, m_holders);
    const std::vector<peer_instance> others = chooseOtherHolders(m_settings.instance, chosen, m_holders);
    m_relayClient.setReaders(std::move(chosen), others);
}

void store_task::requestHolders()
{
    // The first list may have been read before all instances that started together had joined. A reader that does not respond may have lost
    // its partition to another instance.
    const bool isStarting = m_holdersRequests < holdersRequestsAtStart;
    ++m_holdersRequests;
    if ((isStarting || !m_relayClient.isUsable(boot_clock::now())) && m_to.group.post(holders_requested {}) != post_result::delivered) {
        m_log.write(log_line("store", "message_dropped").add("receiver", "group"));
    }
    m_holdersTimer.start(deadline::after(boot_clock::now(), holdersRequestInterval));
}

void store_task::reviewTopicAges()
{
    const instant now = boot_clock::now();
    metric_batch batch;
    for (const auto &follower : m_followers) {
        follower->logIfOverdue(now);
        if (const auto age = follower->age(now)) {
            batch.gauges.push_back(
                {{"store_topic_age_seconds", {{"topic", std::string(follower->name())}}}, std::chrono::duration<double>(*age).count()});
        }
    }
    // A figure that the metrics cannot take is replaced by the next one.
    static_cast<void>(m_to.metrics.post(std::move(batch)));
    m_topicAgesTimer.start(deadline::after(now, topicAgesInterval));
}

era_verdict store_task::judgeStoreEra(std::optional<store_era> seen)
{
    const std::optional<store_era> before = m_era.current();
    return actOnEra(m_era.judgeStore(seen), before);
}

era_verdict store_task::judgePeerEra(std::optional<store_era> seen)
{
    const std::optional<store_era> before = m_era.current();
    return actOnEra(m_era.judgePeer(seen), before);
}

era_verdict store_task::actOnEra(era_verdict verdict, std::optional<store_era> before)
{
    if (verdict != era_verdict::risen) {
        return verdict;
    }
    log_line line("store", "store_restored");
    line.add("era", m_era.current().value_or(store_era())).add("before", before ? std::to_string(before->value()) : "none");
    for (const auto &follower : m_followers) {
        line.add(follower->name(), follower->position().offset);
    }
    m_log.write(std::move(line));
    metric_batch batch;
    batch.counters.push_back({{"store_restores_total", {}}, 1});
    static_cast<void>(m_to.metrics.post(std::move(batch)));
    if (m_to.versions.post(store_restored {}) != post_result::delivered) {
        m_log.write(log_line("store", "message_dropped").add("receiver", "versions"));
    }
    m_relay.beginEra();
    for (const auto &follower : m_followers) {
        follower->readAfterRestore();
    }
    return verdict;
}

void store_task::recordContact(bool isReachable)
{
    if (isReachable != m_isReachable) {
        m_isReachable = isReachable;
        post(store_reachability {isReachable});
    }
    const instant now = boot_clock::now();
    if (isReachable && m_isFollowingRollouts && m_contactDue.hasPassed(now)) {
        m_contactDue = deadline::after(now, contactInterval);
        post(store_contact {now});
    }
}

bool store_task::post(dispatch_message message)
{
    const bool isDelivered = m_to.dispatcher.post(std::move(message)) == post_result::delivered;
    if (!isDelivered) {
        m_log.write(log_line("store", "message_dropped").add("receiver", "dispatcher"));
    }
    return isDelivered;
}

} // namespace burdockshelf
