#include "standins/platform/standin_instance_list.h"

namespace burdockshelf
{

namespace
{

// An instance that has not announced itself for this long is no longer listed.
constexpr std::chrono::seconds announcementLifetime {10};
// Longest lag for which versions are kept.
constexpr std::chrono::minutes longestLag {5};

} // namespace

void standin_instance_list::announce(const listed_instance &instance, instant now)
{
    m_announcements[instance.instance] = {instance, now};
    update(now);
}

void standin_instance_list::setLag(std::chrono::milliseconds lag)
{
    m_lag = lag;
}

void standin_instance_list::setOverride(const instance_id &instance, list_override shown)
{
    m_overrides[instance] = shown;
}

std::vector<listed_instance> standin_instance_list::list(instant now)
{
    update(now);
    std::vector<listed_instance> shown;
    for (const version &candidate : m_versions) {
        if (candidate.at <= now - m_lag) {
            shown = candidate.instances;
        }
    }
    std::erase_if(shown, [this](const listed_instance &entry) { return m_overrides[entry.instance] == list_override::gone; });
    for (listed_instance &entry : shown) {
        if (m_overrides[entry.instance] == list_override::leaving) {
            entry.state = instance_state::leaving;
        }
    }
    return shown;
}

void standin_instance_list::update(instant now)
{
    std::erase_if(m_announcements, [now](const auto &entry) { return now - entry.second.at > announcementLifetime; });
    std::vector<listed_instance> current;
    for (const auto &[id, entry] : m_announcements) {
        current.push_back(entry.instance);
    }
    if (m_versions.empty() || m_versions.back().instances != current) {
        m_versions.push_back({std::move(current), now});
    }
    while (m_versions.size() > 1 && m_versions[1].at <= now - longestLag) {
        m_versions.pop_front();
    }
}

} // namespace burdockshelf
