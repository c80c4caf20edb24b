#include "gateway/group_task.h"

#include <utility>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds joinPause {1000};
constexpr milliseconds joinTime {600};
constexpr milliseconds holdersTime {600};
// Many requests may find the list wrong at the same time.
constexpr milliseconds holdersPause {1000};
// Callers are served until shortly before the process is ended by force; leaving the group must fit in what is left.
constexpr milliseconds leaveTime {150};

} // namespace

group_task::group_task(event_loop &loop,
                       std::shared_ptr<mailbox<group_message>> box,
                       group_settings settings,
                       const store_dialect &dialect,
                       group_addresses to,
                       event_log log)
    : task(std::move(box))
    , m_settings(std::move(settings))
    , m_dialect(dialect)
    , m_to(std::move(to))
    , m_log(std::move(log))
    , m_joinCall(loop, m_settings.store)
    , m_holdersCall(loop, m_settings.store)
    , m_nextJoin(loop, [this] { join(); })
    , m_nextHolders(loop, [this] { readHolders(); })
{
}

outcome<void> group_task::start()
{
    join();
    return success();
}

void group_task::beginShutdown()
{
    m_nextJoin.stop();
    m_nextHolders.stop();
    m_holdersCall.abandon();
    // The next holders need not wait for the store to notice the silence; an answer is not needed.
    m_joinCall.abandon();
    m_joinCall.begin(m_dialect.leaveGroup(m_settings.self),
                     deadline::after(boot_clock::now(), leaveTime),
                     [this](const outcome<http_response> &) { finish(); });
}

void group_task::handle(group_message &&message)
{
    // The only message there is.
    static_cast<void>(std::get<holders_requested>(message));
    if (!m_holdersCall.isBusy() && !m_nextHolders.isArmed()) {
        m_nextHolders.start(m_holdersAllowedAt);
    }
}

void group_task::join()
{
    const instant now = boot_clock::now();
    m_nextJoin.start(deadline::after(now, joinPause));
    if (m_joinCall.isBusy()) {
        return;
    }
    const http_request request = m_dialect.joinGroup(m_settings.self, m_known.generation, sessionTimeout);
    m_joinCall.begin(
        request, deadline::after(now, joinTime), [this, now](const outcome<http_response> &answer) { takeJoined(answer, now); });
}

void group_task::takeJoined(const outcome<http_response> &answer, instant sentAt)
{
    auto joined = answer ? m_dialect.decodeAssignment(answer.value()) : outcome<group_assignment>(answer.error());
    if (!joined) {
        if (std::exchange(m_isConfirmed, false)) {
            m_log.write(log_line("group", "not_confirmed").add("cause", joined.error().message).add("generation", m_known.generation));
        }
        return;
    }
    m_isConfirmed = true;
    if (joined.value().generation < m_known.generation) {
        m_log.write(
            log_line("group", "stale_answer_ignored").add("generation", joined.value().generation).add("known", m_known.generation));
        return;
    }
    noteChange(joined.value());
    m_known = std::move(joined.value());
    const assignment_confirmed confirmed = {m_known.generation, m_known.holdsStageControl, m_known.quotaPartitions, sentAt};
    noteUndelivered(m_to.duty.post(confirmed), "duty");
    noteUndelivered(m_to.quotas.post(confirmed), "quotas");
}

void group_task::noteChange(const group_assignment &joined)
{
    if (joined.generation == m_known.generation) {
        return;
    }
    m_log.write(log_line("group", "generation_changed")
                    .add("generation", joined.generation)
                    .add("before", m_known.generation)
                    .add("holds_orders", joined.holdsStageControl)
                    .add("quota_parts", joined.quotaPartitions.size()));
    // Instances have come or gone.
    noteUndelivered(m_to.store.post(members_changed {}), "store");
}

void group_task::readHolders()
{
    const instant now = boot_clock::now();
    m_holdersAllowedAt = deadline::after(now, holdersPause);
    m_holdersCall.begin(
        m_dialect.readHolders(), deadline::after(now, holdersTime), [this](const outcome<http_response> &answer) { takeHolders(answer); });
}

void group_task::takeHolders(const outcome<http_response> &answer)
{
    auto holders = answer ? m_dialect.decodeHolders(answer.value()) : outcome<std::vector<quota_partition_holder>>(answer.error());
    if (!holders) {
        m_log.write(log_line("group", "call_failed").add("call", "holders").add("cause", holders.error().message));
        return;
    }
    connectTo(holders.value());
    m_log.write(log_line("group", "holders_listed").add("parts", holders.value().size()));
    noteUndelivered(m_to.quotas.post(holders_listed {holders.value()}), "quotas");
    noteUndelivered(m_to.store.post(holders_listed {std::move(holders.value())}), "store");
}

void group_task::connectTo(const std::vector<quota_partition_holder> &holders)
{
    instance_list list;
    for (const quota_partition_holder &one : holders) {
        list.instances.push_back({one.holder.instance, {}, {}, one.holder.address, instance_state::live});
    }
    noteUndelivered(m_to.mesh.post(std::move(list)), "mesh");
}

void group_task::noteUndelivered(post_result result, std::string_view receiver)
{
    if (result != post_result::delivered) {
        m_log.write(log_line("group", "message_dropped").add("receiver", receiver));
    }
}

} // namespace burdockshelf
