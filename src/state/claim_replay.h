#pragma once

#include "state/replay_result.h"
#include "state/snapshot.h"

#include <map>
#include <optional>
#include <set>

namespace burdockshelf
{

/// Replays the records of claims on idempotency keys. The claim record with the lowest offset wins, an outcome record ends the claim, and
/// an outcome that releases the claim makes it available again. A claim is dropped once the highest record time exceeds the claim's time by
/// the idempotency window.
class claim_replay
{
public:
    explicit claim_replay(record_time window);

    std::optional<record_rejection> apply(const claim_batch &batch, replay_result &result);
    std::optional<record_rejection> apply(const outcome_batch &batch, replay_result &result);
    /// Replaces all claims by those of a snapshot.
    void load(const std::map<claim_id, claim_state> &claims, record_time latest, replay_result &result);

    const std::map<claim_id, claim_state> &claims() const;
    record_time latest() const;
    /// Raises the highest record time to the time of a record and drops the claims that have expired.
    void advanceTo(record_time at, replay_result &result);

private:
    struct expiry
    {
        record_time at {};
        claim_id id;

        friend auto operator<=>(const expiry &, const expiry &) = default;
    };

    bool isExpired(record_time at) const;
    bool tryAcquireClaim(const claim &wanted, record_time at);
    bool tryRecordOutcome(const claim_outcome &ended);

    record_time m_window;
    record_time m_latest {};
    std::map<claim_id, claim_state> m_claims;
    // Claims ordered by time, so that advanceTo() visits only the expired ones.
    std::set<expiry> m_expiries;
};

} // namespace burdockshelf
