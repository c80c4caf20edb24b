#include "forwarding/member_view.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

constexpr std::chrono::milliseconds minReportInterval {10'000};
// Beyond this number of instances they report less often, so that the reports of all together do not grow with it.
constexpr std::int64_t instancesAtMinInterval = 100;
// Reports of instances that were replaced stay in the store and must not lengthen the interval without end.
constexpr std::int64_t instancesAtMaxInterval = 600;
// Two reports may be missed. Counting a stopped instance for too long only makes the shares of the others smaller.
constexpr std::int64_t reportsPerTimeout = 3;
constexpr std::chrono::milliseconds reportDelay {2000};

} // namespace

std::chrono::milliseconds memberReportInterval(std::int64_t instances)
{
    return minReportInterval * std::clamp(instances, instancesAtMinInterval, instancesAtMaxInterval) / instancesAtMinInterval;
}

member_view::member_view(instance_id self)
    : m_self(std::move(self))
{
}

bool member_view::put(const instance_id &instance, const member_report &report, instant now)
{
    const auto found = m_members.find(instance);
    if (found == m_members.end()) {
        m_members[instance] = {report, now};
        return false;
    }
    member &known = found->second;
    if (known.report.incarnation == report.incarnation && known.report.sequence == report.sequence) {
        return false;
    }
    known = {report, now};
    return true;
}

void member_view::remove(const instance_id &instance)
{
    m_members.erase(instance);
}

std::vector<instance_id> member_view::instances(instant now) const
{
    const auto timeout = memberReportInterval(static_cast<std::int64_t>(m_members.size())) * reportsPerTimeout + reportDelay;
    std::vector<instance_id> reporting = {m_self};
    for (const auto &[instance, entry] : m_members) {
        if (instance != m_self && now - entry.changedAt <= timeout) {
            reporting.push_back(instance);
        }
    }
    return reporting;
}

} // namespace burdockshelf
