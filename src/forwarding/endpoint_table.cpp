#include "forwarding/endpoint_table.h"

#include "core/digest.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

// Weight of the newest sample in the moving averages of failure rate and latency.
constexpr double newestSampleWeight = 0.15;
constexpr milliseconds minBlockTime {300};
constexpr milliseconds maxBlockTime {2400};
// Requests may try an unreachable data centre again after this interval.
constexpr milliseconds partitionProbeInterval {700};
// Streams last for seconds, so an endpoint that refused a reservation stays full for some tens of milliseconds.
constexpr milliseconds fullDuration {60};
// A prefill whose result is lost costs more than leaving out one of several prefill endpoints for two seconds.
constexpr milliseconds unreliableHandleDuration {2000};
// Requests may try an unreachable data centre again after this interval.

} // namespace

endpoint_table::endpoint_table(endpoint_table_settings settings)
    : m_settings(std::move(settings))
    , m_rollouts(m_settings.rollouts)
{
}

bool endpoint_table::put(const endpoint_entry &entry, const traffic_service *service, instant now)
{
    auto found = m_endpoints.find(entry.id);
    if (m_restrictions.noteStarted({entry.id, entry.startTime})) {
        m_lifted.push_back({entry.id, {}});
    }
    if (found != m_endpoints.end()) {
        endpoint_entry &known = found->second->entry;
        // A stale record that is read again must not replace the endpoint by its earlier process.
        if (entry.startTime < known.startTime) {
            return false;
        }
        const bool isSameProcess = entry.startTime == known.startTime && entry.address == known.address && entry.service == known.service
            && entry.version == known.version;
        if (isSameProcess) {
            endpoint_state &endpoint = *found->second;
            const bool isChanged = known.isDraining != entry.isDraining || known.stage != entry.stage || !endpoint.isListed;
            known = entry;
            endpoint.isListed = true;
            if (entry.coldRemaining > milliseconds::zero()) {
                endpoint.registeredColdUntil = deadline::after(now, entry.coldRemaining);
                setColdStartLimit(endpoint, service, now);
            }
            return isChanged;
        }
        discard(found);
    }
    auto added = std::make_unique<endpoint_state>();
    added->entry = entry;
    if (entry.coldRemaining > milliseconds::zero()) {
        added->registeredColdUntil = deadline::after(now, entry.coldRemaining);
    }
    added->coldStartBucket = fractional_token_bucket(0.0, 1.0, now);
    setColdStartLimit(*added, service, now);
    beginPace(*added, pace_cause::started, now);
    m_rollouts.noteRegistered(entry, now);
    m_byService[entry.service].push_back(added.get());
    ++m_versionCounts[{entry.service, entry.version}];
    m_endpoints[entry.id] = std::move(added);
    return true;
}

bool endpoint_table::remove(const endpoint_id &endpoint)
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end()) {
        return false;
    }
    discard(found);
    return true;
}

void endpoint_table::setEvacuated(std::set<data_centre_id> dataCentres)
{
    const std::set<data_centre_id> before = std::exchange(m_evacuated, std::move(dataCentres));
    for (const data_centre_id &dataCentre : before) {
        if (m_evacuated.count(dataCentre) == 0) {
            noteRecovered(dataCentre);
        }
    }
}

void endpoint_table::setInstances(std::vector<instance_id> instances, instant now)
{
    if (instances == m_instances) {
        return;
    }
    m_instances = std::move(instances);
    for (const auto &[id, endpoint] : m_endpoints) {
        setColdStartShare(*endpoint, now);
    }
}

void endpoint_table::setColdRates(const plan_index &plan, instant now)
{
    for (const auto &[id, endpoint] : m_endpoints) {
        setColdStartLimit(*endpoint, plan.findService(endpoint->entry.service), now);
    }
}

const endpoint_state *endpoint_table::choose(const service_id &service,
                                             attempt_kind attemptKind,
                                             token_count tokens,
                                             const std::vector<endpoint_id> &excluded,
                                             const traffic_service *profile,
                                             instant now,
                                             random_source &random,
                                             rollout_side side,
                                             const version_filter &versions)
{
    const auto found = m_byService.find(service);
    if (found == m_byService.end()) {
        return nullptr;
    }
    const placement_rule rule = ruleFor(service, attemptKind, now);
    best_scores bestScores;
    endpoint_state *best = nullptr;
    double bestScore = 0.0;
    for (endpoint_state *candidate : found->second) {
        const bool isExcluded = std::find(excluded.begin(), excluded.end(), candidate->entry.id) != excluded.end();
        if (isExcluded || !matchesStage(candidate->entry, attemptKind) || !availabilityOf(*candidate, now).mayReceive()) {
            continue;
        }
        if (!m_rollouts.isOnSide(candidate->entry, side) || !versions.accepts(candidate->entry.version)) {
            continue;
        }
        if (!candidate->coldUntil.hasPassed(now) && candidate->coldStartBucket.level(now) < 1.0) {
            continue;
        }
        const std::optional<double> pacing = paceTerm(*candidate, now);
        if (!pacing) {
            continue;
        }
        const bool isAtHome = candidate->entry.dataCentre == m_settings.dataCentre;
        const double work = score(*candidate, rule, attemptKind, tokens, profile, now);
        std::optional<double> &bestThere = isAtHome ? bestScores.atHome : bestScores.elsewhere;
        bestThere = std::min(bestThere.value_or(work), work);
        const double candidateScore =
            work + *pacing + (isAtHome ? 0.0 : rule.remotePenalty) + rule.strategy.randomTerm(found->second.size(), random);
        if (best == nullptr || candidateScore < bestScore) {
            best = candidate;
            bestScore = candidateScore;
        }
    }
    if (rule.usual != nullptr && bestScores.atHome && bestScores.elsewhere) {
        m_spillOvers[{service, attemptKind}].note(*bestScores.atHome, *bestScores.elsewhere, now);
    }
    return best;
}

