#pragma once

#include "state/replay_result.h"
#include "state/snapshot.h"

#include <map>
#include <optional>
#include <set>

namespace burdockshelf
{

/// The claims part of replay: the lowest offset wins a claim, an outcome ends it, a release frees it, and it is forgotten once the highest
/// record time is past it by the idempotency window.
class claim_replay
{
public:
    explicit claim_replay(record_time window);

    std::optional<record_rejection> apply(const claim_batch &batch, replay_result &result);
    std::optional<record_rejection> apply(const outcome_batch &batch, replay_result &result);
    /// Takes over the claims of a snapshot in place of its own.
    void load(const std::map<claim_id, claim_state> &claims, record_time latest, replay_result &result);

    const std::map<claim_id, claim_state> &claims() const;
    record_time latest() const;
    /// Takes the time of a record into account, and forgets the claims that have expired by it.
    void advanceTo(record_time at, replay_result &result);

private:
    struct expiry
    {
        record_time at {};
        claim_id id;

        friend auto operator<=>(const expiry &, const expiry &) = default;
    };

    bool isExpired(record_time at) const;
    bool tryWin(const claim &wanted, record_time at);
    bool tryEnd(const claim_outcome &ended);

    record_time m_window;
    record_time m_latest {};
    std::map<claim_id, claim_state> m_claims;
    // Claims by time, so that a record looks only at those that expire.
    std::set<expiry> m_expiries;
};

} // namespace burdockshelf
