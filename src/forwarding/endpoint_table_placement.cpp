// Scores of endpoints for the placement of attempts, and what they are made of.

#include "forwarding/endpoint_table.h"

#include <algorithm>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

// An endpoint with a response outstanding for longer than this is suspected to have failed. engineSuspectTime applies to endpoints with an
// engine stage, plainCallSuspectTime to those without one.
constexpr milliseconds plainCallSuspectTime {250};
constexpr milliseconds engineSuspectTime {1200};
// The reported load of other instances decays over this time, because an endpoint reports again only when it responds to a request. It
// decays to the mean of the service where endpoints report how long work takes: an endpoint that was not heard of for long would otherwise
// look idle to all instances. It decays to zero where they do not.
constexpr milliseconds loadReportLifetime {4000};
constexpr double newestLoadWeight = 0.02;
// Terms of the score, where 1.0 is the load of a fully used endpoint.
constexpr double failurePenalty = 3.0;
constexpr double suspectPenalty = 6.0;
constexpr double blockedPenalty = 20.0;
constexpr double fullPenalty = 4.0;
constexpr double partitionPenalty = 10.0;
constexpr double unreliableHandlePenalty = 5.0;
constexpr double coldPenalty = 0.6;
constexpr double remotePenalty = 0.12;
// The average time per token follows faster prefills quickly and slower ones slowly: a slow prefill has mostly waited in a queue.
constexpr double fasterPrefillWeight = 0.2;
constexpr double slowerPrefillWeight = 0.01;
// The measured delay is assumed to shrink at half the speed of real time, because other instances keep sending.
constexpr double prefillDelayDecay = 0.5;
// Assumed size of a request of another instance; load reports contain only the number of requests.
constexpr double typicalRequestTokens = 3300.0;

milliseconds suspectTimeOf(const endpoint_state &endpoint)
{
    return endpoint.entry.stage ? engineSuspectTime : plainCallSuspectTime;
}

bool isSuspect(const endpoint_state &endpoint, instant now)
{
    return !endpoint.unanswered.empty() && now - *endpoint.unanswered.begin() > suspectTimeOf(endpoint);
}

double requestsOfOtherInstancesAt(const endpoint_state &endpoint, double assumed, instant now)
{
    const std::chrono::duration<double> age = now - endpoint.loadReportedAt;
    const std::chrono::duration<double> lifetime = loadReportLifetime;
    return age >= lifetime ? assumed : assumed + (endpoint.requestsOfOtherInstances - assumed) * (1.0 - age / lifetime);
}

std::chrono::duration<double> usualResponseOf(const service_speed &usual, attempt_kind attemptKind)
{
    const running_median &times = attemptKind == attempt_kind::plain_call ? usual.plainCall : usual.firstEvent;
    return std::chrono::duration<double>(times.value().value_or(0.0));
}

} // namespace

void endpoint_table::noteLoad(const endpoint_id &endpoint, const endpoint_load &load, instant now)
{
    if (endpoint_state *known = state(endpoint)) {
        known->requestsOfOtherInstances = static_cast<double>(std::max<std::int64_t>(load.running + load.waiting - known->outstanding, 0));
        known->loadReportedAt = now;
        notePaceLoad(*known, load);
        if (load.workTimePercent) {
            service_speed &usual = m_speeds[known->entry.service];
            usual.figureSeenAt = now;
            usual.meanRequestsOfOthers += (known->requestsOfOtherInstances - usual.meanRequestsOfOthers) * newestLoadWeight;
            known->speed.noteReported(*load.workTimePercent, now);
            noteSeen(*known);
        }
    }
}

endpoint_table::placement_rule endpoint_table::ruleFor(const service_id &service, attempt_kind attemptKind, instant now) const
{
    // An instance hears from an engine too rarely for a figure that changes many times a second, and whether an engine has memory shows
    // only when it grants a reservation; so engines are placed by their load alone.
    const auto found = m_speeds.find(service);
    if (found == m_speeds.end() || !found->second.isReporting(now) || attemptKind != attempt_kind::plain_call) {
        return {m_utilisationScore, nullptr, remotePenalty};
    }
    const auto spillOver = m_spillOvers.find({service, attemptKind});
    return {m_settings.completionScore,
            &found->second,
            spillOver == m_spillOvers.end() ? spill_over().remotePenalty() : spillOver->second.remotePenalty()};
}

