#include "state/log_replay.h"

#include <utility>

namespace burdockshelf
{

namespace
{

template<typename Key, typename Value>
void mergeEntries(std::map<Key, Value> &entries, const std::map<Key, std::optional<Value>> &changes)
{
    for (const auto &[key, value] : changes) {
        if (value) {
            entries.insert_or_assign(key, *value);
        } else {
            entries.erase(key);
        }
    }
}

} // namespace

log_replay::log_replay(record_time idempotencyWindow, record_time reallocationWindow)
    : m_claims(idempotencyWindow)
    , m_reallocationWindow(reallocationWindow)
{
}

replay_result log_replay::apply(const std::vector<stored_record> &records)
{
    replay_result result;
    for (const stored_record &record : records) {
        if (record.offset <= m_view.covered) {
            result.verdicts.push_back({record.offset, record.id, record_rejection::already_replayed});
        } else if (record.offset == m_view.covered + log_offset(1)) {
            applyNext(record, result);
        } else {
            m_waiting.emplace(record.offset, record);
        }
    }
    advance(result);
    return result;
}

replay_result log_replay::load(const snapshot &state)
{
    replay_result result;
    if (state.covered > m_view.covered && state.config.version >= m_view.config.version) {
        replaceState(state, result);
        advance(result);
    }
    return result;
}

log_offset log_replay::covered() const
{
    return m_view.covered;
}

bool log_replay::hasGap() const
{
    return !m_waiting.empty();
}

std::size_t log_replay::waitingRecords() const
{
    return m_waiting.size();
}

std::uint64_t log_replay::skippedRecords() const
{
    return m_skipped;
}

snapshot log_replay::state() const
{
    return {m_view.covered,
            m_claims.latest(),
            m_view.config,
            m_view.keys,
            m_view.drains,
            m_view.rosters,
            m_claims.claims(),
            m_view.reallocations};
}

state_view_ptr log_replay::view() const
{
    return std::make_shared<const state_view>(m_view);
}

configuration_version log_replay::version() const
{
    return m_view.config.version;
}

const std::map<claim_id, claim_state> &log_replay::claims() const
{
    return m_claims.claims();
}

// Applies the waiting records that have become contiguous. Looks for a snapshot only when there is a gap: without a gap, replaying the
// records leads to the same state.
void log_replay::advance(replay_result &result)
{
    while (!m_waiting.empty()) {
        const auto next = m_waiting.begin();
        if (next->first <= m_view.covered) {
            m_waiting.erase(next);
        } else if (next->first == m_view.covered + log_offset(1)) {
            stored_record record = std::move(next->second);
            m_waiting.erase(next);
            applyNext(std::move(record), result);
        } else if (const snapshot *usable = findUsableSnapshot()) {
            replaceState(snapshot(*usable), result);
        } else {
            return;
        }
    }
}

void log_replay::applyNext(stored_record record, replay_result &result)
{
    m_view.covered = record.offset;
    const rejection reason = std::visit([&](const auto &content) { return decide(content, result); }, record.record);
    dropExpiredReallocations();
    result.verdicts.push_back({record.offset, record.id, reason});
    result.applied.push_back(std::move(record));
}

// A snapshot closes a gap only when all records between the offset that it covers and its own offset are present.
const snapshot *log_replay::findUsableSnapshot() const
{
    const snapshot *best = nullptr;
    log_offset runStart;
    log_offset previous {-1};
    for (const auto &[offset, record] : m_waiting) {
        if (offset != previous + log_offset(1) || previous < log_offset(0)) {
            runStart = offset;
        }
        previous = offset;
        const auto *state = std::get_if<snapshot>(&record.record);
        if (state == nullptr || state->covered <= m_view.covered || state->covered >= offset) {
            continue;
        }
        const bool isUsable = state->covered + log_offset(1) >= runStart && state->config.version >= m_view.config.version;
        if (isUsable && (best == nullptr || state->covered > best->covered)) {
            best = state;
        }
    }
    return best;
}

void log_replay::replaceState(const snapshot &state, replay_result &result)
{
    m_view = {state.covered, state.config, state.keys, state.drains, state.rosters, state.reallocations};
    m_claims.load(state.claims, state.latest, result);
    dropExpiredReallocations();
    result.hasViewChanged = true;
}

void log_replay::dropExpiredReallocations()
{
    std::erase_if(m_view.reallocations, [this](const auto &entry) { return entry.second.at <= m_claims.latest() - m_reallocationWindow; });
}

log_replay::rejection log_replay::decide(const configuration_change &change, replay_result &result)
{
    m_claims.advanceTo(change.at, result);
    if (change.base != m_view.config.version) {
        return record_rejection::base_superseded;
    }
    configuration &config = m_view.config;
    const configuration earlier = config;
    mergeEntries(config.dataCentres, change.dataCentres);
    mergeEntries(config.workspaces, change.workspaces);
    mergeEntries(config.services, change.services);
    mergeEntries(config.endpoints, change.endpoints);
    mergeEntries(config.urgencyClasses, change.urgencyClasses);
    config.version += configuration_version(1);
    addPendingReallocations(m_view.reallocations, earlier, config, m_claims.latest());
    result.hasViewChanged = true;
    return std::nullopt;
}

log_replay::rejection log_replay::decide(const key_grant &grant, replay_result &result)
{
    const auto [entry, isNew] = m_view.keys.try_emplace(grant.key, key_state {grant.workspace, grant.salt, grant.digest, false});
    if (!isNew) {
        return entry->second.isWithdrawn ? record_rejection::key_withdrawn : record_rejection::key_already_granted;
    }
    result.hasViewChanged = true;
    return std::nullopt;
}

// A key that was not granted gets a tombstone, too: its grant may still arrive as a late copy.
log_replay::rejection log_replay::decide(const key_withdrawal &withdrawal, replay_result &result)
{
    key_state &key = m_view.keys[withdrawal.key];
    if (key.isWithdrawn) {
        return record_rejection::no_effect;
    }
    key.isWithdrawn = true;
    result.hasViewChanged = true;
    return std::nullopt;
}

log_replay::rejection log_replay::decide(const drain_change &change, replay_result &result)
{
    const auto found = m_view.drains.find(change.target);
    const std::int64_t current = found == m_view.drains.end() ? 0 : found->second.sequence;
    if (change.sequence != current) {
        return record_rejection::sequence_superseded;
    }
    m_view.drains.insert_or_assign(change.target, drain_state {current + 1, change.isDrained});
    result.hasViewChanged = true;
    return std::nullopt;
}

log_replay::rejection log_replay::decide(const roster_change &change, replay_result &result)
{
    const auto found = m_view.rosters.find(change.dataCentre);
    const roster_epoch current = found == m_view.rosters.end() ? roster_epoch() : found->second.epoch;
    if (change.epoch != current + roster_epoch(1)) {
        return record_rejection::epoch_superseded;
    }
    roster_state next;
    next.epoch = change.epoch;
    next.members = change.members;
    next.leaver = change.leaver;
    next.fencingOffset = m_view.covered;
    m_view.rosters.insert_or_assign(change.dataCentre, std::move(next));
    result.hasViewChanged = true;
    return std::nullopt;
}

// The first takeover of an epoch counts, whoever proposed it: accepting a later one would restart the wait of all members.
log_replay::rejection log_replay::decide(const roster_takeover &takeover, replay_result &result)
{
    const auto found = m_view.rosters.find(takeover.dataCentre);
    if (found == m_view.rosters.end() || found->second.epoch != takeover.epoch) {
        return record_rejection::epoch_superseded;
    }
    if (found->second.takeover) {
        return record_rejection::takeover_pending;
    }
    found->second.takeover = takeover;
    found->second.takeoverOffset = m_view.covered;
    result.hasViewChanged = true;
    return std::nullopt;
}

log_replay::rejection log_replay::decide(const roster_reset &reset, replay_result &result)
{
    const auto found = m_view.rosters.find(reset.dataCentre);
    if (found == m_view.rosters.end() || found->second.epoch != reset.epoch) {
        return record_rejection::epoch_superseded;
    }
    if (found->second.isReset) {
        return record_rejection::no_effect;
    }
    found->second.isReset = true;
    result.hasViewChanged = true;
    return std::nullopt;
}

log_replay::rejection log_replay::decide(const claim_batch &batch, replay_result &result)
{
    return m_claims.apply(batch, result);
}

log_replay::rejection log_replay::decide(const outcome_batch &batch, replay_result &result)
{
    return m_claims.apply(batch, result);
}

log_replay::rejection log_replay::decide(const snapshot & /*state*/, replay_result & /*result*/)
{
    return record_rejection::snapshot_not_needed;
}

log_replay::rejection log_replay::decide(const unknown_record & /*record*/, replay_result & /*result*/)
{
    ++m_skipped;
    return record_rejection::unknown_record;
}

} // namespace burdockshelf
