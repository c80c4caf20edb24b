// Pacing of endpoints that have started or recovered.

#include "core/digest.h"
#include "forwarding/endpoint_table.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

// Terms of the score. An endpoint beyond its limit is chosen only when all others are unreachable or blocked. A due probe outweighs the
// load of the other endpoints and the way to another data centre, but no failure.
constexpr double beyondLimitPenalty = 8.0;
constexpr double probePreference = 3.0;
// A reservation and a decode are attempts of one request.
constexpr double decodeStageCost = 0.5;
// A data centre that was unreachable for a shorter time has kept its endpoints warm.
constexpr milliseconds minOutage {1000};
constexpr milliseconds maxReportAge {1000};
// An endpoint with this part of the usual load has kept working for other instances while this one could not reach it.
constexpr double busyPart = 0.5;
constexpr double usualSpeedFactor = 1.5;
constexpr double hashRange = 18446744073709551616.0;

pace_evidence evidenceOf(health_verdict verdict)
{
    switch (verdict) {
    case health_verdict::good:
        return pace_evidence::good;
    case health_verdict::refused:
        return pace_evidence::refused;
    case health_verdict::failed:
    case health_verdict::unreachable:
    case health_verdict::abandoned:
        break;
    }
    return pace_evidence::failed;
}

// The time is that of one unit of work, if it was measured.
pace_observation
observe(const endpoint_state &endpoint, const usual_figures &usual, health_verdict verdict, const std::optional<double> &time, instant now)
{
    pace_observation observed;
    observed.evidence = evidenceOf(verdict);
    if (now - endpoint.loadReportedAt <= maxReportAge) {
        observed.reportedRequests = static_cast<double>(endpoint.lastLoad.running + endpoint.lastLoad.waiting);
        observed.hasQueue = endpoint.lastLoad.waiting > 0;
        observed.slowness = usual.relativeWorkTime(endpoint.lastLoad);
    }
    // A measured time is preferred to the reported figure, which may be false. A refusal comes faster than any work is done.
    if (time && verdict == health_verdict::good) {
        observed.slowness = usual.relativeTime(usual_figures::seconds(*time));
    }
    return observed;
}

void learnUsual(usual_figures &usual,
                const endpoint_state &endpoint,
                const std::optional<double> &time,
                bool hadResponse,
                usual_figures::seconds elapsed)
{
    if (time) {
        usual.noteTime(usual_figures::seconds(*time));
    }
    // At decode endpoints, only decodes have a response before their end. Reservations take no time.
    if (endpoint.entry.stage != engine_stage::decode || hadResponse) {
        usual.noteDuration(elapsed);
    }
}

} // namespace

usual_figures &endpoint_table::usualOf(const endpoint_entry &entry)
{
    return m_usual[{entry.service, entry.stage}];
}

pace_surroundings endpoint_table::paceSurroundings(const endpoint_state &endpoint)
{
    const usual_figures &usual = usualOf(endpoint.entry);
    const auto instances = static_cast<std::int64_t>(m_instances.size());
    return {std::max<std::int64_t>(instances, 1), usual.requestsAtOnce(endpoint.entry.slots), usual.duration()};
}

void endpoint_table::beginPace(endpoint_state &endpoint, pace_cause cause, instant now)
{
    if (endpoint.entry.stage) {
        // Engines grant reservations by their free memory, which protects them from a flood. An instance that has one request among many
        // engines gets too few responses to raise a limit of its own in time.
        return;
    }
    const usual_figures &usual = usualOf(endpoint.entry);
    if (endpoint.pace.isPaced() || !usual.hasTraffic() || !(m_settings.pacesAllServices || usual.reportsWorkTime())) {
        return;
    }
    const pace_surroundings surroundings = paceSurroundings(endpoint);
    const auto reported = static_cast<double>(endpoint.lastLoad.running);
    const bool isBusy = now - endpoint.loadReportedAt <= maxReportAge && reported >= surroundings.usualRequests * busyPart
        && usual.relativeWorkTime(endpoint.lastLoad) < usualSpeedFactor;
    if (cause == pace_cause::recovered && isBusy) {
        return;
    }
    const std::uint64_t hash = stableHash(m_settings.self.value(), stableHash(endpoint.entry.id.value()));
    endpoint.pace.begin(cause, surroundings, static_cast<double>(hash) / hashRange, now);
    logPace(endpoint, pace_step::begun, std::nullopt, now);
}

void endpoint_table::noteRecovered(const data_centre_id &dataCentre)
{
    for (const auto &[id, endpoint] : m_endpoints) {
        endpoint->hasRecovered = endpoint->hasRecovered || endpoint->entry.dataCentre == dataCentre;
    }
}

