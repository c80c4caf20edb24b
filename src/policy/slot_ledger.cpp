#include "policy/slot_ledger.h"

#include <algorithm>

namespace burdockshelf
{

slot_ledger::slot_ledger(slot_ledger_settings settings)
    : m_settings(settings)
{
}

void slot_ledger::own(const endpoint_id &endpoint, slot_count configured, deadline grantsFrom)
{
    const auto [entry, isNew] = m_endpoints.try_emplace(endpoint);
    if (isNew) {
        entry->second.window = slow_start(m_settings.slowStart);
        entry->second.grantsFrom = grantsFrom;
        entry->second.total = configured;
    }
}

void slot_ledger::disown(const endpoint_id &endpoint)
{
    m_endpoints.erase(endpoint);
}

bool slot_ledger::owns(const endpoint_id &endpoint) const
{
    return m_endpoints.contains(endpoint);
}

std::vector<endpoint_id> slot_ledger::owned() const
{
    std::vector<endpoint_id> endpoints;
    for (const auto &[endpoint, slots] : m_endpoints) {
        endpoints.push_back(endpoint);
    }
    return endpoints;
}

slot_load slot_ledger::ask(const endpoint_id &endpoint, const incarnation_id &member, const request_id &request, instant now)
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end()) {
        return {};
    }
    endpoint_slots &slots = found->second;
    slot_load result = loadOf(slots);
    const auto held = slots.grants.find(request);
    if (held != slots.grants.end()) {
        result.isGranted = held->second.member == member;
        return result;
    }
    if (!slots.grantsFrom.hasPassed(now) || result.used >= result.limit) {
        return result;
    }
    slots.grants.emplace(request, grant {member, slots.window.generation(), now, deadline::after(now, m_settings.lease)});
    result.isGranted = true;
    result.used += slot_count(1);
    return result;
}

void slot_ledger::freeSlot(const endpoint_id &endpoint, const request_id &request, attempt_verdict verdict)
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end()) {
        return;
    }
    endpoint_slots &slots = found->second;
    const auto held = slots.grants.find(request);
    if (held == slots.grants.end()) {
        return;
    }
    slots.window.record(verdict, held->second.generation, slots.total);
    release(slots, held);
}

void slot_ledger::applyHoldings(const incarnation_id &member, const std::vector<held_slot> &held, instant now)
{
    const std::set<held_slot> listed(held.begin(), held.end());
    for (const auto &[endpoint, request] : listed) {
        const auto found = m_endpoints.find(endpoint);
        if (found == m_endpoints.end()) {
            continue;
        }
        const grant inherited = {member, found->second.window.generation(), now, deadline::after(now, m_settings.lease)};
        found->second.grants.try_emplace(request, inherited);
    }
    for (auto &[endpoint, slots] : m_endpoints) {
        for (auto entry = slots.grants.begin(); entry != slots.grants.end();) {
            const auto current = entry++;
            if (current->second.member != member) {
                continue;
            }
            if (listed.contains({endpoint, current->first}) || now - current->second.since < m_settings.listingGracePeriod) {
                current->second.leaseUntil = deadline::after(now, m_settings.lease);
            } else {
                release(slots, current);
            }
        }
    }
}

std::vector<held_slot> slot_ledger::releaseOrphanedSlots(const std::set<incarnation_id> &liveMembers, instant now)
{
    std::vector<held_slot> freed;
    for (auto &[endpoint, slots] : m_endpoints) {
        for (auto entry = slots.grants.begin(); entry != slots.grants.end();) {
            const auto current = entry++;
            if (!liveMembers.contains(current->second.member) || current->second.leaseUntil.hasPassed(now)) {
                freed.emplace_back(endpoint, current->first);
                release(slots, current);
            }
        }
    }
    return freed;
}

void slot_ledger::observeLoad(const endpoint_id &endpoint, const incarnation_id &incarnation, slot_count used, slot_count total)
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end()) {
        return;
    }
    endpoint_slots &slots = found->second;
    slots.total = total;
    slots.window.observe(incarnation, total);
    const slot_count known =
        slot_count(static_cast<std::int64_t>(slots.grants.size())) + slots.releasesSinceReport + slots.releasesBeforeReport;
    slots.unaccounted = std::max(used - known, slot_count(0));
    slots.releasesBeforeReport = std::exchange(slots.releasesSinceReport, slot_count(0));
}

void slot_ledger::observeFailure(const endpoint_id &endpoint)
{
    const auto found = m_endpoints.find(endpoint);
    if (found != m_endpoints.end()) {
        slow_start &window = found->second.window;
        window.record(attempt_verdict::failed, window.generation(), found->second.total);
    }
}

slot_load slot_ledger::load(const endpoint_id &endpoint) const
{
    const auto found = m_endpoints.find(endpoint);
    return found == m_endpoints.end() ? slot_load() : loadOf(found->second);
}

bool slot_ledger::isWarming(const endpoint_id &endpoint) const
{
    const auto found = m_endpoints.find(endpoint);
    return found != m_endpoints.end() && found->second.window.window() < found->second.total;
}

slot_load slot_ledger::loadOf(const endpoint_slots &slots)
{
    const slot_count held(static_cast<std::int64_t>(slots.grants.size()));
    return {false, held + slots.unaccounted, std::min(slots.window.window(), slots.total)};
}

void slot_ledger::release(endpoint_slots &slots, std::map<request_id, grant>::iterator entry)
{
    slots.grants.erase(entry);
    slots.releasesSinceReport += slot_count(1);
}

} // namespace burdockshelf
