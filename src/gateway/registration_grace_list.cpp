#include "gateway/registration_grace_list.h"

#include <algorithm>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

// Within this time of the store's return, living endpoints have registered again.
constexpr milliseconds returnTime {2000};
// The last request that is sent to an endpoint is on its way for some of the time that it may get requests.
constexpr milliseconds transitTime {100};

} // namespace

registration_grace_list::registration_grace_list(registration_grace_settings bounds)
    : m_bounds(bounds)
{
}

bool registration_grace_list::keep(const endpoint_id &endpoint, milliseconds silence, instant now)
{
    if (const auto known = m_until.find(endpoint); known != m_until.end()) {
        return !known->second.hasPassed(now);
    }
    const milliseconds time = std::min(returnTime, m_bounds.drain) - transitTime;
    if (silence < m_bounds.silence || time <= milliseconds::zero()) {
        return false;
    }
    m_until.emplace(endpoint, deadline::after(now, time));
    return true;
}

void registration_grace_list::forget(const endpoint_id &endpoint)
{
    m_until.erase(endpoint);
}

std::vector<endpoint_id> registration_grace_list::takeOverdue(instant now)
{
    std::vector<endpoint_id> missing;
    for (const auto &[endpoint, until] : m_until) {
        if (until.hasPassed(now)) {
            missing.push_back(endpoint);
        }
    }
    for (const endpoint_id &endpoint : missing) {
        m_until.erase(endpoint);
    }
    return missing;
}

deadline registration_grace_list::next() const
{
    deadline next = deadline::never();
    for (const auto &[endpoint, until] : m_until) {
        next = std::min(next, until);
    }
    return next;
}

} // namespace burdockshelf
