#include "policy/claim_ledger.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

using namespace std::chrono_literals;

// The log accepts several hundred appends per second in total. At this interval, 16 instances make at most 160 appends of claims and 160 of
// outcomes per second.
constexpr auto appendInterval = 100ms;
constexpr auto appendRetryInterval = 300ms;
// Keeps a batch well below the maximum size of a log record.
constexpr std::size_t maxBatchEntries = 500;

} // namespace

claim_ledger::claim_ledger(incarnation_id self, random_source random)
    : m_self(std::move(self))
    , m_random(random)
{
}

claim_ledger_actions claim_ledger::requestClaim(const claim &wanted, deadline until, instant /*now*/)
{
    const auto known = m_states.find(wanted.id);
    if (known != m_states.end() && !(known->second.ended && known->second.ended->isReleased)) {
        return {decisionFor(wanted, known->second)};
    }
    m_pending.insert_or_assign(wanted.request, pending_claim {wanted, until});
    m_unsentClaims.push_back(wanted.request);
    return {};
}

claim_ledger_actions
claim_ledger::claimsReplayed(const std::vector<claim_state> &states, const std::vector<claim_id> &expired, instant /*now*/)
{
    claim_ledger_actions actions;
    for (const claim_id &id : expired) {
        m_states.erase(id);
    }
    for (const claim_state &state : states) {
        m_states.insert_or_assign(state.winner.id, state);
        const request_id &winner = state.winner.request;
        if (state.ended) {
            markDecided(m_outcomeAppend, winner);
            m_runningRequests.erase(winner);
        }
        const bool isOwn = state.winner.claimant == m_self && !state.ended;
        const bool isUnclaimed = isOwn && !m_pending.contains(winner) && !m_runningRequests.contains(winner);
        if (isUnclaimed) {
            release(state.winner);
        }
    }
    for (auto entry = m_pending.begin(); entry != m_pending.end();) {
        const claim &wanted = entry->second.wanted;
        const auto known = m_states.find(wanted.id);
        const bool isOpen = known == m_states.end() || (known->second.ended && known->second.ended->isReleased);
        if (isOpen) {
            ++entry;
            continue;
        }
        if (known->second.winner.request == wanted.request) {
            m_runningRequests.insert(wanted.request);
        }
        actions.push_back(decisionFor(wanted, known->second));
        markDecided(m_claimAppend, wanted.request);
        entry = m_pending.erase(entry);
    }
    return actions;
}

claim_ledger_actions claim_ledger::end(claim_outcome ended, instant /*now*/)
{
    const auto pending = m_pending.find(ended.request);
    if (pending != m_pending.end()) {
        // The request ended before its claim was decided. If the claim is read back later, it is released then.
        markDecided(m_claimAppend, ended.request);
        m_pending.erase(pending);
        return {};
    }
    m_runningRequests.erase(ended.request);
    m_unsentOutcomes.push_back(std::move(ended));
    return {};
}

claim_ledger_actions claim_ledger::abandonClaim(const request_id &request)
{
    if (m_runningRequests.erase(request) > 0) {
        for (const auto &[id, state] : m_states) {
            if (state.winner.request == request) {
                release(state.winner);
            }
        }
    }
    return {};
}

void claim_ledger::setLiveIncarnations(std::set<incarnation_id> live)
{
    m_liveIncarnations = std::move(live);
}

claim_ledger_actions claim_ledger::tick(instant now, record_time at)
{
    claim_ledger_actions actions;
    for (auto entry = m_pending.begin(); entry != m_pending.end();) {
        if (!entry->second.until.hasPassed(now)) {
            ++entry;
            continue;
        }
        actions.push_back(decide_claim {entry->first, entry->second.wanted.id, claim_result::unavailable, std::nullopt});
        markDecided(m_claimAppend, entry->first);
        entry = m_pending.erase(entry);
    }
    retryAppend(m_claimAppend, now, actions);
    retryAppend(m_outcomeAppend, now, actions);
    appendClaims(now, at, actions);
    appendOutcomes(now, at, actions);
    return actions;
}

deadline claim_ledger::nextTick() const
{
    deadline next = deadline::never();
    if (m_claimAppend) {
        next = std::min(next, m_claimAppend->retryAt);
    } else if (!m_unsentClaims.empty()) {
        next = std::min(next, m_nextClaimAppend);
    }
    if (m_outcomeAppend) {
        next = std::min(next, m_outcomeAppend->retryAt);
    } else if (!m_unsentOutcomes.empty()) {
        next = std::min(next, m_nextOutcomeAppend);
    }
    for (const auto &[request, pending] : m_pending) {
        next = std::min(next, pending.until);
    }
    return next;
}

std::uint64_t claim_ledger::claimCount() const
{
    return m_claimCount;
}

