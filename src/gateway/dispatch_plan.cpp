// Tells the other tasks what follows from the plan and the number of instances.

#include "gateway/dispatch_task.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

// Keeps one extra share of each endpoint's connections free for instances that are about to join.
constexpr std::int64_t spareConnectionShares = 1;
constexpr std::size_t minConnectionsPerEndpoint = 4;

} // namespace

void dispatch_task::publishChanges()
{
    publishLiftedRestrictions();
    m_fleet.logPaceChanges();
    const bool isPlanChanged = std::exchange(m_knownPlan, m_fleet.planVersion()) != m_fleet.planVersion();
    const bool isCountChanged = std::exchange(m_knownInstanceCount, m_fleet.instanceCount()) != m_fleet.instanceCount();
    m_unpublished.callerLimits = m_unpublished.callerLimits || isPlanChanged;
    m_unpublished.quotas = m_unpublished.quotas || isPlanChanged;
    m_unpublished.quotaInstances = m_unpublished.quotaInstances || isCountChanged;
    m_unpublished.storeInstances = m_unpublished.storeInstances || isCountChanged;
    m_unpublished.connectionLimits = m_unpublished.connectionLimits || isPlanChanged || isCountChanged;
    if (isCountChanged) {
        m_retryBudget.setInstanceCount(m_fleet.instanceCount());
    }
    publishPlan();
    publishVersions();
    updateReadiness();
}

void dispatch_task::publishPlan()
{
    unpublished_changes &left = m_unpublished;
    if (m_fleet.plan()) {
        left.callerLimits = left.callerLimits && !m_outbox.toCallers(limits_changed {m_fleet.plan()->plan().limits});
        left.quotas = left.quotas && !m_outbox.toQuotas(quotas_changed {m_fleet.plan()});
        left.connectionLimits = left.connectionLimits && !publishConnectionLimits();
    }
    left.quotaInstances = left.quotaInstances && !m_outbox.toQuotas(instance_count_changed {m_fleet.instanceCount()});
    left.storeInstances = left.storeInstances && !m_outbox.toStore(instance_count_changed {m_fleet.instanceCount()});
}

bool dispatch_task::publishConnectionLimits()
{
    std::int64_t maxServiceConnections = 0;
    for (const traffic_service &service : m_fleet.plan()->plan().services) {
        maxServiceConnections = std::max(maxServiceConnections, service.maxConnections);
    }
    if (maxServiceConnections == 0) {
        return true;
    }
    const auto share = static_cast<std::size_t>(maxServiceConnections / (m_fleet.instanceCount() + spareConnectionShares));
    return m_outbox.toEndpoints(connection_limits {std::max(share, minConnectionsPerEndpoint)});
}

} // namespace burdockshelf
