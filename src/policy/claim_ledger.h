#pragma once

#include "core/deadline.h"
#include "core/random_source.h"
#include "state/snapshot.h"
#include "state/stored_record.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace burdockshelf
{

/// What a request that wants a claim is told.
enum class claim_result
{
    won,
    done,
    in_progress,
    outcome_unknown,
    mismatch,
    unavailable,
};

/// Tell a request how its claim was decided.
struct decide_claim
{
    request_id request;
    claim_id id;
    claim_result result = claim_result::unavailable;
    std::optional<claim_outcome> ended;
};

/// Try to append a record. The same record is tried again with the same id until it has been read back.
struct append_claims
{
    record_id id;
    log_record record;
};

using claim_ledger_action = std::variant<decide_claim, append_claims>;
using claim_ledger_actions = std::vector<claim_ledger_action>;

/// The claims of idempotency keys as one instance sees them. The order of the platform's log decides: a request may be dispatched only
/// after its own claim has been read back as the winner. Claims that come while an append is on its way share the next one. A claim that is
/// read back after its request has given up, or that ended undispatched, is released by a record, so that the key can be used again.
class claim_ledger
{
public:
    claim_ledger(incarnation_id self, random_source random);

    claim_ledger_actions requestClaim(const claim &wanted, deadline until, instant now);
    /// States of claims as replay has left them, in log order of their records.
    claim_ledger_actions claimsReplayed(const std::vector<claim_state> &states, const std::vector<claim_id> &expired, instant now);
    /// A claimed call has ended or was never dispatched.
    claim_ledger_actions end(claim_outcome ended, instant now);
    /// A request that won will not be dispatched, because it could not be told.
    claim_ledger_actions abandonClaim(const request_id &request);
    /// Incarnations that may still be running, this one aside.
    void setLiveIncarnations(std::set<incarnation_id> alive);
    /// Drops claims whose deadline has passed and starts appends that are due.
    claim_ledger_actions tick(instant now, record_time at);
    deadline nextTick() const;

    /// Claims and claim records appended so far, for the ratio of calls per append.
    std::uint64_t claimCount() const;
    std::uint64_t appendCount() const;

private:
    struct pending_claim
    {
        claim wanted;
        deadline until;
    };

    /// A record that has not been read back.
    struct append_in_flight
    {
        record_id id;
        log_record record;
        /// Requests whose claims or outcomes the record holds and that are not decided.
        std::set<request_id> open;
        deadline retryAt;
    };

    claim_ledger_action decisionFor(const claim &wanted, const claim_state &state) const;
    void retire(std::optional<append_in_flight> &sent, const request_id &request) const;
    void release(const claim &unwanted);
    void startClaims(instant now, record_time at, claim_ledger_actions &actions);
    void startOutcomes(instant now, record_time at, claim_ledger_actions &actions);
    void retryAppend(std::optional<append_in_flight> &sent, instant now, claim_ledger_actions &actions) const;

    incarnation_id m_self;
    random_source m_random;
    std::set<incarnation_id> m_alive;
    std::map<claim_id, claim_state> m_states;
    // Wanted claims that are not decided, by request.
    std::map<request_id, pending_claim> m_pending;
    // Claims won by requests of this incarnation that have not ended.
    std::set<request_id> m_running;
    std::vector<request_id> m_unsent;
    std::vector<claim_outcome> m_unsentOutcomes;
    std::optional<append_in_flight> m_claimsSent;
    std::optional<append_in_flight> m_outcomesSent;
    deadline m_nextClaims;
    deadline m_nextOutcomes;
    std::uint64_t m_claimCount = 0;
    std::uint64_t m_appendCount = 0;
};

} // namespace burdockshelf
