#include "forwarding/endpoint_table.h"

#include "core/digest.h"

#include <algorithm>
#include <array>
#include <utility>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

// Weight of the newest value in the running means of failures and latencies.
constexpr double newestWeight = 0.15;
// Failures in a row after which an endpoint gets no requests for a while.
constexpr std::int64_t failuresToBlock = 2;
constexpr milliseconds firstBlock {300};
constexpr milliseconds longestBlock {2400};
// An answer that is missing for this long marks the endpoint as suspect.
constexpr milliseconds plainSilence {250};
constexpr milliseconds engineSilence {1200};
// Endpoints of one data centre that cannot be reached one after the other mean that the way there is cut. One request after this time tries
// again.
constexpr std::int64_t failuresToCutOff = 2;
constexpr milliseconds cutOffTime {700};
// Reports of other instances' work fade out, because the endpoint does not speak again while nothing is sent to it.
constexpr milliseconds foreignLifetime {4000};
// Score terms, in units of a fully used endpoint.
constexpr double failurePenalty = 3.0;
constexpr double suspectPenalty = 6.0;
constexpr double blockedPenalty = 20.0;
constexpr double fullPenalty = 4.0;
constexpr double cutOffPenalty = 10.0;
constexpr double lapsePenalty = 5.0;
constexpr double coldPenalty = 0.6;
constexpr double remotePenalty = 0.12;
constexpr double tieBreak = 0.02;
// Latencies count relative to this one, so that an endpoint that is ten times slower is as good as full.
constexpr double latencyScaleSeconds = 0.2;
// Streams last for seconds, so an endpoint that was full stays so for some tens of milliseconds.
constexpr milliseconds fullTime {60};
// One prompt read for nothing costs more than two seconds without one of several readers.
constexpr milliseconds lapseTime {2000};
// A wait of this length counts as much as a fully used endpoint.
constexpr double readWaitScaleSeconds = 0.35;
// The time per token follows prompts that were read faster at once, and slower ones slowly: a prompt that took long has mostly waited.
constexpr double fasterReadWeight = 0.2;
constexpr double slowerReadWeight = 0.01;
// Shorter prompts say more of the way to the reader than of its speed.
constexpr token_count leastTokensToMeasure {200};
// A delay that was seen is worked off at half speed, because other instances go on sending.
constexpr double readDelayDecay = 0.5;
// Tokens of a request of another instance, which reports tell only by number.
constexpr double typicalTokens = 3300.0;

milliseconds silenceOf(const endpoint_state &endpoint)
{
    return endpoint.entry.stage ? engineSilence : plainSilence;
}

bool isSuspect(const endpoint_state &endpoint, instant now)
{
    return !endpoint.unanswered.empty() && now - *endpoint.unanswered.begin() > silenceOf(endpoint);
}

double foreignAt(const endpoint_state &endpoint, instant now)
{
    const std::chrono::duration<double> age = now - endpoint.loadReportedAt;
    const std::chrono::duration<double> lifetime = foreignLifetime;
    return age >= lifetime ? 0.0 : endpoint.requestsOfOtherInstances * (1.0 - age / lifetime);
}

bool fitsDuty(const endpoint_state &endpoint, attempt_kind attemptKind)
{
    const std::array<std::optional<engine_stage>, 4> needed = {
        std::nullopt,
        engine_stage::decode,
        engine_stage::prefill,
        engine_stage::decode,
    };
    return endpoint.entry.stage == needed.at(static_cast<std::size_t>(attemptKind));
}

} // namespace

endpoint_table::endpoint_table(endpoint_table_settings settings)
    : m_settings(std::move(settings))
{
}

