#include "gateway/store_task.h"

#include "core/digest.h"

#include <algorithm>
#include <array>
#include <utility>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds writeTime {1500};

// Time that a followed call may take beyond its wait.
constexpr milliseconds answerTime {450};
// What is left of a bound for the next call on a fresh connection, and for taking the change in.
constexpr milliseconds takingIn {200};
// A call that reaches the store while a change is being written hears of it only at the end of its wait, so the wait ends before the bound.
constexpr milliseconds afterMissed {400};
constexpr milliseconds shortestWait {200};
// Endpoints write their entries again and again; a pause lets one call fetch the changes of several. It takes this part of the bound on
// leaving endpoints.
constexpr std::int64_t pausePartOfDrain = 3;
constexpr milliseconds pauseForOthers {100};
// What another instance has read is on its way for this long at most.
constexpr milliseconds relayTime {250};
constexpr milliseconds membersPause {10000};
constexpr milliseconds membersPauseForOthers {2000};
constexpr milliseconds membersAnswerTime {1000};
constexpr milliseconds rereadPause {10000};
constexpr milliseconds membersRereadPause {60000};
// Instances that read at one instance.
constexpr std::int64_t instancesPerReader = 16;
// By then the instances that start together have joined the group.
constexpr milliseconds firstHolders {3000};
constexpr milliseconds nextHolders {5000};

milliseconds waitWithin(milliseconds bound, milliseconds silence)
{
    // A silent connection is noticed after wait and answer time.
    return std::max(std::min(bound - afterMissed, silence - answerTime - takingIn), shortestWait);
}

// Age of another instance's records at which the next ask, and a call to the store if it fails, still keep the bound.
milliseconds ageWithin(milliseconds bound)
{
    return std::max(bound - topic_relay_client::peerRequestTimeout - takingIn, shortestWait);
}

topic_follower_settings topicWithin(store_topic topic, milliseconds bound, milliseconds silence, milliseconds pause)
{
    topic_follower_settings settings;
    settings.topic = topic;
    settings.own = {waitWithin(bound, silence), pause};
    settings.whileRelaying = {std::max(ageWithin(bound) - relayTime - pauseForOthers, shortestWait), pauseForOthers};
    settings.maxRelayedAge = ageWithin(bound);
    settings.answerTime = answerTime;
    settings.rereadPause = rereadPause;
    return settings;
}

topic_follower_settings membersTopic()
{
    topic_follower_settings settings;
    settings.topic = store_topic::members;
    settings.own = {milliseconds(0), membersPause};
    settings.whileRelaying = {milliseconds(0), membersPauseForOthers};
    settings.askPause = membersPauseForOthers;
    settings.maxRelayedAge = membersPause;
    settings.answerTime = membersAnswerTime;
    settings.rereadPause = membersRereadPause;
    return settings;
}

} // namespace

std::array<topic_follower_settings, 3> topicFollowerSettings(const store_bounds &bounds)
{
    return {
        topicWithin(store_topic::operators, bounds.configuration, bounds.silence, milliseconds(0)),
        topicWithin(store_topic::endpoints, bounds.drain, bounds.silence, bounds.drain / pausePartOfDrain),
        membersTopic(),
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
    , m_readers(loop)
    , m_source(m_to.mesh, makeSink<peer_response>(self()), m_log)
    , m_holdersTimer(loop, [this] { requestHolders(); })
{
    for (const topic_follower_settings &topic : topicFollowerSettings(m_settings.bounds)) {
        m_followers.push_back(std::make_unique<topic_follower>(
            loop,
            m_settings.address,
            m_dialect,
            topic,
            topic_links {m_source, m_readers},
            [this](dispatch_message update) { post(std::move(update)); },
            [this](bool isReachable) { noteContact(isReachable); },
            m_log,
            m_random));
    }
}

outcome<void> store_task::start()
{
    for (const auto &follower : m_followers) {
        follower->start();
    }
    m_holdersTimer.start(deadline::after(boot_clock::now(), firstHolders));
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
    const deadline until = deadline::after(boot_clock::now(), writeTime);
    const http_request request = m_dialect.write(store_topic::members, m_settings.instance.value(), state.value);
    m_writer.begin(request, until, [this](const outcome<http_response> &answer) {
        const auto written = answer ? m_dialect.decodeWriteResult(answer.value()) : outcome<void>(answer.error());
        if (!written) {
            m_log.write(log_line("store", "write_failed").add("topic", "members").add("cause", written.error().message));
        }
    });
}

void store_task::apply(const members_changed & /*changed*/)
{
    m_followers.at(static_cast<std::size_t>(store_topic::members))->hurry();
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
    if (const auto *ask = std::get_if<peer_records_request>(&received.message)) {
        m_readers.answer(*ask, received.reply, boot_clock::now());
    }
}

void store_task::apply(const peer_response &answer)
{
    m_source.take(answer);
}

void store_task::chooseReader()
{
    const std::int64_t readers = (m_instanceCount + instancesPerReader - 1) / instancesPerReader;
    const auto mine = static_cast<std::int64_t>(stableHash(m_settings.instance.value()) % static_cast<std::uint64_t>(readers));
    std::optional<peer_instance> reader;
    for (const quota_partition_holder &one : m_holders) {
        if (one.quotaPartition.value() == mine && one.holder.instance != m_settings.instance) {
            reader = one.holder;
        }
    }
    if (m_source.setReader(std::move(reader))) {
        for (const auto &follower : m_followers) {
            follower->forgetReader();
        }
    }
}

void store_task::requestHolders()
{
    // A reader that does not answer may have lost its part to another.
    if (!m_source.isUsable(boot_clock::now()) && m_to.group.post(holders_requested {}) != post_result::delivered) {
        m_log.write(log_line("store", "message_dropped").add("receiver", "group"));
    }
    m_holdersTimer.start(deadline::after(boot_clock::now(), nextHolders));
}

void store_task::noteContact(bool isReachable)
{
    if (isReachable != m_isReachable) {
        m_isReachable = isReachable;
        post(store_reachability {isReachable});
    }
}

void store_task::post(dispatch_message message)
{
    if (m_to.dispatcher.post(std::move(message)) != post_result::delivered) {
        m_log.write(log_line("store", "message_dropped").add("receiver", "dispatcher"));
    }
}

} // namespace burdockshelf