const endpoint_state *endpoint_table::find(const endpoint_id &endpoint) const
{
    const auto found = m_endpoints.find(endpoint);
    return found == m_endpoints.end() ? nullptr : found->second.get();
}

const endpoint_state *endpoint_table::findAt(const socket_address &address, const endpoint_id &except) const
{
    const auto found = std::find_if(m_endpoints.begin(), m_endpoints.end(), [&](const auto &known) {
        return known.second->entry.address == address && known.first != except;
    });
    return found == m_endpoints.end() ? nullptr : found->second.get();
}

service_versions endpoint_table::versions() const
{
    service_versions found;
    for (const auto &[key, count] : m_versionCounts) {
        found[key.first].insert(key.second);
    }
    return found;
}

void endpoint_table::discard(std::map<endpoint_id, std::unique_ptr<endpoint_state>>::iterator found)
{
    const endpoint_entry &entry = found->second->entry;
    m_rollouts.noteRemoved(entry);
    std::erase(m_byService[entry.service], found->second.get());
    const auto counted = m_versionCounts.find({entry.service, entry.version});
    if (--counted->second == 0) {
        m_versionCounts.erase(counted);
    }
    m_endpoints.erase(found);
}

std::size_t endpoint_table::size() const
{
    return m_endpoints.size();
}

void endpoint_table::forEach(const std::function<void(const endpoint_state &)> &visit) const
{
    for (const auto &[id, known] : m_endpoints) {
        visit(*known);
    }
}

const std::set<data_centre_id> &endpoint_table::evacuated() const
{
    return m_evacuated;
}

bool endpoint_table::takeColdStartToken(const endpoint_id &endpoint, instant now)
{
    endpoint_state *known = state(endpoint);
    return known == nullptr || known->coldUntil.hasPassed(now) || known->coldStartBucket.take(1.0, now);
}

void endpoint_table::noteSent(const endpoint_id &endpoint, token_count tokens, instant now)
{
    if (endpoint_state *known = state(endpoint)) {
        ++known->outstanding;
        known->outstandingTokens += tokens;
        known->unanswered.insert(now);
        notePaceSent(*known);
        m_restrictions.noteSent({endpoint, known->entry.startTime}, now);
    }
}

void endpoint_table::noteResponse(const endpoint_id &endpoint, instant sentAt, instant now)
{
    if (endpoint_state *known = state(endpoint)) {
        removeUnanswered(*known, sentAt);
        known->lastResponseAt = now;
        if (!known->entry.stage) {
            noteSpeed(*known, &service_speed::plainCall, std::chrono::duration<double>(now - sentAt).count(), now);
        }
    }
}

void endpoint_table::removeUnanswered(endpoint_state &endpoint, instant sentAt)
{
    const auto found = endpoint.unanswered.find(sentAt);
    if (found != endpoint.unanswered.end()) {
        endpoint.unanswered.erase(found);
    }
}

