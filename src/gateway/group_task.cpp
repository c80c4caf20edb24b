#include "gateway/group_task.h"

#include "gateway/response_limits.h"

#include <utility>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds joinInterval {1000};
// A member without any work renews its membership less often, unless a holder of partitions does not respond and this member may get its
// work.
constexpr milliseconds idleJoinInterval {2400};
constexpr milliseconds takeoverTime {8000};
constexpr milliseconds joinTimeout {600};
constexpr milliseconds holdersTimeout {600};
// Many requests may request a refresh of the list at the same time.
constexpr milliseconds minHoldersReadInterval {1000};
// Callers are served until shortly before the process is terminated; leaving the group must fit into the remaining time.
constexpr milliseconds leaveTimeout {150};

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
    , m_joinTimer(loop, [this] { join(); })
    , m_holdersReadTimer(loop, [this] { readHolders(); })
{
}

outcome<void> group_task::start()
{
    join();
    return success();
}

void group_task::beginShutdown()
{
    m_isLeaving = true;
    m_joinTimer.stop();
    m_holdersReadTimer.stop();
    m_holdersCall.abandon();
    // Leaving lets the store reassign the work without waiting for the session timeout. The response is not needed.
    m_joinCall.abandon();
    m_to.calls.count(store_call::leave_group);
    m_joinCall.begin(m_dialect.leaveGroup(m_settings.self),
                     deadline::after(boot_clock::now(), leaveTimeout),
                     response_limits::acknowledgement,
                     [this](const outcome<http_response> &) { finish(); });
}

void group_task::handle(group_message &&message)
{
    // holders_requested is the only alternative.
    static_cast<void>(std::get<holders_requested>(message));
    if (m_isLeaving) {
        return;
    }
    const instant now = boot_clock::now();
    m_takeoverUntil = deadline::after(now, takeoverTime);
    if (const deadline next = deadline::after(now, joinInterval); next < m_joinTimer.at()) {
        m_joinTimer.start(next);
    }
    if (!m_holdersCall.isBusy() && !m_holdersReadTimer.isArmed()) {
        m_holdersReadTimer.start(m_nextHoldersReadAt);
    }
}

void group_task::join()
{
    const instant now = boot_clock::now();
    m_joinTimer.start(deadline::after(now, isIdle(now) ? idleJoinInterval : joinInterval));
    if (m_joinCall.isBusy()) {
        return;
    }
    const http_request request = m_dialect.joinGroup(m_settings.self, m_assignment.generation, sessionTimeout);
    m_to.calls.count(store_call::join_group);
    m_joinCall.begin(request,
                     deadline::after(now, joinTimeout),
                     response_limits::partitions,
                     [this, now](const outcome<http_response> &response) { handleJoined(response, now); });
}

bool group_task::isIdle(instant now) const
{
    const bool hasWork = m_assignment.holdsStageControl || !m_assignment.quotaPartitions.empty();
    return m_isConfirmed && !hasWork && m_takeoverUntil.hasPassed(now);
}

void group_task::handleJoined(const outcome<http_response> &response, instant sentAt)
{
    auto joined = response ? m_dialect.decodeAssignment(response.value()) : outcome<group_assignment>(response.error());
    if (!joined) {
        if (std::exchange(m_isConfirmed, false)) {
            m_log.write(log_line("group", "not_confirmed").add("cause", joined.error().message).add("generation", m_assignment.generation));
        }
        return;
    }
    m_isConfirmed = true;
    if (joined.value().generation < m_assignment.generation) {
        m_log.write(
            log_line("group", "stale_answer_ignored").add("generation", joined.value().generation).add("known", m_assignment.generation));
        return;
    }
    handleGenerationChange(joined.value());
    m_assignment = std::move(joined.value());
    const assignment_confirmed confirmed = {m_assignment.generation, m_assignment.holdsStageControl, m_assignment.quotaPartitions, sentAt};
    logUndelivered(m_to.stageControl.post(confirmed), "duty");
    logUndelivered(m_to.quotas.post(confirmed), "quotas");
}

void group_task::handleGenerationChange(const group_assignment &joined)
{
    if (joined.generation == m_assignment.generation) {
        return;
    }
    m_log.write(log_line("group", "generation_changed")
                    .add("generation", joined.generation)
                    .add("before", m_assignment.generation)
                    .add("holds_orders", joined.holdsStageControl)
                    .add("quota_parts", joined.quotaPartitions.size()));
    // Members have joined or left.
    logUndelivered(m_to.store.post(members_changed {}), "store");
}

void group_task::readHolders()
{
    const instant now = boot_clock::now();
    m_nextHoldersReadAt = deadline::after(now, minHoldersReadInterval);
    m_to.calls.count(store_call::read_holders);
    m_holdersCall.begin(m_dialect.readHolders(),
                        deadline::after(now, holdersTimeout),
                        response_limits::partitions,
                        [this](const outcome<http_response> &response) { handleHolders(response); });
}

void group_task::handleHolders(const outcome<http_response> &response)
{
    auto holders = response ? m_dialect.decodeHolders(response.value()) : outcome<std::vector<quota_partition_holder>>(response.error());
    if (!holders) {
        m_log.write(log_line("group", "call_failed").add("call", "holders").add("cause", holders.error().message));
        return;
    }
    connectToHolders(holders.value());
    m_log.write(log_line("group", "holders_listed").add("parts", holders.value().size()));
    logUndelivered(m_to.quotas.post(holders_listed {holders.value()}), "quotas");
    logUndelivered(m_to.versions.post(holders_listed {holders.value()}), "versions");
    logUndelivered(m_to.store.post(holders_listed {std::move(holders.value())}), "store");
}

void group_task::connectToHolders(const std::vector<quota_partition_holder> &holders)
{
    instance_list list;
    for (const quota_partition_holder &one : holders) {
        list.instances.push_back({one.holder.instance, {}, {}, one.holder.address, instance_state::live});
    }
    logUndelivered(m_to.mesh.post(std::move(list)), "mesh");
}

void group_task::logUndelivered(post_result result, std::string_view receiver)
{
    if (result != post_result::delivered) {
        m_log.write(log_line("group", "message_dropped").add("receiver", receiver));
    }
}

} // namespace burdockshelf
