// Exchanges evidence about rollouts with the other instances, and as the holder of stage control decides about them.

#include "gateway/dispatch_task.h"

#include "gateway/rollout_codec.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

constexpr std::chrono::milliseconds rolloutReportInterval {900};

} // namespace

void dispatch_task::apply(const store_contact &contact)
{
    m_fleet.endpoints().rollouts().noteContact(contact.at);
}

void dispatch_task::apply(const assignment_confirmed &confirmed)
{
    m_rolloutLease.noteResponse(confirmed.holdsStageControl, confirmed.generation, confirmed.sentAt);
    decideRollouts();
}

void dispatch_task::apply(const rollout_status_written &written)
{
    m_log.write(log_line("dispatch", "rollout_status_written")
                    .add("service", written.decided.service)
                    .add("target", written.decided.target)
                    .add("state", rolloutStateName(written.decided.state)));
    if (isTerminal(written.decided.state)) {
        rollout_decision done = written.decided;
        done.isStatusWritten = true;
        writeRolloutDecision(done);
    }
    m_rolloutStatus[written.decided.service] = {written.decided.order, written.decided.state};
}

void dispatch_task::reviewRollouts()
{
    rollout_gate &gate = m_fleet.endpoints().rollouts();
    if (!gate.isEnabled()) {
        return;
    }
    const instant now = boot_clock::now();
    countInProgressAtOld();
    for (const service_id &service : gate.review(now)) {
        logRolloutFinding(service, gate.find(service)->finding());
    }
    publishRolloutReports();
    decideRollouts();
    followRollouts();
    setRolloutGauges();
}

void dispatch_task::countInProgressAtOld()
{
    rollout_gate &gate = m_fleet.endpoints().rollouts();
    std::map<service_id, std::int64_t> inProgress;
    for (const service_id &service : gate.orderedServices()) {
        const service_rollout &rollout = *gate.find(service);
        if (rollout.isInForce() && rollout.decision() && rollout.decision()->state == rollout_state::promoting) {
            inProgress[service] = 0;
        }
    }
    if (!inProgress.empty()) {
        m_fleet.endpoints().forEach([&](const endpoint_state &known) {
            const auto counted = inProgress.find(known.entry.service);
            if (counted != inProgress.end() && gate.find(known.entry.service)->isReplaced(known.entry.version)) {
                counted->second += known.outstanding;
            }
        });
    }
    for (const auto &[service, count] : inProgress) {
        gate.setInProgress(service, count);
    }
}

void dispatch_task::publishRolloutReports()
{
    std::vector<rollout_report> reports = m_fleet.endpoints().rollouts().reports();
    const bool isDraining =
        std::any_of(reports.begin(), reports.end(), [](const rollout_report &report) { return report.state == rollout_state::promoting; });
    const instant now = boot_clock::now();
    if (reports.empty() || (reports == m_publishedReports && !isDraining) || !m_rolloutReportDue.hasPassed(now)) {
        return;
    }
    m_rolloutReportDue = deadline::after(now, rolloutReportInterval);
    m_publishedReports = std::move(reports);
    m_outbox.toStore(publish_rollout_record {m_settings.instance.value(), encodeRolloutReports(m_publishedReports)});
}

void dispatch_task::followRollouts()
{
    const bool isFollowing = m_fleet.endpoints().rollouts().isFollowing() || hasUnwrittenStatus();
    if (isFollowing != std::exchange(m_isFollowingRollouts, isFollowing)) {
        m_log.write(log_line("dispatch", isFollowing ? "rollouts_followed" : "rollouts_not_followed"));
        m_outbox.toStore(follow_rollouts {isFollowing});
    }
}

bool dispatch_task::hasUnwrittenStatus() const
{
    const rollout_gate &gate = m_fleet.endpoints().rollouts();
    const std::vector<service_id> ordered = gate.orderedServices();
    return std::any_of(ordered.begin(), ordered.end(), [&](const service_id &service) {
        const auto &decided = gate.find(service)->decision();
        return decided && isTerminal(decided->state) && !decided->isStatusWritten;
    });
}

void dispatch_task::decideRollouts()
{
    const rollout_gate &gate = m_fleet.endpoints().rollouts();
    const instant now = boot_clock::now();
    if (!gate.isEnabled() || !m_rolloutLease.mayIssueOrders(now)) {
        return;
    }
    for (const service_id &service : gate.orderedServices()) {
        writeRolloutStatus(*gate.find(service));
    }
    for (rollout_decision &next : gate.nextDecisions(m_fleet.otherInstances(now), now)) {
        logRolloutDecision(next);
        writeRolloutDecision(std::move(next));
    }
}

void dispatch_task::writeRolloutStatus(const service_rollout &rollout)
{
    // The status follows from a decision only once that has been read back, so that the next holder finds the decision.
    const std::optional<rollout_decision> &decided = rollout.decision();
    if (!decided || decided->isStatusWritten) {
        return;
    }
    const auto written = m_rolloutStatus.find(decided->service);
    const rollout_state shown = decided->state == rollout_state::promoting ? rollout_state::collecting : decided->state;
    const bool isWritten = written != m_rolloutStatus.end() && written->second == std::pair(decided->order, shown);
    if (!isWritten) {
        rollout_decision status = *decided;
        status.state = shown;
        m_outbox.toStore(publish_rollout_status {std::move(status)});
    }
}

void dispatch_task::writeRolloutDecision(rollout_decision decided)
{
    decided.generation = m_rolloutLease.generation();
    m_outbox.toStore(
        publish_rollout_record {rolloutDecisionKey(decided.service), encodeRolloutDecision(decided, boot_clock::now(), unixTime())});
}

void dispatch_task::logRolloutDecision(const rollout_decision &next)
{
    const service_rollout &rollout = *m_fleet.endpoints().rollouts().find(next.service);
    std::int64_t inProgress = 0;
    for (const rollout_report &report : m_fleet.endpoints().rollouts().reports()) {
        inProgress += report.service == next.service ? report.inProgressAtOld : 0;
    }
    m_log.write(log_line("dispatch", "rollout_decided")
                    .add("service", next.service)
                    .add("target", next.target)
                    .add("state", rolloutStateName(next.state))
                    .add("order", next.order)
                    .add("generation", m_rolloutLease.generation())
                    .add("candidate_responses", rollout.finding().candidateResponses)
                    .add("measure", rollout.finding().measure)
                    .add("own_in_progress_at_old", inProgress)
                    .add("left_ms", next.completeBy.remaining(boot_clock::now())));
}

void dispatch_task::logRolloutFinding(const service_id &service, const rollout_finding &finding)
{
    m_log.write(log_line("dispatch", "rollout_version_bad")
                    .add("service", service)
                    .add("route", finding.route)
                    .add("measure", finding.measure)
                    .add("responses", finding.candidateResponses)
                    .add("events", finding.candidateEvents)
                    .add("expected", finding.expectedEvents));
    m_outbox.count("rollout_findings_total", "service", service.value());
}

void dispatch_task::setRolloutGauges()
{
    std::int64_t taken = 0;
    std::int64_t reached = 0;
    const rollout_gate &gate = m_fleet.endpoints().rollouts();
    for (const service_id &service : gate.orderedServices()) {
        taken += gate.find(service)->exposure().taken();
        reached += gate.find(service)->exposure().reached();
    }
    m_outbox.setGauge("rollout_attempts_at_candidates", static_cast<double>(taken));
    m_outbox.setGauge("rollout_requests_reached", static_cast<double>(reached));
}

} // namespace burdockshelf