void endpoint_table::noteEnded(
    const endpoint_id &endpoint, token_count tokens, instant sentAt, bool hadResponse, health_verdict verdict, instant now)
{
    endpoint_state *known = state(endpoint);
    if (known == nullptr) {
        return;
    }
    // The endpoint may have been replaced by another with the same id meanwhile; the counters then restart at zero and must not go
    // negative.
    known->outstanding = std::max<std::int64_t>(known->outstanding - 1, 0);
    known->outstandingTokens = std::max(known->outstandingTokens - tokens, token_count());
    m_restrictions.noteEnded({endpoint, known->entry.startTime}, sentAt, now);
    if (!hadResponse) {
        removeUnanswered(*known, sentAt);
    }
    if (verdict == health_verdict::good || verdict == health_verdict::refused) {
        known->lastResponseAt = now;
    }
    const bool isUnreachable = verdict == health_verdict::unreachable || (verdict == health_verdict::failed && !hadResponse);
    if (isUnreachable || hadResponse || verdict == health_verdict::good || verdict == health_verdict::refused) {
        noteReachability(known->entry.dataCentre, !isUnreachable, now);
    }
    notePaceEnded(*known, tokens, sentAt, hadResponse, verdict, now);
    switch (verdict) {
    case health_verdict::good: {
        const std::chrono::duration<double> elapsed = now - sentAt;
        known->consecutiveFailures = 0;
        known->blockedUntil = deadline();
        known->failureRate *= 1.0 - newestSampleWeight;
        known->meanLatencySeconds += (elapsed.count() - known->meanLatencySeconds) * newestSampleWeight;
        if (known->entry.stage == engine_stage::prefill) {
            notePrefillTime(*known, tokens, now - sentAt, now);
        } else if (!known->entry.stage && !hadResponse) {
            noteSpeed(*known, &service_speed::plainCall, elapsed.count(), now);
        }
        break;
    }
    case health_verdict::failed:
    case health_verdict::unreachable:
        ++known->consecutiveFailures;
        known->failureRate += (1.0 - known->failureRate) * newestSampleWeight;
        if (known->consecutiveFailures >= failuresToBlock || verdict == health_verdict::unreachable) {
            const auto doublings = std::min<std::int64_t>(known->consecutiveFailures - 1, 3);
            known->blockedUntil = deadline::after(now, std::min(minBlockTime * (1 << doublings), maxBlockTime));
        }
        break;
    case health_verdict::refused:
        known->failureRate += (1.0 - known->failureRate) * newestSampleWeight / 2;
        break;
    case health_verdict::abandoned:
        break;
    }
}

void endpoint_table::noteFull(const endpoint_id &endpoint, instant now)
{
    if (endpoint_state *known = state(endpoint)) {
        known->fullUntil = deadline::after(now, fullDuration);
    }
}

void endpoint_table::noteHandleExpired(const endpoint_id &endpoint, instant now)
{
    if (endpoint_state *known = state(endpoint)) {
        known->handlesUnreliableUntil = deadline::after(now, unreliableHandleDuration);
    }
}

bool endpoint_table::hasReliableHandles(const endpoint_state &prefillEndpoint, instant now) const
{
    return prefillEndpoint.handlesUnreliableUntil.hasPassed(now);
}

void endpoint_table::noteMisdirected(const endpoint_id &endpoint)
{
    if (endpoint_state *known = state(endpoint)) {
        known->isListed = false;
    }
}

endpoint_state *endpoint_table::state(const endpoint_id &endpoint)
{
    const auto found = m_endpoints.find(endpoint);
    return found == m_endpoints.end() ? nullptr : found->second.get();
}

bool endpoint_table::isPartitioned(const data_centre_id &dataCentre, instant now) const
{
    const auto found = m_reachability.find(dataCentre);
    return found != m_reachability.end() && found->second.consecutiveFailures >= failuresToPartition
        && now - found->second.lastFailure < partitionProbeInterval;
}

void endpoint_table::setColdStartLimit(endpoint_state &endpoint, const traffic_service *service, instant now) const
{
    endpoint.coldRate = service == nullptr ? 0.0 : service->coldRequestsPerSecond;
    endpoint.coldUntil = endpoint.coldRate > 0.0 ? endpoint.registeredColdUntil : deadline();
    setColdStartShare(endpoint, now);
}

void endpoint_table::setColdStartShare(endpoint_state &endpoint, instant now) const
{
    if (endpoint.coldUntil.hasPassed(now)) {
        return;
    }
    const double rate = endpoint.coldRate;
    // Besides its part of the rate, each sharer may send one request immediately, so the number of sharers is limited by the tolerated
    // burst.
    const auto burst = static_cast<std::int64_t>(rate * (m_settings.cold.rateFactor - 1.0)) + m_settings.cold.fixedAllowance;
    const auto known = std::max<std::int64_t>(static_cast<std::int64_t>(m_instances.size()), 1);
    const std::int64_t sharers = std::clamp<std::int64_t>(burst, 1, known);
    const bool isSharer = isAmongSharers(endpoint.entry.id, sharers);
    endpoint.coldStartBucket.setRateAndBurst(isSharer ? rate / static_cast<double>(sharers) : 0.0, isSharer ? 1.0 : 0.0, now);
}

bool endpoint_table::isAmongSharers(const endpoint_id &endpoint, std::int64_t count) const
{
    // All instances compute the same order, which differs between endpoints.
    const std::uint64_t seed = stableHash(endpoint.value());
    const std::uint64_t own = stableHash(m_settings.self.value(), seed);
    const auto before = std::count_if(
        m_instances.begin(), m_instances.end(), [&](const instance_id &other) { return stableHash(other.value(), seed) < own; });
    return before < count;
}

} // namespace burdockshelf
