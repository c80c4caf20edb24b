#pragma once

#include "forwarding/pace_rule.h"

#include <chrono>

namespace burdockshelf
{

/// Doubles the limit with every response at the usual time, halves it on refusals and slow responses, and starts again after failures.
/// Grows slowly and only up to a fraction of the usual load without any response, because with many instances most of them get their first
/// response late. After each reduction the limit is held for a time that doubles with further reductions.
class adaptive_pace_rule : public pace_rule
{
public:
    void begin(double usualRequests, bool isRelapse, instant now) override;
    void note(const pace_observation &observation, instant now) override;
    double limitAt(instant now) const override;
    bool isReached(instant now) const override;

private:
    void noteGood(const pace_observation &observation, instant now);
    void noteRefused(const pace_observation &observation, instant now);
    void noteFailed(const pace_observation &observation, instant now);
    void reduceTo(double limit, instant now);
    /// The usual load, divided by how much slower the endpoint is than usual.
    double ceiling() const;
    bool isAtUsualSpeed() const;

    double m_usualRequests = 1.0;
    double m_startLimit = 1.0;
    double m_limit = 1.0;
    instant m_limitSetAt;
    deadline m_heldUntil;
    std::chrono::milliseconds m_hold {};
    /// Average of the slowness; 0 before the first response.
    double m_slowness = 0.0;
    /// When the endpoint began or the limit was last reduced.
    instant m_calmSince;
    bool m_hasGoodResponse = false;
};

} // namespace burdockshelf
