#include "gateway/registration_grace_list.h"

#include <algorithm>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

// Running endpoints register again within this time after the store is back.
constexpr milliseconds reregistrationTime {2000};
// Longest transit of the last request to an endpoint, which must arrive before the bound.
constexpr milliseconds transitTime {100};

} // namespace

registration_grace_list::registration_grace_list(registration_grace_settings bounds)
    : m_bounds(bounds)
{
}

bool registration_grace_list::keep(const endpoint_id &endpoint, milliseconds silence, instant now)
{
    if (const auto known = m_graceUntil.find(endpoint); known != m_graceUntil.end()) {
        return !known->second.hasPassed(now);
    }
    const milliseconds time = std::min(reregistrationTime, m_bounds.drain) - transitTime;
    if (silence < m_bounds.silence || time <= milliseconds::zero()) {
        return false;
    }
    m_graceUntil.emplace(endpoint, deadline::after(now, time));
    return true;
}

void registration_grace_list::forget(const endpoint_id &endpoint)
{
    m_graceUntil.erase(endpoint);
}

std::vector<endpoint_id> registration_grace_list::takeOverdue(instant now)
{
    std::vector<endpoint_id> overdue;
    for (const auto &[endpoint, until] : m_graceUntil) {
        if (until.hasPassed(now)) {
            overdue.push_back(endpoint);
        }
    }
    for (const endpoint_id &endpoint : overdue) {
        m_graceUntil.erase(endpoint);
    }
    return overdue;
}

deadline registration_grace_list::next() const
{
    deadline next = deadline::never();
    for (const auto &[endpoint, until] : m_graceUntil) {
        next = std::min(next, until);
    }
    return next;
}

} // namespace burdockshelf
