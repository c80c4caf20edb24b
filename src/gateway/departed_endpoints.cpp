#include "gateway/departed_endpoints.h"

namespace burdockshelf
{

namespace
{

// The copies from which the store is restored are some seconds old.
constexpr std::chrono::milliseconds memoryTime {60000};

} // namespace

void departed_endpoints::note(const endpoint_process &process, instant now)
{
    std::erase_if(m_departures, [now](const auto &entry) { return entry.second.forgetAt.hasPassed(now); });
    m_departures[process.id] = {process.startTime, deadline::after(now, memoryTime)};
}

bool departed_endpoints::includes(const endpoint_process &process, instant now) const
{
    const auto found = m_departures.find(process.id);
    return found != m_departures.end() && process.startTime <= found->second.startTime && !found->second.forgetAt.hasPassed(now);
}

} // namespace burdockshelf
