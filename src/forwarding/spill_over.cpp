#include "forwarding/spill_over.h"

#include <algorithm>
#include <cmath>

namespace burdockshelf
{

namespace
{

// Differences of scores, where 1.0 is the load of a fully used endpoint.
constexpr double beginsAbove = 0.25;
constexpr double endsBelow = 0.05;
// A blocked endpoint has a score of 20 or more, which must not delay the way back.
constexpr double maxDifference = 1.0;
constexpr std::chrono::duration<double> averagingTime {0.5};
// Larger than the range of the random terms (expected_completion_score), so that no endpoint elsewhere is chosen by chance.
constexpr double penaltyAtHome = 1.3;
constexpr double penaltyWhileSpilling = 0.12;

} // namespace

void spill_over::note(double bestAtHome, double bestElsewhere, instant now)
{
    const std::chrono::duration<double> sinceLast = now - m_notedAt;
    m_notedAt = now;
    const double difference = std::clamp(bestAtHome - bestElsewhere, -maxDifference, maxDifference);
    m_difference += (difference - m_difference) * (1.0 - std::exp(-sinceLast / averagingTime));
    m_isSpilling = m_difference > (m_isSpilling ? endsBelow : beginsAbove);
}

bool spill_over::isSpilling() const
{
    return m_isSpilling;
}

double spill_over::remotePenalty() const
{
    return m_isSpilling ? penaltyWhileSpilling : penaltyAtHome;
}

} // namespace burdockshelf
