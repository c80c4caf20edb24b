#pragma once

#include "core/boot_clock.h"
#include "core/ids.h"

#include <map>
#include <vector>

namespace burdockshelf
{

/// What an instance says of itself to the others.
struct member_report
{
    incarnation_id incarnation;
    /// Rises with every report of an incarnation.
    std::int64_t sequence = 0;
};

/// The instances that have reported lately. Judges freshness by changes that it sees, so that clocks need not agree.
class member_view
{
public:
    explicit member_view(instance_id self);

    void put(const instance_id &instance, const member_report &report, instant now);
    void remove(const instance_id &instance);

    /// Instances that may be serving, this one included.
    std::vector<instance_id> instances(instant now) const;

private:
    struct member
    {
        member_report report;
        instant changedAt;
    };

    bool isCounted(const member &one, instant now) const;

    instance_id m_self;
    std::map<instance_id, member> m_members;
};

} // namespace burdockshelf
