#include "forwarding/member_view.h"

#include <utility>

namespace burdockshelf
{

namespace
{

// Reports are written and read every ten seconds, and one may be missed. Counting a stopped instance for too long only makes the shares of
// the others smaller.
constexpr std::chrono::seconds memberTimeout {32};

} // namespace

member_view::member_view(instance_id self)
    : m_self(std::move(self))
{
}

void member_view::put(const instance_id &instance, const member_report &report, instant now)
{
    const auto found = m_members.find(instance);
    if (found == m_members.end()) {
        m_members[instance] = {report, now};
        return;
    }
    member &known = found->second;
    if (known.report.incarnation != report.incarnation || known.report.sequence != report.sequence) {
        known = {report, now};
    }
}

void member_view::remove(const instance_id &instance)
{
    m_members.erase(instance);
}

std::vector<instance_id> member_view::instances(instant now) const
{
    std::vector<instance_id> reporting = {m_self};
    for (const auto &[instance, entry] : m_members) {
        if (instance != m_self && hasReportedRecently(entry, now)) {
            reporting.push_back(instance);
        }
    }
    return reporting;
}

bool member_view::hasReportedRecently(const member &entry, instant now) const
{
    return now - entry.changedAt <= memberTimeout;
}

} // namespace burdockshelf