bool endpoint_table::put(const endpoint_entry &entry, const traffic_service *service, instant now)
{
    auto found = m_endpoints.find(entry.id);
    if (found != m_endpoints.end()) {
        endpoint_entry &known = found->second->entry;
        // An older record read again must not bring back an earlier life of the endpoint.
        if (entry.startTime < known.startTime) {
            return false;
        }
        const bool isSameLife = entry.startTime == known.startTime && entry.address == known.address && entry.service == known.service;
        if (isSameLife) {
            endpoint_state &endpoint = *found->second;
            const bool isChanged = known.isDraining != entry.isDraining || known.stage != entry.stage || !endpoint.isListed;
            known = entry;
            endpoint.isListed = true;
            if (entry.coldRemaining > milliseconds::zero()) {
                endpoint.coldUntil = deadline::after(now, entry.coldRemaining);
                setColdShare(endpoint, service, now);
            }
            return isChanged;
        }
        std::erase(m_byService[known.service], found->second.get());
        m_endpoints.erase(found);
    }
    auto fresh = std::make_unique<endpoint_state>();
    fresh->entry = entry;
    if (entry.coldRemaining > milliseconds::zero()) {
        fresh->coldUntil = deadline::after(now, entry.coldRemaining);
    }
    fresh->coldShare = rate_window(0.0, 1.0, now);
    setColdShare(*fresh, service, now);
    m_byService[entry.service].push_back(fresh.get());
    m_endpoints[entry.id] = std::move(fresh);
    return true;
}

bool endpoint_table::remove(const endpoint_id &endpoint)
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end()) {
        return false;
    }
    std::erase(m_byService[found->second->entry.service], found->second.get());
    m_endpoints.erase(found);
    return true;
}

void endpoint_table::setEvacuated(std::set<data_centre_id> dataCentres)
{
    m_evacuated = std::move(dataCentres);
}

void endpoint_table::setInstances(std::vector<instance_id> instances)
{
    m_instances = std::move(instances);
}

const endpoint_state *endpoint_table::choose(const service_id &service,
                                             attempt_kind attemptKind,
                                             token_count tokens,
                                             const std::vector<endpoint_id> &excluded,
                                             const traffic_service *profile,
                                             instant now,
                                             random_source &random)
{
    const auto found = m_byService.find(service);
    if (found == m_byService.end()) {
        return nullptr;
    }
    endpoint_state *best = nullptr;
    double bestScore = 0.0;
    for (endpoint_state *candidate : found->second) {
        const bool isExcluded = std::find(excluded.begin(), excluded.end(), candidate->entry.id) != excluded.end();
        if (isExcluded || !fitsDuty(*candidate, attemptKind) || !mayReceive(candidate->entry.id)) {
            continue;
        }
        if (!candidate->coldUntil.hasPassed(now) && candidate->coldShare.level(now) < 1.0) {
            continue;
        }
        const double candidateScore = score(*candidate, attemptKind, tokens, profile, now) + random.uniform() * tieBreak;
        if (best == nullptr || candidateScore < bestScore) {
            best = candidate;
            bestScore = candidateScore;
        }
    }
    return best;
}