std::uint64_t claim_ledger::appendCount() const
{
    return m_appendCount;
}

claim_ledger_action claim_ledger::decisionFor(const claim &wanted, const claim_state &state) const
{
    if (state.winner.request == wanted.request) {
        return decide_claim {wanted.request, wanted.id, claim_result::won, std::nullopt};
    }
    if (state.winner.fingerprint != wanted.fingerprint) {
        return decide_claim {wanted.request, wanted.id, claim_result::mismatch, std::nullopt};
    }
    if (state.ended) {
        const bool isKnown = state.ended->status != 0;
        return decide_claim {wanted.request, wanted.id, isKnown ? claim_result::done : claim_result::outcome_unknown, state.ended};
    }
    const incarnation_id &claimant = state.winner.claimant;
    const bool isRunning = claimant == m_self || m_liveIncarnations.contains(claimant);
    return decide_claim {wanted.request, wanted.id, isRunning ? claim_result::in_progress : claim_result::outcome_unknown, std::nullopt};
}

// A record need not be read back any more once all of its requests are decided.
void claim_ledger::markDecided(std::optional<append_in_flight> &sent, const request_id &request) const
{
    if (sent) {
        sent->undecided.erase(request);
        if (sent->undecided.empty()) {
            sent.reset();
        }
    }
}

void claim_ledger::release(const claim &unwanted)
{
    const auto isSame = [&](const claim_outcome &other) {
        return other.request == unwanted.request;
    };
    const bool isInFlight = m_outcomeAppend && m_outcomeAppend->undecided.contains(unwanted.request);
    if (isInFlight || std::any_of(m_unsentOutcomes.begin(), m_unsentOutcomes.end(), isSame)) {
        return;
    }
    claim_outcome released;
    released.id = unwanted.id;
    released.request = unwanted.request;
    released.isReleased = true;
    m_unsentOutcomes.push_back(std::move(released));
}

void claim_ledger::appendClaims(instant now, record_time at, claim_ledger_actions &actions)
{
    if (m_claimAppend || !m_nextClaimAppend.hasPassed(now)) {
        return;
    }
    claim_batch batch;
    batch.at = at;
    append_in_flight sent;
    std::size_t taken = 0;
    for (; taken < m_unsentClaims.size() && batch.claims.size() < maxBatchEntries; ++taken) {
        const auto pending = m_pending.find(m_unsentClaims[taken]);
        if (pending != m_pending.end()) {
            claim wanted = pending->second.wanted;
            wanted.claimant = m_self;
            batch.claims.push_back(std::move(wanted));
            sent.undecided.insert(pending->first);
        }
    }
    m_unsentClaims.erase(m_unsentClaims.begin(), m_unsentClaims.begin() + static_cast<std::ptrdiff_t>(taken));
    if (batch.claims.empty()) {
        return;
    }
    m_claimCount += batch.claims.size();
    ++m_appendCount;
    sent.id = record_id(m_random.hexId());
    sent.record = std::move(batch);
    sent.retryAt = deadline::after(now, appendRetryInterval);
    m_nextClaimAppend = deadline::after(now, appendInterval);
    actions.push_back(append_claims {sent.id, sent.record});
    m_claimAppend = std::move(sent);
}

void claim_ledger::appendOutcomes(instant now, record_time at, claim_ledger_actions &actions)
{
    if (m_outcomeAppend || m_unsentOutcomes.empty() || !m_nextOutcomeAppend.hasPassed(now)) {
        return;
    }
    outcome_batch batch;
    batch.at = at;
    append_in_flight sent;
    const std::size_t taken = std::min(maxBatchEntries, m_unsentOutcomes.size());
    for (std::size_t i = 0; i < taken; ++i) {
        sent.undecided.insert(m_unsentOutcomes[i].request);
        batch.outcomes.push_back(std::move(m_unsentOutcomes[i]));
    }
    m_unsentOutcomes.erase(m_unsentOutcomes.begin(), m_unsentOutcomes.begin() + static_cast<std::ptrdiff_t>(taken));
    sent.id = record_id(m_random.hexId());
    sent.record = std::move(batch);
    sent.retryAt = deadline::after(now, appendRetryInterval);
    m_nextOutcomeAppend = deadline::after(now, appendInterval);
    actions.push_back(append_claims {sent.id, sent.record});
    m_outcomeAppend = std::move(sent);
}

void claim_ledger::retryAppend(std::optional<append_in_flight> &sent, instant now, claim_ledger_actions &actions) const
{
    if (sent && sent->retryAt.hasPassed(now)) {
        sent->retryAt = deadline::after(now, appendRetryInterval);
        actions.push_back(append_claims {sent->id, sent->record});
    }
}

} // namespace burdockshelf
