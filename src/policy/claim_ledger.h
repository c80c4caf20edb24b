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

/// Result of a request for a claim.
enum class claim_result
{
    won,
    done,
    in_progress,
    outcome_unknown,
    mismatch,
    unavailable,
};

/// Action: tell a request how its claim was decided.
struct decide_claim
{
    request_id request;
    claim_id id;
    claim_result result = claim_result::unavailable;
    std::optional<claim_outcome> ended;
};

/// Action: append a record to the log. The same record is appended again with the same id until it has been read back.
struct append_claims
{
    record_id id;
    log_record record;
};

using claim_ledger_action = std::variant<decide_claim, append_claims>;
using claim_ledger_actions = std::vector<claim_ledger_action>;

/// The claims of idempotency keys as seen by one instance. The order of the platform's log decides between competing claims: a request may
/// be dispatched only after its own claim has been read back as the winner. Claims that arrive while an append is in flight share the next
/// append. A claim is released by another record, so that the key can be used again, if it is read back after its request has given up, or
/// if the call ended without being dispatched.
class claim_ledger
{
public:
    claim_ledger(incarnation_id self, random_source random);

    claim_ledger_actions requestClaim(const claim &wanted, deadline until, instant now);
    /// Takes the states of claims after replay, in the log order of their records, and the ids of expired claims.
    claim_ledger_actions claimsReplayed(const std::vector<claim_state> &states, const std::vector<claim_id> &expired, instant now);
    /// Records that a claimed call has ended or was never dispatched.
    claim_ledger_actions end(claim_outcome ended, instant now);
    /// Releases the claim of a request that won but cannot be told, and so will not be dispatched.
    claim_ledger_actions abandonClaim(const request_id &request);
    /// Sets the incarnations, other than this one, that may still be running.
    void setLiveIncarnations(std::set<incarnation_id> live);
    /// Decides the claims whose deadline has passed as unavailable, repeats appends that have not been read back, and starts appends that
    /// are due.
    claim_ledger_actions tick(instant now, record_time at);
    deadline nextTick() const;

    /// Numbers of claims and of claim records appended so far, for the ratio of calls per append.
    std::uint64_t claimCount() const;
    std::uint64_t appendCount() const;

private:
    struct pending_claim
    {
        claim wanted;
        deadline until;
    };

    /// A record that has been appended and not read back yet.
    struct append_in_flight
    {
        record_id id;
        log_record record;
        /// Requests in the record whose claim or outcome has not been decided yet.
        std::set<request_id> undecided;
        deadline retryAt;
    };

    claim_ledger_action decisionFor(const claim &wanted, const claim_state &state) const;
    void markDecided(std::optional<append_in_flight> &sent, const request_id &request) const;
    void release(const claim &unwanted);
    void appendClaims(instant now, record_time at, claim_ledger_actions &actions);
    void appendOutcomes(instant now, record_time at, claim_ledger_actions &actions);
    void retryAppend(std::optional<append_in_flight> &sent, instant now, claim_ledger_actions &actions) const;

    incarnation_id m_self;
    random_source m_random;
    std::set<incarnation_id> m_liveIncarnations;
    std::map<claim_id, claim_state> m_states;
    // Claims that have not been decided yet, by request.
    std::map<request_id, pending_claim> m_pending;
    // Requests of this incarnation that have won their claim and have not ended.
    std::set<request_id> m_runningRequests;
    std::vector<request_id> m_unsentClaims;
    std::vector<claim_outcome> m_unsentOutcomes;
    std::optional<append_in_flight> m_claimAppend;
    std::optional<append_in_flight> m_outcomeAppend;
    deadline m_nextClaimAppend;
    deadline m_nextOutcomeAppend;
    std::uint64_t m_claimCount = 0;
    std::uint64_t m_appendCount = 0;
};

} // namespace burdockshelf
