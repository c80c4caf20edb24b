#pragma once

#include "core/boot_clock.h"
#include "core/ids.h"
#include "forwarding/seen_speed.h"

#include <map>
#include <vector>

namespace burdockshelf
{

/// What an instance reports about itself to the others.
struct member_report
{
    incarnation_id incarnation;
    /// Rises with every report of the same incarnation.
    std::int64_t sequence = 0;
    /// How long work takes at endpoints that the instance has recently had a response from.
    std::vector<seen_speed> speeds;
};

/// Time between two reports of an instance, among so many instances.
std::chrono::milliseconds memberReportInterval(std::int64_t instances);

/// The instances that have reported recently. Freshness is judged by when a changed report was seen here, so that the instances' clocks
/// need not agree.
class member_view
{
public:
    explicit member_view(instance_id self);

    /// Returns whether the instance has reported since its previous report was seen here. The age of a first report is not known.
    bool put(const instance_id &instance, const member_report &report, instant now);
    void remove(const instance_id &instance);

    /// Instances that may be serving, including this one.
    std::vector<instance_id> instances(instant now) const;

private:
    struct member
    {
        member_report report;
        instant changedAt;
    };

    instance_id m_self;
    std::map<instance_id, member> m_members;
};

} // namespace burdockshelf
