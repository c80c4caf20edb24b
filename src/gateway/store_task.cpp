#include "gateway/store_task.h"

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
constexpr milliseconds afterSilence {200};
// A call that reaches the store while a change is being written hears of it only at the end of its wait, so the wait ends before the bound.
constexpr milliseconds afterMissed {400};
constexpr milliseconds shortestWait {200};
// Endpoints write their entries again and again; a pause lets one call fetch the changes of several. It takes this part of the bound on
// leaving endpoints.
constexpr std::int64_t pausePartOfDrain = 3;
constexpr milliseconds membersPause {10000};
constexpr milliseconds membersAnswerTime {1000};
constexpr milliseconds rereadPause {10000};
constexpr milliseconds membersRereadPause {60000};

milliseconds waitWithin(milliseconds bound, milliseconds silence)
{
    // A silent connection is noticed after wait and answer time.
    return std::max(std::min(bound - afterMissed, silence - answerTime - afterSilence), shortestWait);
}

} // namespace

std::array<follow_settings, 3> followedTopics(const store_bounds &bounds)
{
    return {
        follow_settings {
            store_topic::operators, waitWithin(bounds.configuration, bounds.silence), milliseconds(0), answerTime, rereadPause},
        follow_settings {
            store_topic::endpoints, waitWithin(bounds.drain, bounds.silence), bounds.drain / pausePartOfDrain, answerTime, rereadPause},
        follow_settings {store_topic::members, milliseconds(0), membersPause, membersAnswerTime, membersRereadPause},
    };
}

store_task::store_task(event_loop &loop,
                       std::shared_ptr<mailbox<store_message>> box,
                       store_settings settings,
                       const store_dialect &dialect,
                       address<dispatch_message> dispatcher,
                       event_log log,
                       random_source random)
    : task(std::move(box))
    , m_settings(std::move(settings))
    , m_dialect(dialect)
    , m_dispatcher(std::move(dispatcher))
    , m_log(std::move(log))
    , m_random(random)
    , m_writer(loop, m_settings.address)
{
    for (const follow_settings &topic : followedTopics(m_settings.bounds)) {
        m_followers.push_back(std::make_unique<topic_follower>(
            loop,
            m_settings.address,
            m_dialect,
            topic,
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
    return success();
}

void store_task::handle(store_message &&message)
{
    std::visit([this](auto &&typed) { apply(std::forward<decltype(typed)>(typed)); }, std::move(message));
}

void store_task::apply(member_state &&state)
{
    if (m_writer.isBusy()) {
        return;
    }
    const deadline until = deadline::after(boot_clock::now(), writeTime);
    const http_request request = m_dialect.write(store_topic::members, m_settings.instance.value(), state.value);
    m_writer.begin(request, until, [this](const outcome<http_response> &answer) {
        const auto written = answer ? m_dialect.decodeWritten(answer.value()) : outcome<void>(answer.error());
        if (!written) {
            m_log.write(log_line("store", "write_failed").add("topic", "members").add("cause", written.error().message));
        }
    });
}

void store_task::apply(const members_changed & /*changed*/)
{
    m_followers.at(static_cast<std::size_t>(store_topic::members))->hurry();
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
    if (m_dispatcher.post(std::move(message)) != post_result::delivered) {
        m_log.write(log_line("store", "message_dropped").add("receiver", "dispatcher"));
    }
}

} // namespace burdockshelf
