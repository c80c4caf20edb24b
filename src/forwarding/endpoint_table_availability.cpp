// Whether endpoints may get new requests.

#include "forwarding/endpoint_table.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace burdockshelf
{

bool matchesStage(const endpoint_entry &entry, attempt_kind attemptKind)
{
    static constexpr std::array<std::optional<engine_stage>, 4> needed = {
        std::nullopt,
        engine_stage::decode,
        engine_stage::prefill,
        engine_stage::decode,
    };
    return entry.stage == needed.at(static_cast<std::size_t>(attemptKind));
}

endpoint_availability endpoint_table::availability(const endpoint_id &endpoint, instant now) const
{
    const endpoint_state *known = find(endpoint);
    return known == nullptr ? endpoint_availability {} : availabilityOf(*known, now);
}

endpoint_availability endpoint_table::availabilityOf(const endpoint_state &known, instant now) const
{
    const endpoint_availability restricted = m_restrictions.check({known.entry.id, known.entry.startTime}, now);
    if (restricted.condition == availability_condition::leaving) {
        return restricted;
    }
    if (known.entry.isDraining) {
        return {availability_condition::draining};
    }
    if (!known.isListed) {
        return {availability_condition::misdirected};
    }
    if (m_evacuated.count(known.entry.dataCentre) > 0) {
        return {availability_condition::evacuated};
    }
    if (!m_rollouts.mayReceive(known.entry, now)) {
        return {availability_condition::not_exposed};
    }
    return restricted;
}

bool endpoint_table::mayReceive(const endpoint_id &endpoint, instant now) const
{
    return availability(endpoint, now).mayReceive();
}

service_availability endpoint_table::availabilityOf(const service_id &service, attempt_kind attemptKind, instant now) const
{
    service_availability total;
    const auto found = m_byService.find(service);
    if (found == m_byService.end()) {
        return total;
    }
    for (const endpoint_state *candidate : found->second) {
        if (!matchesStage(candidate->entry, attemptKind)) {
            continue;
        }
        const endpoint_availability one = availabilityOf(*candidate, now);
        switch (one.condition) {
        case availability_condition::available:
            ++total.available;
            break;
        case availability_condition::leaving:
            ++total.leaving;
            break;
        case availability_condition::pausing:
        case availability_condition::probing:
            ++total.pausing;
            total.pauseEnds = std::min(total.pauseEnds, one.until);
            break;
        case availability_condition::unknown:
        case availability_condition::draining:
        case availability_condition::misdirected:
        case availability_condition::evacuated:
        case availability_condition::not_exposed:
            break;
        }
    }
    return total;
}

notice_change endpoint_table::noteNotice(const endpoint_process &from, const endpoint_notice &notice, instant now, random_source &random)
{
    const endpoint_state *known = find(from.id);
    if (known != nullptr && from.startTime < known->entry.startTime) {
        return {};
    }
    return m_restrictions.note(from, notice, now, random);
}

void endpoint_table::noteStatus(const endpoint_id &endpoint, instant sentAt, int status, const attempt_id &request)
{
    endpoint_state *known = state(endpoint);
    if (known != nullptr && m_restrictions.noteAnswered({endpoint, known->entry.startTime}, sentAt, status)) {
        known->hasRecovered = true;
        m_lifted.push_back({endpoint, request});
    }
}

rollout_gate &endpoint_table::rollouts()
{
    return m_rollouts;
}

const rollout_gate &endpoint_table::rollouts() const
{
    return m_rollouts;
}

std::vector<lifted_restriction> endpoint_table::takeLifted()
{
    return std::exchange(m_lifted, {});
}

} // namespace burdockshelf
