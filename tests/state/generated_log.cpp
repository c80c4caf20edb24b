#include "state/generated_log.h"

using namespace burdockshelf;

namespace
{

// Few ids make conflicts frequent.
constexpr std::uint64_t idCount = 3;

} // namespace

generated_log::generated_log(std::uint64_t seed, std::size_t size)
    : m_random(seed)
    , m_replay(window, window)
{
    m_states.push_back(m_replay.state());
    for (std::size_t i = 0; i < size; ++i) {
        const log_offset offset(static_cast<std::int64_t>(i));
        m_records.push_back({offset, record_id("r" + std::to_string(i)), makeRecord()});
        const replay_result result = m_replay.apply({m_records.back()});
        m_verdicts.insert(m_verdicts.end(), result.verdicts.begin(), result.verdicts.end());
        m_states.push_back(m_replay.state());
    }
}

const std::vector<stored_record> &generated_log::records() const
{
    return m_records;
}

std::vector<stored_record> generated_log::from(std::size_t first) const
{
    return {m_records.begin() + static_cast<std::ptrdiff_t>(first), m_records.end()};
}

const snapshot &generated_log::stateAfter(std::size_t count) const
{
    return m_states.at(count);
}

const std::vector<record_verdict> &generated_log::verdicts() const
{
    return m_verdicts;
}

bool generated_log::canReconstructFrom(std::size_t first) const
{
    const log_offset needed(static_cast<std::int64_t>(first) - 1);
    for (const stored_record &record : from(first)) {
        const auto *state = std::get_if<snapshot>(&record.record);
        if (state != nullptr && state->covered >= needed) {
            return true;
        }
    }
    return first == 0;
}

log_record generated_log::makeRecord()
{
    const snapshot &state = m_states.back();
    const std::string name = std::to_string(m_random.below(idCount));
    const auto staleBy = static_cast<std::int64_t>(m_random.below(2));
    const data_centre_id dataCentre("d" + name);
    const auto roster = state.rosters.find(dataCentre);
    const roster_epoch epoch = (roster == state.rosters.end() ? roster_epoch() : roster->second.epoch) - roster_epoch(staleBy);
    const roster_member member = {instance_id("i" + name), incarnation_id(m_random.hexId())};
    switch (m_random.below(10)) {
    case 0: {
        configuration_change change;
        change.base = state.config.version - configuration_version(staleBy);
        change.workspaces[workspace_id(name)] = workspace_settings {token_rate(static_cast<std::int64_t>(m_random.below(100))), {}, {}};
        change.workspaces[workspace_id("gone" + name)] = std::nullopt;
        change.dataCentres[dataCentre] = data_centre_settings {};
        change.at = m_time;
        return change;
    }
    case 1:
        return key_grant {key_id(name), workspace_id("w"), "salt", m_random.hexId()};
    case 2:
        return key_withdrawal {key_id(name)};
    case 3: {
        const auto drain = state.drains.find(dataCentre);
        return drain_change {dataCentre, (drain == state.drains.end() ? 0 : drain->second.sequence) - staleBy, m_random.below(2) == 0};
    }
    case 4:
        return roster_change {dataCentre, epoch + roster_epoch(1), {member}};
    case 5:
        return roster_takeover {dataCentre, epoch, member};
    case 6:
        return roster_reset {dataCentre, epoch};
    case 7:
        return m_states.at(m_random.below(m_states.size()));
    default:
        return makeClaimRecord();
    }
}

log_record generated_log::makeClaimRecord()
{
    m_time += record_time(static_cast<std::int64_t>(m_random.below(20)));
    const record_time at = m_time - record_time(static_cast<std::int64_t>(m_random.below(40)));
    const claim_id id = {workspace_id("w"), idempotency_key(std::to_string(m_random.below(idCount)))};
    const request_id request("q" + std::to_string(m_random.below(4)));
    switch (m_random.below(3)) {
    case 0:
        return outcome_batch {at, {{id, request, m_random.below(2) == 0, 200, "text/plain", "done"}}};
    case 1:
        return unknown_record {"later", "{}"};
    default:
        return claim_batch {at, {{id, request, incarnation_id("c"), "fingerprint"}}};
    }
}
