#include "forwarding/rollout_gate.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

rollout_gate::rollout_gate(std::optional<rollout_settings> settings)
    : m_settings(settings)
{
}

bool rollout_gate::isEnabled() const
{
    return m_settings.has_value();
}

void rollout_gate::noteRegistered(const endpoint_entry &entry, instant now)
{
    if (m_settings) {
        m_services.try_emplace(entry.service, *m_settings).first->second.noteRegistered(entry.version, now);
    }
}

void rollout_gate::noteRemoved(const endpoint_entry &entry)
{
    if (service_rollout *rollout = state(entry.service)) {
        rollout->noteRemoved(entry.version);
    }
}

void rollout_gate::noteContact(instant at)
{
    if (m_settings) {
        m_contactUntil = std::max(m_contactUntil, deadline::after(at, m_settings->silence));
    }
}

bool rollout_gate::setOrder(const rollout_order &order, rollout_number number, deadline completeBy, instant now)
{
    if (!m_settings) {
        return false;
    }
    service_rollout &rollout = m_services.try_emplace(order.service, *m_settings).first->second;
    const bool isNew = rollout.setOrder(order, number, completeBy, now);
    if (const auto early = m_early.extract(order.service)) {
        rollout.applyDecision(early.mapped(), now);
    }
    return isNew;
}

bool rollout_gate::clearOrder(const service_id &service)
{
    service_rollout *rollout = state(service);
    if (rollout == nullptr || !rollout->order()) {
        return false;
    }
    rollout->clearOrder();
    return true;
}

std::vector<service_id> rollout_gate::orderedServices() const
{
    std::vector<service_id> ordered;
    for (const auto &[service, rollout] : m_services) {
        if (rollout.order()) {
            ordered.push_back(service);
        }
    }
    return ordered;
}

bool rollout_gate::applyDecision(const rollout_decision &decided, instant now)
{
    service_rollout *rollout = state(decided.service);
    if (rollout == nullptr || !rollout->order()) {
        m_early[decided.service] = decided;
        return false;
    }
    return rollout->applyDecision(decided, now);
}

void rollout_gate::setReports(const instance_id &reporter, std::vector<rollout_report> reports, instant now)
{
    if (reports.empty()) {
        m_reports.erase(reporter);
    } else if (m_settings) {
        m_reports[reporter] = {std::move(reports), now};
    }
}

bool rollout_gate::isInContact(instant now) const
{
    return !m_contactUntil.hasPassed(now);
}

bool rollout_gate::mayReceive(const endpoint_entry &entry, instant now) const
{
    if (!m_settings) {
        return true;
    }
    const service_rollout *rollout = find(entry.service);
    return rollout == nullptr || rollout->mayReceive(entry.version, isInContact(now), now);
}

bool rollout_gate::isOnSide(const endpoint_entry &entry, rollout_side side) const
{
    if (!m_settings) {
        return true;
    }
    const service_rollout *rollout = find(entry.service);
    return rollout == nullptr || rollout->sideOf(entry.version).value_or(side) == side;
}

rollout_side rollout_gate::chooseSide(const service_id &service, std::int64_t attempts, instant now)
{
    service_rollout *rollout = state(service);
    return rollout != nullptr && rollout->takeExposure(attempts, isInContact(now)) ? rollout_side::candidate : rollout_side::trusted;
}

bool rollout_gate::takeExposure(const endpoint_entry &entry, instant now)
{
    service_rollout *rollout = state(entry.service);
    const bool isBounded = rollout != nullptr && rollout->sideOf(entry.version) == rollout_side::candidate;
    return !isBounded || rollout->takeExposure(1, isInContact(now));
}

void rollout_gate::noteReached(const service_id &service)
{
    if (service_rollout *rollout = state(service)) {
        rollout->noteReached();
    }
}

void rollout_gate::noteResult(const service_id &service,
                              const service_version &version,
                              const evidence_key &key,
                              bool isFailure,
                              std::optional<boot_clock::duration> latency)
{
    if (service_rollout *rollout = state(service)) {
        rollout->noteResult(key, version, isFailure, latency);
    }
}

bool rollout_gate::isFollowing() const
{
    return std::any_of(m_services.begin(), m_services.end(), [](const auto &one) { return one.second.isInForce(); });
}

rollout_evidence rollout_gate::totalEvidence(const service_rollout &rollout) const
{
    const rollout_report own = rollout.report();
    rollout_evidence total = own.evidence;
    for (const auto &[instance, known] : m_reports) {
        for (const rollout_report &report : known.reports) {
            if (report.service == own.service && report.order == own.order) {
                addEvidence(total, report.evidence);
            }
        }
    }
    return total;
}

std::vector<service_id> rollout_gate::review(instant now)
{
    std::vector<service_id> newlyBad;
    for (auto &[service, rollout] : m_services) {
        if (!rollout.isInForce() || rollout.finding().verdict == rollout_verdict::bad) {
            continue;
        }
        if (rollout.review(totalEvidence(rollout), now).verdict == rollout_verdict::bad) {
            newlyBad.push_back(service);
        }
    }
    return newlyBad;
}

std::vector<rollout_report> rollout_gate::reports() const
{
    std::vector<rollout_report> own;
    for (const auto &[service, rollout] : m_services) {
        if (rollout.isInForce()) {
            own.push_back(rollout.report());
            const auto inProgress = m_inProgress.find(service);
            own.back().inProgressAtOld = inProgress == m_inProgress.end() ? 0 : inProgress->second;
        }
    }
    return own;
}

const service_rollout *rollout_gate::find(const service_id &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second;
}

service_rollout *rollout_gate::state(const service_id &service)
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second;
}

void rollout_gate::setInProgress(const service_id &service, std::int64_t count)
{
    m_inProgress[service] = count;
}

bool rollout_gate::isDrained(const service_id &service,
                             const std::vector<instance_id> &instances,
                             std::int64_t ownInProgress,
                             instant now) const
{
    const service_rollout *rollout = find(service);
    if (rollout == nullptr || ownInProgress > 0) {
        return false;
    }
    const rollout_report own = rollout->report();
    return std::all_of(instances.begin(), instances.end(), [&](const instance_id &instance) {
        const auto known = m_reports.find(instance);
        // An instance that has not reported for this long has ended or is out of contact; before that, the decision may still be on its
        // way.
        if (known == m_reports.end() || now - known->second.receivedAt > m_settings->silence) {
            return now - rollout->appliedAt() > m_settings->silence;
        }
        return std::any_of(known->second.reports.begin(), known->second.reports.end(), [&](const rollout_report &report) {
            return report.service == service && report.order == own.order && report.state == rollout_state::promoting
                && report.inProgressAtOld == 0;
        });
    });
}

std::vector<rollout_decision> rollout_gate::nextDecisions(const std::vector<instance_id> &instances, instant now) const
{
    std::vector<rollout_decision> next;
    for (const auto &[service, rollout] : m_services) {
        const auto inProgress = m_inProgress.find(service);
        const bool isOldDrained = isDrained(service, instances, inProgress == m_inProgress.end() ? 0 : inProgress->second, now);
        if (auto decision = rollout.nextDecision(isOldDrained, now)) {
            next.push_back(std::move(*decision));
        }
    }
    return next;
}

} // namespace burdockshelf
