#pragma once

#include "forwarding/fractional_token_bucket.h"
#include "forwarding/pace_rule.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string_view>

namespace burdockshelf
{

/// Why an endpoint is paced.
enum class pace_cause
{
    started,
    /// It failed, its data centre was unreachable or evacuated, or it paused.
    recovered,
};

std::string_view paceCauseName(pace_cause cause);

/// What the share of one instance depends on.
struct pace_surroundings
{
    /// The instances that share the limit.
    std::int64_t instances = 1;
    /// Requests of all instances that an endpoint of the service usually has at once, and how long each occupies it.
    double usualRequests = 1.0;
    std::chrono::duration<double> usualDuration {};
};

/// The pace of one endpoint that has started or recovered, at one instance. The limit of a pace_rule holds for all instances together; each
/// takes an even share of it as a rate, which also works for limits below one request for each instance: a limit of L requests that take a
/// time d each is a rate of L / d over all instances. Does no I/O.
class endpoint_pace
{
public:
    /// The rule estimates the limit; adaptive_pace_rule when none is given.
    explicit endpoint_pace(std::unique_ptr<pace_rule> rule = nullptr);

    /// Starts the pace. The phase, from 0 to 1, is the part of a request that the instance may send already; it differs between instances,
    /// so that their first requests are spread evenly over time.
    void begin(pace_cause cause, const pace_surroundings &surroundings, double phase, instant now);
    bool isPaced() const;
    pace_cause cause() const;
    /// This instance's share of the limit allows one more request beside those in progress.
    bool hasAllowance(const pace_surroundings &surroundings, std::int64_t outstanding, instant now);
    /// The endpoint has a free allowance and has not responded to this instance for a while.
    bool isProbeDue(const pace_surroundings &surroundings, std::int64_t outstanding, instant now);
    /// The endpoint may be chosen beyond its limit when there is no other one.
    bool isUsableBeyondLimit(std::int64_t outstanding) const;
    /// The cost is a fraction for attempts that are a part of a request.
    void noteSent(double cost);
    void note(const pace_observation &observation, instant now);
    /// Ends the pace when the endpoint bears its usual load. Returns true when that ended it.
    bool endIfReached(instant now);
    double limitAt(instant now) const;
    /// True at most once a second, for log lines of growth steps.
    bool isGrowthLogDue(instant now);

private:
    std::unique_ptr<pace_rule> m_rule;
    fractional_token_bucket m_allowance;
    pace_cause m_cause = pace_cause::started;
    bool m_isPaced = false;
    bool m_hasAnswered = false;
    bool m_isLastAnswerGood = false;
    instant m_lastAnswerAt;
    deadline m_relapseUntil;
    deadline m_nextGrowthLog;
};

} // namespace burdockshelf