std::optional<double> endpoint_table::paceTerm(endpoint_state &candidate, instant now)
{
    if (std::exchange(candidate.hasRecovered, false)) {
        beginPace(candidate, pace_cause::recovered, now);
    }
    if (!candidate.pace.isPaced()) {
        return 0.0;
    }
    if (candidate.pace.endIfReached(now)) {
        logPace(candidate, pace_step::ended, std::nullopt, now);
        return 0.0;
    }
    const pace_surroundings surroundings = paceSurroundings(candidate);
    if (!candidate.pace.hasAllowance(surroundings, candidate.outstanding, now)) {
        return candidate.pace.isUsableBeyondLimit(candidate.outstanding) ? std::optional(beyondLimitPenalty) : std::nullopt;
    }
    return candidate.pace.isProbeDue(surroundings, candidate.outstanding, now) ? -probePreference : 0.0;
}

void endpoint_table::noteReachability(const data_centre_id &dataCentre, bool isReachable, instant now)
{
    reachability_state &reachability = m_reachability[dataCentre];
    if (!isReachable) {
        reachability.firstFailure = reachability.consecutiveFailures == 0 ? now : reachability.firstFailure;
        reachability.lastFailure = now;
        ++reachability.consecutiveFailures;
        return;
    }
    const bool wasOutage = reachability.consecutiveFailures >= failuresToPartition && now - reachability.firstFailure >= minOutage;
    reachability.consecutiveFailures = 0;
    if (wasOutage) {
        noteRecovered(dataCentre);
    }
}

void endpoint_table::notePaceSent(endpoint_state &endpoint)
{
    usualOf(endpoint.entry).noteTraffic();
    endpoint.pace.noteSent(endpoint.entry.stage == engine_stage::decode ? decodeStageCost : 1.0);
}

void endpoint_table::notePaceLoad(endpoint_state &endpoint, const endpoint_load &load)
{
    endpoint.lastLoad = load;
    if (!endpoint.pace.isPaced()) {
        usualOf(endpoint.entry).noteLoad(load);
    }
}

std::optional<double>
endpoint_table::paceTime(const endpoint_state &endpoint, token_count tokens, instant sentAt, bool hadResponse, instant now)
{
    const usual_figures::seconds elapsed = now - sentAt;
    if (!endpoint.entry.stage) {
        // The length of a stream says nothing about the speed of the endpoint.
        return hadResponse ? std::nullopt : std::optional(elapsed.count());
    }
    const bool isMeasurable = endpoint.entry.stage == engine_stage::prefill && tokens >= minTokensToMeasure;
    return isMeasurable ? std::optional(elapsed.count() / static_cast<double>(tokens.value())) : std::nullopt;
}

void endpoint_table::notePaceEnded(
    endpoint_state &endpoint, token_count tokens, instant sentAt, bool hadResponse, health_verdict verdict, instant now)
{
    if (verdict == health_verdict::abandoned) {
        return;
    }
    const bool isGood = verdict == health_verdict::good;
    const std::optional<double> time = paceTime(endpoint, tokens, sentAt, hadResponse, now);
    const bool hasRecovered = std::exchange(endpoint.hasRecovered, false) || endpoint.blockedUntil != deadline();
    usual_figures &usual = usualOf(endpoint.entry);
    if (isGood && hasRecovered && !endpoint.pace.isPaced()) {
        beginPace(endpoint, pace_cause::recovered, now);
    } else if (endpoint.pace.isPaced()) {
        notePace(endpoint, observe(endpoint, usual, verdict, time, now), now);
    } else if (isGood) {
        learnUsual(usual, endpoint, time, hadResponse, now - sentAt);
    }
}

void endpoint_table::notePace(endpoint_state &endpoint, const pace_observation &observed, instant now)
{
    const double before = endpoint.pace.limitAt(now);
    endpoint.pace.note(observed, now);
    if (endpoint.pace.endIfReached(now)) {
        logPace(endpoint, pace_step::ended, observed, now);
        return;
    }
    const double after = endpoint.pace.limitAt(now);
    if (after < before) {
        logPace(endpoint, pace_step::reduced, observed, now);
    } else if (after > before && endpoint.pace.isGrowthLogDue(now)) {
        logPace(endpoint, pace_step::grown, observed, now);
    }
}

void endpoint_table::logPace(const endpoint_state &endpoint, pace_step step, std::optional<pace_observation> observed, instant now)
{
    m_paceLog.add({endpoint.entry.id, step, endpoint.pace.cause(), endpoint.pace.limitAt(now), observed});
}

endpoint_pace_log::content endpoint_table::takePaceChanges()
{
    return m_paceLog.take();
}

std::size_t endpoint_table::pacedEndpoints() const
{
    return static_cast<std::size_t>(
        std::count_if(m_endpoints.begin(), m_endpoints.end(), [](const auto &known) { return known.second->pace.isPaced(); }));
}

} // namespace burdockshelf
