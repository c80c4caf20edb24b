#include "gateway/request_log.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace burdockshelf
{

namespace
{

// Maximum lines per report period for successful requests, and for failed or refused ones.
constexpr std::int64_t maxSuccessLines = 150;
constexpr std::int64_t maxFailureLines = 300;
constexpr int firstErrorStatus = 400;
constexpr std::size_t maxLoggedParts = 8;

constexpr std::int64_t percentAsUsual = 100;

std::int64_t percentOf(double factor)
{
    return std::llround(factor * static_cast<double>(percentAsUsual));
}

std::string_view attemptKindName(attempt_kind attemptKind)
{
    static constexpr std::array<std::string_view, 4> names = {"plain_call", "reserve", "prefill", "decode"};
    return names.at(static_cast<std::size_t>(attemptKind));
}

std::string joinedParts(const prompt_parts &parts)
{
    std::string joined;
    for (std::size_t index = 0; index < std::min(parts.shared.size(), maxLoggedParts); ++index) {
        joined.append(index == 0 ? "" : ",").append(parts.shared[index].value());
    }
    return joined;
}

} // namespace

std::string_view requestKindName(request_kind kind)
{
    static constexpr std::array<std::string_view, 3> names = {"idempotent", "non_idempotent", "streaming"};
    return names.at(static_cast<std::size_t>(kind));
}

request_log::request_log(event_log to)
    : m_to(std::move(to))
{
}

void request_log::writeRefused(const forward_facts &facts, const admission_decision &decision, int status, plan_version plan)
{
    if (!mayWrite(false)) {
        return;
    }
    log_line line("dispatch", "refused");
    line.add("request", facts.id)
        .add("cause", refusalCauseName(decision.cause))
        .add("status", status)
        .add("path", facts.path)
        .add("plan", plan)
        .add("retry_after_ms", decision.retryAfter ? decision.retryAfter->count() : -1);
    if (!decision.quarantinedPart.isEmpty()) {
        line.add("prompt_part", decision.quarantinedPart);
    }
    m_to.write(std::move(line));
}

void request_log::writeAdmittedInShutdown(const admission_decision &decision, deadline finishBy, instant now)
{
    if (!mayWrite(true)) {
        return;
    }
    const admitted_request &request = *decision.request;
    const deadline allowed = allowedUntil(request.facts, *request.route, request.arrived);
    m_to.write(log_line("dispatch", "admitted_in_shutdown")
                   .add("request", request.facts.id)
                   .add("route", request.route->id)
                   .add("kind", requestKindName(request.route->kind))
                   .add("expected_ms", decision.expectedEnd.remaining(now))
                   .add("allowed_ms", allowed.remaining(now))
                   .add("left_ms", finishBy.remaining(now)));
}

void request_log::writeDropped(const forward_facts &facts, std::string_view cause)
{
    if (mayWrite(false)) {
        m_to.write(log_line("dispatch", "request_dropped").add("request", facts.id).add("path", facts.path).add("cause", cause));
    }
}

void request_log::writeOverQuota(const forward_facts &facts,
                                 const admission_decision &decision,
                                 const quota_refused &refused,
                                 std::int64_t instances)
{
    if (!mayWrite(false)) {
        return;
    }
    m_to.write(log_line("dispatch", "over_quota")
                   .add("request", facts.id)
                   .add("workspace", decision.limited->id)
                   .add("cost", static_cast<std::int64_t>(decision.cost))
                   .add("rate_per_s", static_cast<std::int64_t>(decision.limited->ratePerSecond))
                   .add("share_permille", static_cast<std::int64_t>(refused.share * 1000.0))
                   .add("instances", instances)
                   .add("holder", refused.holder ? refused.holder->value() : "none")
                   .add("cause", quotaRefusalCauseName(refused.cause))
                   .add("leased_rate", static_cast<std::int64_t>(refused.leasedRate)));
}

void request_log::writeResumed(const forward_facts &facts, const stream_origin &origin, std::string_view source)
{
    if (mayWrite(false)) {
        m_to.write(log_line("dispatch", "stream_resumed")
                       .add("request", facts.id)
                       .add("resumes", facts.resumedAttempt)
                       .add("after_event", facts.resumeAfter.value_or(0))
                       .add("service", origin.service)
                       .add("version", origin.version)
                       .add("source", source));
    }
}

void request_log::writeSent(const admitted_request &request, const start_attempt &sent, const endpoint_state *endpoint, instant now)
{
    // A reservation is logged with the attempt that uses it, or with the round of reservation attempts that failed.
    if (sent.attemptKind == attempt_kind::reserve || !mayWrite(true)) {
        return;
    }
    m_to.write(log_line("dispatch", "attempt_sent")
                   .add("request", request.facts.id)
                   .add("attempt", sent.number)
                   .add("duty", attemptKindName(sent.attemptKind))
                   .add("endpoint", sent.endpoint)
                   .add("tokens", sent.tokens)
                   .add("own_requests_there", endpoint == nullptr ? 0 : endpoint->outstanding)
                   .add("own_tokens_there", endpoint == nullptr ? 0 : endpoint->outstandingTokens.value())
                   .add("others_there", endpoint == nullptr ? 0 : static_cast<std::int64_t>(endpoint->requestsOfOtherInstances))
                   .add("others_seen_ms", endpoint == nullptr ? boot_clock::duration() : now - endpoint->loadReportedAt)
                   .add("slowdown_percent", endpoint == nullptr ? percentAsUsual : percentOf(endpoint->speed.slowdown(now)))
                   .add("steady_slowdown_percent", endpoint == nullptr ? percentAsUsual : percentOf(endpoint->speed.steadySlowdown(now)))
                   .add("has_room", sent.capacityReservation.has_value())
                   .add("has_prompt", sent.source.has_value())
                   .add("left_ms", sent.until.remaining(now)));
}

void request_log::writeFailed(const admitted_request &request, const start_attempt &sent, const attempt_ended &ended, token_count ownTokens)
{
    const bool isCapacityRefusal =
        sent.attemptKind == attempt_kind::reserve && (ended.end == attempt_outcome::whole || ended.end == attempt_outcome::rejected);
    if (isCapacityRefusal || !mayWrite(false)) {
        return;
    }
    log_line line("dispatch", "attempt_failed");
    line.add("request", request.facts.id)
        .add("attempt", sent.number)
        .add("duty", attemptKindName(sent.attemptKind))
        .add("endpoint", sent.endpoint)
        .add("end", attemptOutcomeName(ended.end))
        .add("status", ended.response.status)
        .add("endpoint_running", ended.facts.load ? ended.facts.load->running : -1)
        .add("endpoint_waiting", ended.facts.load ? ended.facts.load->waiting : -1)
        .add("own_tokens_there", ownTokens)
        .add("detail", ended.detail);
    if (ended.hasConnectionEnded && !request.facts.parts.shared.empty()) {
        // Parts that recur in such lines of several endpoints are suspected of crashing them.
        line.add("prompt_parts", joinedParts(request.facts.parts));
    }
    m_to.write(std::move(line));
}

void request_log::writeFailedReservations(const admitted_request &request, const report_failed_reservations &round, instant now)
{
    if (!mayWrite(false)) {
        return;
    }
    std::string asked;
    for (const endpoint_id &endpoint : round.asked) {
        asked.append(asked.empty() ? "" : ",").append(endpoint.value());
    }
    log_line line("dispatch", "no_room");
    line.add("request", request.facts.id)
        .add("round", round.round)
        .add("tokens", round.tokens)
        .add("asked", asked)
        .add("waits_until_ms", round.until.remaining(now));
    if (round.facts) {
        line.add("rank", round.facts->rank)
            .add("scarcity", round.facts->scarcity)
            .add("ahead", round.facts->ahead)
            .add("capacity_expected_ms", round.facts->expectedWait)
            .add("refused_at_once", round.facts->isRefusedAtOnce);
    }
    m_to.write(std::move(line));
}

void request_log::writeCancelled(const admitted_request &request,
                                 const cancel_flow_attempt &cancelled,
                                 const endpoint_id &endpoint,
                                 bool isCallerDisconnected)
{
    if (!mayWrite(false)) {
        return;
    }
    m_to.write(log_line("dispatch", "attempt_cancelled")
                   .add("request", request.facts.id)
                   .add("attempt", cancelled.number)
                   .add("endpoint", endpoint)
                   .add("cause", cancelCauseName(cancelled.cause))
                   .add("caller_gone", isCallerDisconnected));
}

void request_log::writeDone(const admitted_request &request, std::int64_t attempts, const request_summary &end)
{
    const bool isSuccess = end.outcome == "answered" && end.status < firstErrorStatus;
    if (!mayWrite(isSuccess)) {
        return;
    }
    log_line line("dispatch", "request_done");
    line.add("request", request.facts.id)
        .add("route", request.route->id)
        .add("kind", requestKindName(request.route->kind))
        .add("workspace", request.workspace)
        .add("outcome", end.outcome)
        .add("status", end.status)
        .add("endpoint", end.respondingEndpoint)
        .add("attempts", attempts)
        .add("plan", request.plan->plan().version)
        .add("first_ms", end.timeToFirstByte)
        .add("longest_pause_ms", end.longestPause)
        .add("took_ms", end.took);
    if (!end.lastFailure.empty()) {
        line.add("last_failed_duty", attemptKindName(end.lastFailedKind))
            .add("last_failed_endpoint", end.lastFailedEndpoint)
            .add("last_failure", end.lastFailure);
    }
    m_to.write(std::move(line));
}

void request_log::beginPeriod()
{
    m_successLines = 0;
    m_failureLines = 0;
    if (m_omittedLines > 0) {
        m_to.write(log_line("dispatch", "lines_left_out").add("count", std::exchange(m_omittedLines, 0)));
    }
}

bool request_log::mayWrite(bool isSuccess)
{
    std::int64_t &written = isSuccess ? m_successLines : m_failureLines;
    if (++written <= (isSuccess ? maxSuccessLines : maxFailureLines)) {
        return true;
    }
    ++m_omittedLines;
    return false;
}

} // namespace burdockshelf
