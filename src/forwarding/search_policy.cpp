#include "forwarding/search_policy.h"

#include <algorithm>
#include <array>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;
using seconds_f = std::chrono::duration<double>;

// A request that gets no reservation within this fraction of its route's target is refused, so that its caller can retry later.
constexpr double uniformFractionOfTarget = 0.7;
// Waiting requests of later ranks that may ask at the same time at an instance. More would only make the instance ask more.
constexpr std::size_t maxAskingAtOnce = 2;
// A waiting request may ask one endpoint after this time whatever its place, so that none is starved.
constexpr milliseconds longestWithoutAsking {700};
// A request is refused at once when the expected wait exceeds this fraction of the time left. Without a margin, requests of later ranks
// would wait until they are late, and crowd out those that could still be in time.
constexpr double refusalFactor = 0.5;
constexpr milliseconds maxExpectedWait {30000};

/// Pace of the searches in one phase.
struct phase_pace
{
    std::size_t maxAsked;
    milliseconds interval;
};

constexpr phase_pace ampleCapacity {3, milliseconds(70)};
constexpr phase_pace firstInTime {6, milliseconds(30)};
constexpr phase_pace firstLate {3, milliseconds(100)};
constexpr phase_pace laterInTime {3, milliseconds(70)};
constexpr phase_pace laterLate {1, milliseconds(700)};

/// The earlier of what follows from the grants of the last seconds and from the probability of a grant at this pace.
milliseconds expectedWait(const search_situation &situation, const phase_pace &pace)
{
    const auto turns = static_cast<double>(situation.ahead + 1);
    const double asksPerSecond = static_cast<double>(pace.maxAsked) / seconds_f(pace.interval).count();
    const double grantsFromAsking = situation.outlook.grantsPerAsk * asksPerSecond;
    const double grantsPerSecond = std::max(grantsFromAsking, situation.outlook.grantsPerSecond);
    const seconds_f wait(turns / std::max(grantsPerSecond, 1e-3));
    return wait < maxExpectedWait ? std::chrono::duration_cast<milliseconds>(wait) : maxExpectedWait;
}

bool isTooLate(milliseconds wait, deadline until, instant now)
{
    return wait > until.remaining(now) * refusalFactor;
}

search_step stepOf(const phase_pace &pace, const search_situation &situation)
{
    return {{pace.maxAsked, pace.interval, situation.searchLimit}, expectedWait(situation, pace), false};
}

class uniform_search_policy : public search_policy
{
public:
    search_step nextRound(const search_situation &situation, instant /*now*/) const override
    {
        search_step step = stepOf(ampleCapacity, situation);
        const auto span = std::chrono::duration_cast<milliseconds>(situation.target * uniformFractionOfTarget);
        step.pace.until = deadline::after(situation.begun, span);
        return step;
    }
};

class first_priority_search_policy : public search_policy
{
public:
    search_step nextRound(const search_situation &situation, instant now) const override
    {
        if (!situation.outlook.isScarce()) {
            return stepOf(ampleCapacity, situation);
        }
        // An instance sees too few requests of the first rank to know from their outcome that capacity will not come in time, so a request
        // that can still be in time goes on asking.
        const bool isLate = situation.latestStart.hasPassed(now);
        search_step step = stepOf(isLate ? firstLate : firstInTime, situation);
        step.isRefused = isLate && isTooLate(step.expectedWait, situation.searchLimit, now);
        return step;
    }
};

class later_priority_search_policy : public search_policy
{
public:
    search_step nextRound(const search_situation &situation, instant now) const override
    {
        if (!situation.outlook.isScarce()) {
            return stepOf(ampleCapacity, situation);
        }
        const bool isLate = situation.latestStart.hasPassed(now);
        search_step step = stepOf(isLate ? laterLate : laterInTime, situation);
        step.isRefused = isTooLate(step.expectedWait, isLate ? situation.searchLimit : situation.latestStart, now);
        if (situation.ahead >= maxAskingAtOnce) {
            step.pace.maxAsked = now - situation.lastAsked >= longestWithoutAsking ? 1 : 0;
        }
        return step;
    }
};

} // namespace

const search_policy &searchPolicyFor(std::optional<priority_rank> rank)
{
    static const uniform_search_policy uniform;
    static const first_priority_search_policy first;
    static const later_priority_search_policy later;
    if (!rank) {
        return uniform;
    }
    return *rank == priority_rank(0) ? static_cast<const search_policy &>(first) : later;
}

} // namespace burdockshelf
