#include "state/claim_replay.h"

#include <algorithm>

namespace burdockshelf
{

claim_replay::claim_replay(record_time window)
    : m_window(window)
{
}

std::optional<record_rejection> claim_replay::apply(const claim_batch &batch, replay_result &result)
{
    advanceTo(batch.at, result);
    bool hasWon = false;
    for (const claim &wanted : batch.claims) {
        if (tryAcquireClaim(wanted, batch.at)) {
            hasWon = true;
            result.changedClaims.insert(wanted.id);
            result.expiredClaims.erase(wanted.id);
        }
    }
    return hasWon ? std::nullopt : std::optional(record_rejection::claims_lost);
}

std::optional<record_rejection> claim_replay::apply(const outcome_batch &batch, replay_result &result)
{
    advanceTo(batch.at, result);
    bool hasEnded = false;
    for (const claim_outcome &ended : batch.outcomes) {
        if (tryRecordOutcome(ended)) {
            hasEnded = true;
            result.changedClaims.insert(ended.id);
        }
    }
    return hasEnded ? std::nullopt : std::optional(record_rejection::claims_not_held);
}

void claim_replay::load(const std::map<claim_id, claim_state> &claims, record_time latest, replay_result &result)
{
    for (const auto &[id, state] : m_claims) {
        if (!claims.contains(id)) {
            result.changedClaims.erase(id);
            result.expiredClaims.insert(id);
        }
    }
    m_claims = claims;
    m_expiries.clear();
    for (const auto &[id, state] : m_claims) {
        m_expiries.insert({state.at, id});
        result.changedClaims.insert(id);
        result.expiredClaims.erase(id);
    }
    advanceTo(latest, result);
}

const std::map<claim_id, claim_state> &claim_replay::claims() const
{
    return m_claims;
}

record_time claim_replay::latest() const
{
    return m_latest;
}

// Subtracts instead of adding: a time near the limits of the type, as in a faulty record, would overflow a sum.
bool claim_replay::isExpired(record_time at) const
{
    return at <= m_latest - m_window;
}

void claim_replay::advanceTo(record_time at, replay_result &result)
{
    m_latest = std::max(m_latest, at);
    while (!m_expiries.empty() && isExpired(m_expiries.begin()->at)) {
        const claim_id id = m_expiries.begin()->id;
        m_expiries.erase(m_expiries.begin());
        m_claims.erase(id);
        result.changedClaims.erase(id);
        result.expiredClaims.insert(id);
    }
}

// A claim older than the window is rejected: it may be a late copy of a claim that was already dropped.
bool claim_replay::tryAcquireClaim(const claim &wanted, record_time at)
{
    if (isExpired(at)) {
        return false;
    }
    const auto found = m_claims.find(wanted.id);
    if (found == m_claims.end()) {
        m_claims.emplace(wanted.id, claim_state {wanted, at, std::nullopt, {}});
        m_expiries.insert({at, wanted.id});
        return true;
    }
    claim_state &held = found->second;
    const bool isFree = held.ended && held.ended->isReleased;
    if (!isFree || std::find(held.released.begin(), held.released.end(), wanted.request) != held.released.end()) {
        return false;
    }
    m_expiries.erase({held.at, wanted.id});
    held.at = std::max(held.at, at);
    m_expiries.insert({held.at, wanted.id});
    held.winner = wanted;
    held.ended.reset();
    return true;
}

bool claim_replay::tryRecordOutcome(const claim_outcome &ended)
{
    const auto found = m_claims.find(ended.id);
    if (found == m_claims.end() || found->second.ended || found->second.winner.request != ended.request) {
        return false;
    }
    found->second.ended = ended;
    if (ended.isReleased) {
        found->second.released.push_back(ended.request);
    }
    return true;
}

} // namespace burdockshelf
