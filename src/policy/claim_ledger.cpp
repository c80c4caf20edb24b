#include "policy/claim_ledger.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

using namespace std::chrono_literals;

// The log takes several hundred appends a second in all; 16 instances at this pace need at most 160 for claims and 160 for outcomes.
constexpr auto appendInterval = 100ms;
constexpr auto appendRetryInterval = 300ms;
// A batch stays well below the size of a record that the log takes.
constexpr std::size_t maxBatch = 500;

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
    m_unsent.push_back(wanted.request);
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
            retire(m_outcomesSent, winner);
            m_running.erase(winner);
        }
        const bool isOwn = state.winner.claimant == m_self && !state.ended;
        const bool isUnclaimed = isOwn && !m_pending.contains(winner) && !m_running.contains(winner);
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
            m_running.insert(wanted.request);
        }
        actions.push_back(decisionFor(wanted, known->second));
        retire(m_claimsSent, wanted.request);
        entry = m_pending.erase(entry);
    }
    return actions;
}

claim_ledger_actions claim_ledger::end(claim_outcome ended, instant /*now*/)
{
    const auto pending = m_pending.find(ended.request);
    if (pending != m_pending.end()) {
        // The request gave up before its claim was decided. If the claim is read back all the same, it is released then.
        retire(m_claimsSent, ended.request);
        m_pending.erase(pending);
        return {};
    }
    m_running.erase(ended.request);
    m_unsentOutcomes.push_back(std::move(ended));
    return {};
}

claim_ledger_actions claim_ledger::abandonClaim(const request_id &request)
{
    if (m_running.erase(request) > 0) {
        for (const auto &[id, state] : m_states) {
            if (state.winner.request == request) {
                release(state.winner);
            }
        }
    }
    return {};
}

void claim_ledger::setLiveIncarnations(std::set<incarnation_id> alive)
{
    m_alive = std::move(alive);
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
        retire(m_claimsSent, entry->first);
        entry = m_pending.erase(entry);
    }
    retryAppend(m_claimsSent, now, actions);
    retryAppend(m_outcomesSent, now, actions);
    startClaims(now, at, actions);
    startOutcomes(now, at, actions);
    return actions;
}

deadline claim_ledger::nextTick() const
{
    deadline next = deadline::never();
    if (m_claimsSent) {
        next = std::min(next, m_claimsSent->retryAt);
    } else if (!m_unsent.empty()) {
        next = std::min(next, m_nextClaims);
    }
    if (m_outcomesSent) {
        next = std::min(next, m_outcomesSent->retryAt);
    } else if (!m_unsentOutcomes.empty()) {
        next = std::min(next, m_nextOutcomes);
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
    const bool isRunning = claimant == m_self || m_alive.contains(claimant);
    return decide_claim {wanted.request, wanted.id, isRunning ? claim_result::in_progress : claim_result::outcome_unknown, std::nullopt};
}

// A record whose every request is decided need not be read back any more.
void claim_ledger::retire(std::optional<append_in_flight> &sent, const request_id &request) const
{
    if (sent) {
        sent->open.erase(request);
        if (sent->open.empty()) {
            sent.reset();
        }
    }
}

void claim_ledger::release(const claim &unwanted)
{
    const auto isSame = [&](const claim_outcome &other) {
        return other.request == unwanted.request;
    };
    const bool isInFlight = m_outcomesSent && m_outcomesSent->open.contains(unwanted.request);
    if (isInFlight || std::any_of(m_unsentOutcomes.begin(), m_unsentOutcomes.end(), isSame)) {
        return;
    }
    claim_outcome released;
    released.id = unwanted.id;
    released.request = unwanted.request;
    released.isReleased = true;
    m_unsentOutcomes.push_back(std::move(released));
}

void claim_ledger::startClaims(instant now, record_time at, claim_ledger_actions &actions)
{
    if (m_claimsSent || !m_nextClaims.hasPassed(now)) {
        return;
    }
    claim_batch batch;
    batch.at = at;
    append_in_flight sent;
    std::size_t taken = 0;
    for (; taken < m_unsent.size() && batch.claims.size() < maxBatch; ++taken) {
        const auto pending = m_pending.find(m_unsent[taken]);
        if (pending != m_pending.end()) {
            claim wanted = pending->second.wanted;
            wanted.claimant = m_self;
            batch.claims.push_back(std::move(wanted));
            sent.open.insert(pending->first);
        }
    }
    m_unsent.erase(m_unsent.begin(), m_unsent.begin() + static_cast<std::ptrdiff_t>(taken));
    if (batch.claims.empty()) {
        return;
    }
    m_claimCount += batch.claims.size();
    ++m_appendCount;
    sent.id = record_id(m_random.hexId());
    sent.record = std::move(batch);
    sent.retryAt = deadline::after(now, appendRetryInterval);
    m_nextClaims = deadline::after(now, appendInterval);
    actions.push_back(append_claims {sent.id, sent.record});
    m_claimsSent = std::move(sent);
}

void claim_ledger::startOutcomes(instant now, record_time at, claim_ledger_actions &actions)
{
    if (m_outcomesSent || m_unsentOutcomes.empty() || !m_nextOutcomes.hasPassed(now)) {
        return;
    }
    outcome_batch batch;
    batch.at = at;
    append_in_flight sent;
    const std::size_t taken = std::min(maxBatch, m_unsentOutcomes.size());
    for (std::size_t i = 0; i < taken; ++i) {
        sent.open.insert(m_unsentOutcomes[i].request);
        batch.outcomes.push_back(std::move(m_unsentOutcomes[i]));
    }
    m_unsentOutcomes.erase(m_unsentOutcomes.begin(), m_unsentOutcomes.begin() + static_cast<std::ptrdiff_t>(taken));
    sent.id = record_id(m_random.hexId());
    sent.record = std::move(batch);
    sent.retryAt = deadline::after(now, appendRetryInterval);
    m_nextOutcomes = deadline::after(now, appendInterval);
    actions.push_back(append_claims {sent.id, sent.record});
    m_outcomesSent = std::move(sent);
}

void claim_ledger::retryAppend(std::optional<append_in_flight> &sent, instant now, claim_ledger_actions &actions) const
{
    if (sent && sent->retryAt.hasPassed(now)) {
        sent->retryAt = deadline::after(now, appendRetryInterval);
        actions.push_back(append_claims {sent->id, sent->record});
    }
}

} // namespace burdockshelf