double endpoint_table::score(const endpoint_state &candidate,
                             const placement_rule &rule,
                             attempt_kind attemptKind,
                             token_count tokens,
                             const traffic_service *profile,
                             instant now) const
{
    placement_inputs inputs;
    inputs.attemptKind = attemptKind;
    inputs.utilisation = load(candidate, rule, attemptKind, tokens, profile, now);
    inputs.meanLatency = std::chrono::duration<double>(candidate.meanLatencySeconds);
    inputs.slowdown = candidate.speed.slowdown(now);
    if (rule.usual != nullptr) {
        inputs.usualResponse = usualResponseOf(*rule.usual, attemptKind);
        inputs.target = rule.usual->target;
    }
    double penalty = healthPenalty(candidate, now);
    if (attemptKind == attempt_kind::prefill) {
        const prefill_estimate estimate = estimatePrefill(candidate, tokens, now);
        inputs.prefillWait = estimate.wait;
        inputs.prefillTime = estimate.processingTime;
        penalty += hasReliableHandles(candidate, now) ? 0.0 : unreliableHandlePenalty;
    }
    return rule.strategy.score(inputs) + penalty;
}

double endpoint_table::healthPenalty(const endpoint_state &candidate, instant now) const
{
    // An endpoint that has failed is probed with one request at a time.
    const bool isProbing = candidate.consecutiveFailures >= failuresToBlock && !candidate.unanswered.empty();
    double total = candidate.failureRate * failurePenalty;
    total += candidate.blockedUntil.hasPassed(now) && !isProbing ? 0.0 : blockedPenalty;
    total += isPartitioned(candidate.entry.dataCentre, now) ? partitionPenalty : 0.0;
    total += isSuspect(candidate, now) ? suspectPenalty : 0.0;
    total += candidate.fullUntil.hasPassed(now) ? 0.0 : fullPenalty;
    total += candidate.coldUntil.hasPassed(now) ? 0.0 : coldPenalty;
    return total;
}

void endpoint_table::notePrefillTime(endpoint_state &prefillEndpoint, token_count tokens, boot_clock::duration elapsed, instant now)
{
    if (tokens < minTokensToMeasure) {
        return;
    }
    const std::chrono::duration<double> seconds = elapsed;
    const double perToken = seconds.count() / static_cast<double>(tokens.value());
    double &known = m_prefillSecondsPerToken.try_emplace(prefillEndpoint.entry.service, perToken).first->second;
    known += (perToken - known) * (perToken < known ? fasterPrefillWeight : slowerPrefillWeight);
    noteSpeed(prefillEndpoint, &service_speed::prefillToken, perToken, now);
    // A disturbance of the moment is part of the delay, so only the steady slowdown is left out.
    const double expected = known * static_cast<double>(tokens.value()) * prefillEndpoint.speed.steadySlowdown(now);
    prefillEndpoint.prefillDelay = std::max(seconds - std::chrono::duration<double>(expected), {});
    prefillEndpoint.prefillDelaySeenAt = now;
}

endpoint_table::prefill_estimate
endpoint_table::estimatePrefill(const endpoint_state &prefillEndpoint, token_count tokens, instant now) const
{
    const auto known = m_prefillSecondsPerToken.find(prefillEndpoint.entry.service);
    const double usualPerToken = known == m_prefillSecondsPerToken.end() ? 0.0 : known->second;
    const double perToken = usualPerToken * prefillEndpoint.speed.steadySlowdown(now);
    const std::chrono::duration<double> own(perToken * static_cast<double>(prefillEndpoint.outstandingTokens.value()));
    const std::chrono::duration<double> age = now - prefillEndpoint.prefillDelaySeenAt;
    const std::chrono::duration<double> remainingDelay = prefillEndpoint.prefillDelay - age * prefillDelayDecay;
    return {std::max({own, remainingDelay, std::chrono::duration<double>::zero()}),
            std::chrono::duration<double>(perToken * static_cast<double>(tokens.value())),
            std::chrono::duration<double>(usualPerToken * static_cast<double>(tokens.value()))};
}

double endpoint_table::load(const endpoint_state &candidate,
                            const placement_rule &rule,
                            attempt_kind attemptKind,
                            token_count tokens,
                            const traffic_service *profile,
                            instant now)
{
    const auto slots = static_cast<double>(std::max<std::int64_t>(candidate.entry.slots.value(), 1));
    const double otherRequests = requestsOfOtherInstancesAt(candidate, rule.usual == nullptr ? 0.0 : rule.usual->meanRequestsOfOthers, now);
    double utilisation = (static_cast<double>(candidate.outstanding) + otherRequests) / slots;
    if (attemptKind != attempt_kind::plain_call && profile != nullptr && profile->engine && profile->engine->memory.value() > 0) {
        const auto memory = static_cast<double>(profile->engine->memory.value());
        const double tokensUsed =
            static_cast<double>((candidate.outstandingTokens + tokens).value()) + otherRequests * typicalRequestTokens;
        utilisation = std::max(utilisation, tokensUsed / memory);
    }
    return utilisation;
}

} // namespace burdockshelf
