#include "forwarding/pause_return.h"

#include <algorithm>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

// The random part after a pause: this fraction of the pause, within the limits.
constexpr double spreadFraction = 0.2;
constexpr milliseconds minSpread {20};
constexpr milliseconds maxSpread {500};
// Between a request that has failed and the next one.
constexpr milliseconds probeInterval {100};
constexpr int statusUnavailable = 503;
// Attempts that got no response at all have status 0.
constexpr int firstFinalStatus = 200;

} // namespace

void pause_return::begin(deadline pausedUntil, instant now, random_source &random)
{
    const auto pause = std::chrono::duration_cast<milliseconds>(pausedUntil.remaining(now) * spreadFraction);
    const auto spread = std::clamp(pause, minSpread, maxSpread) * random.uniform();
    m_nextProbeAt = deadline::after(pausedUntil.at(), std::chrono::duration_cast<boot_clock::duration>(spread));
    m_probeSentAt.reset();
}

endpoint_availability pause_return::check(instant now) const
{
    if (!m_nextProbeAt.hasPassed(now)) {
        return {availability_condition::pausing, m_nextProbeAt};
    }
    if (m_probeSentAt) {
        return {availability_condition::probing, deadline::after(now, probeInterval)};
    }
    return {availability_condition::available};
}

void pause_return::noteSent(instant now)
{
    if (m_nextProbeAt.hasPassed(now)) {
        m_probeSentAt = now;
    }
}

bool pause_return::noteAnswered(instant sentAt, int status) const
{
    return m_probeSentAt == sentAt && status >= firstFinalStatus && status != statusUnavailable;
}

void pause_return::noteEnded(instant sentAt, instant now)
{
    if (m_probeSentAt == sentAt) {
        m_probeSentAt.reset();
        m_nextProbeAt = deadline::after(now, probeInterval);
    }
}

} // namespace burdockshelf
