#pragma once

#include "core/deadline.h"
#include "core/ids.h"

#include <map>
#include <vector>

namespace burdockshelf
{

/// When an endpoint whose entry is missing gets a grace period, and how long that may be.
struct registration_grace_settings
{
    /// Missing entries are attributed to a store outage once the topic has not been up to date for this long.
    std::chrono::milliseconds silence {3000};
    /// Longest time between the removal of an entry and the last request to its endpoint.
    std::chrono::milliseconds drain {2000};
};

/// Endpoints whose entries expired during a store outage. According to the users' second letter of requirements, running endpoints register
/// again within two seconds after the store is back, so these endpoints are kept for a grace period.
class registration_grace_list
{
public:
    explicit registration_grace_list(registration_grace_settings bounds);

    /// Called when an entry is missing, with how long the topic had not been up to date. Returns true while the endpoint has to be kept.
    bool keep(const endpoint_id &endpoint, std::chrono::milliseconds silence, instant now);
    /// Removes an endpoint from the list: its entry is back, or the endpoint has been removed.
    void forget(const endpoint_id &endpoint);
    /// Removes and returns the endpoints whose grace period has ended.
    std::vector<endpoint_id> takeOverdue(instant now);
    /// When the next grace period ends.
    deadline next() const;

private:
    registration_grace_settings m_bounds;
    std::map<endpoint_id, deadline> m_graceUntil;
};

} // namespace burdockshelf
