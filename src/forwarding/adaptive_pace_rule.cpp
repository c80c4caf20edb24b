#include "forwarding/adaptive_pace_rule.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

// The first limit as a fraction of the usual load. It is below one request where many instances share a small endpoint.
constexpr double startFraction = 0.125;
constexpr double minStartLimit = 0.5;
constexpr double maxStartLimit = 4.0;
constexpr double growthFactor = 2.0;
constexpr double reductionFactor = 0.5;
constexpr milliseconds silentDoublingTime {2000};
constexpr double silentFraction = 0.5;
// A response that takes longer than this multiple of both the usual time and the endpoint's own average is slow.
constexpr double slowFactor = 3.0;
constexpr double usualSpeedFactor = 1.5;
constexpr double maxSlowness = 10.0;
// The average follows faster responses at once. An instance with a small share gets one response in some seconds and would otherwise take
// an endpoint for slow for half a minute after it has become fast.
constexpr double slowerResponseWeight = 0.3;
// An endpoint with this part of the usual load is at its usual load; a refusal there says nothing about its start.
constexpr double usualLoadPart = 0.8;
constexpr milliseconds minHold {500};
constexpr milliseconds maxHold {16'000};
// An endpoint that has responded without refusal and failure for this long is left to the usual choice, however slow it is.
constexpr milliseconds maxCalmTime {30'000};

} // namespace

void adaptive_pace_rule::begin(double usualRequests, bool isRelapse, instant now)
{
    m_usualRequests = std::max(usualRequests, 1.0);
    m_startLimit = std::clamp(m_usualRequests * startFraction, minStartLimit, maxStartLimit);
    m_limit = m_startLimit;
    m_limitSetAt = now;
    m_calmSince = now;
    m_slowness = 0.0;
    m_hasGoodResponse = false;
    m_heldUntil = deadline();
    m_hold = isRelapse ? std::clamp(m_hold * 2, minHold, maxHold) : milliseconds::zero();
    if (isRelapse) {
        m_heldUntil = deadline::after(now, m_hold);
    }
}

void adaptive_pace_rule::note(const pace_observation &observation, instant now)
{
    using handler = void (adaptive_pace_rule::*)(const pace_observation &, instant);
    static constexpr std::array<handler, 3> handlers = {
        &adaptive_pace_rule::noteGood,
        &adaptive_pace_rule::noteRefused,
        &adaptive_pace_rule::noteFailed,
    };
    (this->*handlers.at(static_cast<std::size_t>(observation.evidence)))(observation, now);
}

void adaptive_pace_rule::noteGood(const pace_observation &observation, instant now)
{
    const double sample = std::min(observation.slowness, maxSlowness);
    const double before = m_slowness;
    const bool isFirst = before <= 0.0;
    m_slowness = isFirst || sample < before ? sample : before + (sample - before) * slowerResponseWeight;
    if (sample > slowFactor * std::max(before, 1.0)) {
        reduceTo(limitAt(now) * reductionFactor, now);
        return;
    }
    m_hasGoodResponse = true;
    double grown = limitAt(now);
    if (m_heldUntil.hasPassed(now)) {
        grown *= growthFactor;
        // Other instances have raised the load further without making requests wait.
        if (observation.reportedRequests && !observation.hasQueue) {
            grown = std::max(grown, *observation.reportedRequests + 1.0);
        }
    }
    m_limit = std::clamp(grown, std::min(m_limit, m_startLimit), std::max(ceiling(), m_startLimit));
    m_limitSetAt = now;
}

void adaptive_pace_rule::noteRefused(const pace_observation &observation, instant now)
{
    const bool isFull = observation.reportedRequests && *observation.reportedRequests >= m_usualRequests * usualLoadPart;
    const bool isWorking = m_hasGoodResponse || !observation.hasQueue;
    if (isFull && isWorking && isAtUsualSpeed() && observation.slowness < usualSpeedFactor) {
        m_hasGoodResponse = true;
        m_limit = m_usualRequests;
        m_limitSetAt = now;
        return;
    }
    reduceTo(limitAt(now) * reductionFactor, now);
}

void adaptive_pace_rule::noteFailed(const pace_observation & /*observation*/, instant now)
{
    reduceTo(0.0, now);
}

void adaptive_pace_rule::reduceTo(double limit, instant now)
{
    // Responses to requests that were sent before the last reduction do not extend the hold again.
    if (m_heldUntil.hasPassed(now)) {
        m_hold = std::clamp(m_hold * 2, minHold, maxHold);
        m_heldUntil = deadline::after(now, m_hold);
    }
    m_limit = std::max(limit, m_startLimit);
    m_limitSetAt = now;
    m_calmSince = now;
    m_hasGoodResponse = false;
}

double adaptive_pace_rule::limitAt(instant now) const
{
    const std::chrono::duration<double> silence = now - std::max(m_limitSetAt, m_heldUntil.at());
    const std::chrono::duration<double> doublingTime = std::max(silentDoublingTime, m_hold);
    const double most = std::max(m_limit, std::min(m_usualRequests * silentFraction, ceiling()));
    return std::min(m_limit * std::exp2(std::max(silence / doublingTime, 0.0)), most);
}

bool adaptive_pace_rule::isReached(instant now) const
{
    if (!m_hasGoodResponse || !m_heldUntil.hasPassed(now)) {
        return false;
    }
    return (isAtUsualSpeed() && limitAt(now) >= m_usualRequests) || now - m_calmSince >= maxCalmTime;
}

double adaptive_pace_rule::ceiling() const
{
    return isAtUsualSpeed() ? m_usualRequests : m_usualRequests / m_slowness;
}

bool adaptive_pace_rule::isAtUsualSpeed() const
{
    return m_slowness < usualSpeedFactor;
}

} // namespace burdockshelf
