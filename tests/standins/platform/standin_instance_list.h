#pragma once

#include "core/boot_clock.h"
#include "log_service/listed_instance.h"
#include "standins/platform/platform_control.h"

#include <deque>
#include <map>
#include <vector>

namespace burdockshelf
{

/// The platform's list of instances: those that have announced themselves of late, shown as they were a lag ago, save for overrides.
class standin_instance_list
{
public:
    void announce(const listed_instance &instance, instant now);
    void setLag(std::chrono::milliseconds lag);
    void setOverride(const instance_id &instance, list_override shown);
    std::vector<listed_instance> list(instant now);

private:
    struct announcement
    {
        listed_instance instance;
        instant at;
    };

    struct version
    {
        std::vector<listed_instance> instances;
        instant at;
    };

    void update(instant now);

    std::map<instance_id, announcement> m_announcements;
    std::map<instance_id, list_override> m_overrides;
    std::chrono::milliseconds m_lag {0};
    // Oldest first; the front is the version in force at the longest lag that was asked for.
    std::deque<version> m_versions;
};

} // namespace burdockshelf
