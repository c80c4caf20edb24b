#include "forwarding/member_view.h"

#include <utility>

namespace burdockshelf
{

namespace
{

// Reports come every ten seconds and are read as often; one may be missed. An instance that is counted for too long only makes the shares
// of the others smaller.
constexpr std::chrono::seconds memberLifetime {32};

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
    std::vector<instance_id> counted = {m_self};
    for (const auto &[instance, one] : m_members) {
        if (instance != m_self && isCounted(one, now)) {
            counted.push_back(instance);
        }
    }
    return counted;
}

bool member_view::isCounted(const member &one, instant now) const
{
    return now - one.changedAt <= memberLifetime;
}

} // namespace burdockshelf
