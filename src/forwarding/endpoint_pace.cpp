#include "forwarding/endpoint_pace.h"

#include "forwarding/adaptive_pace_rule.h"

#include <algorithm>
#include <array>
#include <utility>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

// An endpoint that has to be paced again within this time has a relapse.
constexpr milliseconds relapseTime {30'000};
constexpr milliseconds probeInterval {1000};
constexpr milliseconds growthLogInterval {1000};

} // namespace

std::string_view paceCauseName(pace_cause cause)
{
    return cause == pace_cause::started ? "started" : "recovered";
}

std::string_view paceEvidenceName(pace_evidence evidence)
{
    static constexpr std::array<std::string_view, 3> names = {"good", "refused", "failed"};
    return names.at(static_cast<std::size_t>(evidence));
}

endpoint_pace::endpoint_pace(std::unique_ptr<pace_rule> rule)
    : m_rule(std::move(rule))
{
}

void endpoint_pace::begin(pace_cause cause, const pace_surroundings &surroundings, double phase, instant now)
{
    if (!m_rule) {
        m_rule = std::make_unique<adaptive_pace_rule>();
    }
    m_rule->begin(surroundings.usualRequests, !m_relapseUntil.hasPassed(now), now);
    m_allowance = fractional_token_bucket::startEmpty(0.0, 1.0, now);
    m_allowance.refundCost(phase);
    m_cause = cause;
    m_isPaced = true;
    m_hasAnswered = cause == pace_cause::recovered;
    m_isLastAnswerGood = cause == pace_cause::recovered;
    m_lastAnswerAt = now;
    m_nextGrowthLog = deadline();
}

bool endpoint_pace::isPaced() const
{
    return m_isPaced;
}

pace_cause endpoint_pace::cause() const
{
    return m_cause;
}

bool endpoint_pace::hasAllowance(const pace_surroundings &surroundings, std::int64_t outstanding, instant now)
{
    const double share = m_rule->limitAt(now) / static_cast<double>(std::max<std::int64_t>(surroundings.instances, 1));
    const double atOnce = std::max(share, 1.0);
    m_allowance.setRateAndBurst(share / surroundings.usualDuration.count(), atOnce, now);
    return static_cast<double>(outstanding) + 1.0 <= atOnce && m_allowance.level(now) >= 1.0;
}

bool endpoint_pace::isProbeDue(const pace_surroundings &surroundings, std::int64_t outstanding, instant now)
{
    return now - m_lastAnswerAt >= probeInterval && hasAllowance(surroundings, outstanding, now);
}

bool endpoint_pace::isUsableBeyondLimit(std::int64_t outstanding) const
{
    // Without any response so far, one request at a time shows whether the endpoint responds.
    return m_hasAnswered ? m_isLastAnswerGood : outstanding == 0;
}

void endpoint_pace::noteSent(double cost)
{
    if (m_isPaced) {
        m_allowance.refundCost(-cost);
    }
}

void endpoint_pace::note(const pace_observation &observation, instant now)
{
    m_rule->note(observation, now);
    m_hasAnswered = true;
    m_isLastAnswerGood = observation.evidence == pace_evidence::good;
    m_lastAnswerAt = now;
}

bool endpoint_pace::endIfReached(instant now)
{
    if (!m_isPaced || !m_rule->isReached(now)) {
        return false;
    }
    m_isPaced = false;
    m_relapseUntil = deadline::after(now, relapseTime);
    return true;
}

double endpoint_pace::limitAt(instant now) const
{
    return m_rule ? m_rule->limitAt(now) : 0.0;
}

bool endpoint_pace::isGrowthLogDue(instant now)
{
    if (!m_nextGrowthLog.hasPassed(now)) {
        return false;
    }
    m_nextGrowthLog = deadline::after(now, growthLogInterval);
    return true;
}

} // namespace burdockshelf