const endpoint_state *endpoint_table::find(const endpoint_id &endpoint) const
{
    const auto found = m_endpoints.find(endpoint);
    return found == m_endpoints.end() ? nullptr : found->second.get();
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

bool endpoint_table::mayReceive(const endpoint_id &endpoint) const
{
    const endpoint_state *known = find(endpoint);
    return known != nullptr && !known->entry.isDraining && known->isListed && m_evacuated.count(known->entry.dataCentre) == 0;
}

bool endpoint_table::takeColdShare(const endpoint_id &endpoint, instant now)
{
    endpoint_state *known = state(endpoint);
    return known == nullptr || known->coldUntil.hasPassed(now) || known->coldShare.take(1.0, now);
}

void endpoint_table::noteSent(const endpoint_id &endpoint, token_count tokens, instant now)
{
    if (endpoint_state *known = state(endpoint)) {
        ++known->outstanding;
        known->outstandingTokens += tokens;
        known->unanswered.insert(now);
    }
}

void endpoint_table::noteResponse(const endpoint_id &endpoint, instant sentAt, instant now)
{
    if (endpoint_state *known = state(endpoint)) {
        forgetUnanswered(*known, sentAt);
        known->lastAnswer = now;
    }
}

void endpoint_table::forgetUnanswered(endpoint_state &endpoint, instant sentAt)
{
    const auto found = endpoint.unanswered.find(sentAt);
    if (found != endpoint.unanswered.end()) {
        endpoint.unanswered.erase(found);
    }
}

void endpoint_table::noteEnded(
    const endpoint_id &endpoint, token_count tokens, instant sentAt, bool wasAnswered, endpoint_verdict verdict, instant now)
{
    endpoint_state *known = state(endpoint);
    if (known == nullptr) {
        return;
    }
    // The endpoint may have been replaced under its id meanwhile; its counts then start anew and must not go below zero.
    known->outstanding = std::max<std::int64_t>(known->outstanding - 1, 0);
    known->outstandingTokens = std::max(known->outstandingTokens - tokens, token_count());
    if (!wasAnswered) {
        forgetUnanswered(*known, sentAt);
    }
    if (verdict == endpoint_verdict::good || verdict == endpoint_verdict::refused) {
        known->lastAnswer = now;
    }
    const bool isUnreachable = verdict == endpoint_verdict::unreachable || (verdict == endpoint_verdict::failed && !wasAnswered);
    if (isUnreachable || wasAnswered || verdict == endpoint_verdict::good || verdict == endpoint_verdict::refused) {
        noteWay(known->entry.dataCentre, !isUnreachable, now);
    }
    switch (verdict) {
    case endpoint_verdict::good: {
        const std::chrono::duration<double> took = now - sentAt;
        known->failuresInRow = 0;
        known->blockedUntil = deadline();
        known->failureShare *= 1.0 - newestWeight;
        known->latencySeconds += (took.count() - known->latencySeconds) * newestWeight;
        if (known->entry.stage == engine_stage::prefill) {
            noteRead(*known, tokens, now - sentAt, now);
        }
        break;
    }
    case endpoint_verdict::failed:
    case endpoint_verdict::unreachable:
        ++known->failuresInRow;
        known->failureShare += (1.0 - known->failureShare) * newestWeight;
        if (known->failuresInRow >= failuresToBlock || verdict == endpoint_verdict::unreachable) {
            const auto doublings = std::min<std::int64_t>(known->failuresInRow - 1, 3);
            known->blockedUntil = deadline::after(now, std::min(firstBlock * (1 << doublings), longestBlock));
        }
        break;
    case endpoint_verdict::refused:
        known->failureShare += (1.0 - known->failureShare) * newestWeight / 2;
        break;
    case endpoint_verdict::abandoned:
        break;
    }
}

void endpoint_table::noteLoad(const endpoint_id &endpoint, const endpoint_load &load, instant now)
{
    if (endpoint_state *known = state(endpoint)) {
        known->requestsOfOtherInstances = static_cast<double>(std::max<std::int64_t>(load.running + load.waiting - known->outstanding, 0));
        known->loadReportedAt = now;
    }
}

void endpoint_table::noteFull(const endpoint_id &endpoint, instant now)
{
    if (endpoint_state *known = state(endpoint)) {
        known->fullUntil = deadline::after(now, fullTime);
    }
}

void endpoint_table::noteHandleLapsed(const endpoint_id &endpoint, instant now)
{
    if (endpoint_state *known = state(endpoint)) {
        known->handlesLapseUntil = deadline::after(now, lapseTime);
    }
}

bool endpoint_table::keepsHandles(const endpoint_state &reader, instant now) const
{
    return reader.handlesLapseUntil.hasPassed(now);
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

double endpoint_table::score(
    const endpoint_state &candidate, attempt_kind attemptKind, token_count tokens, const traffic_service *profile, instant now) const
{
    double used = load(candidate, attemptKind, tokens, profile, now);
    if (attemptKind == attempt_kind::prefill) {
        used = std::max(used, estimateRead(candidate, tokens, now).wait.count() / readWaitScaleSeconds);
        used += keepsHandles(candidate, now) ? 0.0 : lapsePenalty;
    }
    double total = used + candidate.failureShare * failurePenalty;
    if (attemptKind == attempt_kind::plain_call) {
        total += std::min(candidate.latencySeconds / latencyScaleSeconds, 1.0) * used;
    }
    // An endpoint that has failed is tried again with one request at a time.
    const bool isOnTrial = candidate.failuresInRow >= failuresToBlock && !candidate.unanswered.empty();
    total += candidate.blockedUntil.hasPassed(now) && !isOnTrial ? 0.0 : blockedPenalty;
    total += isCutOff(candidate.entry.dataCentre, now) ? cutOffPenalty : 0.0;
    total += isSuspect(candidate, now) ? suspectPenalty : 0.0;
    total += candidate.fullUntil.hasPassed(now) ? 0.0 : fullPenalty;
    total += candidate.coldUntil.hasPassed(now) ? 0.0 : coldPenalty;
    total += candidate.entry.dataCentre == m_settings.dataCentre ? 0.0 : remotePenalty;
    return total;
}

void endpoint_table::noteRead(endpoint_state &reader, token_count tokens, boot_clock::duration took, instant now)
{
    if (tokens < leastTokensToMeasure) {
        return;
    }
    const std::chrono::duration<double> seconds = took;
    const double perToken = seconds.count() / static_cast<double>(tokens.value());
    double &known = m_secondsPerToken.try_emplace(reader.entry.service, perToken).first->second;
    known += (perToken - known) * (perToken < known ? fasterReadWeight : slowerReadWeight);
    reader.readDelay = std::max(seconds - std::chrono::duration<double>(known * static_cast<double>(tokens.value())), {});
    reader.readDelaySeen = now;
}

endpoint_table::read_estimate endpoint_table::estimateRead(const endpoint_state &reader, token_count tokens, instant now) const
{
    const auto known = m_secondsPerToken.find(reader.entry.service);
    const double perToken = known == m_secondsPerToken.end() ? 0.0 : known->second;
    const std::chrono::duration<double> own(perToken * static_cast<double>(reader.outstandingTokens.value()));
    const std::chrono::duration<double> age = now - reader.readDelaySeen;
    const std::chrono::duration<double> seen = reader.readDelay - age * readDelayDecay;
    return {std::max({own, seen, std::chrono::duration<double>::zero()}),
            std::chrono::duration<double>(perToken * static_cast<double>(tokens.value()))};
}

double endpoint_table::load(
    const endpoint_state &candidate, attempt_kind attemptKind, token_count tokens, const traffic_service *profile, instant now)
{
    const auto slots = static_cast<double>(std::max<std::int64_t>(candidate.entry.slots.value(), 1));
    const double foreign = foreignAt(candidate, now);
    double used = (static_cast<double>(candidate.outstanding) + foreign) / slots;
    if (attemptKind != attempt_kind::plain_call && profile != nullptr && profile->engine && profile->engine->memory.value() > 0) {
        const auto memory = static_cast<double>(profile->engine->memory.value());
        const double tokensUsed = static_cast<double>((candidate.outstandingTokens + tokens).value()) + foreign * typicalTokens;
        used = std::max(used, tokensUsed / memory);
    }
    return used;
}

bool endpoint_table::isCutOff(const data_centre_id &dataCentre, instant now) const
{
    const auto found = m_ways.find(dataCentre);
    return found != m_ways.end() && found->second.failuresInRow >= failuresToCutOff && now - found->second.lastFailure < cutOffTime;
}

void endpoint_table::noteWay(const data_centre_id &dataCentre, bool isOpen, instant now)
{
    way_state &way = m_ways[dataCentre];
    way.failuresInRow = isOpen ? 0 : way.failuresInRow + 1;
    way.lastFailure = isOpen ? way.lastFailure : now;
}

void endpoint_table::setColdShare(endpoint_state &endpoint, const traffic_service *service, instant now) const
{
    const double rate = service == nullptr ? 0.0 : service->coldRequestsPerSecond;
    if (rate <= 0.0) {
        endpoint.coldUntil = deadline();
        return;
    }
    // Each sharer may send one request at once, besides the rate.
    const auto burst = static_cast<std::int64_t>(rate * (m_settings.cold.rateFactor - 1.0)) + m_settings.cold.fixedAllowance;
    const auto known = std::max<std::int64_t>(static_cast<std::int64_t>(m_instances.size()), 1);
    const std::int64_t sharers = std::clamp<std::int64_t>(burst, 1, known);
    const bool isSharer = isAmongSharers(endpoint.entry.id, sharers);
    endpoint.coldShare.setBound(isSharer ? rate / static_cast<double>(sharers) : 0.0, isSharer ? 1.0 : 0.0, now);
}

bool endpoint_table::isAmongSharers(const endpoint_id &endpoint, std::int64_t count) const
{
    // All instances come to the same order, which differs from endpoint to endpoint.
    const std::uint64_t seed = stableHash(endpoint.value());
    const std::uint64_t own = stableHash(m_settings.self.value(), seed);
    const auto before = std::count_if(
        m_instances.begin(), m_instances.end(), [&](const instance_id &other) { return stableHash(other.value(), seed) < own; });
    return before < count;
}

} // namespace burdockshelf
