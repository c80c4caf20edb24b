// Choice of the next attempt of a request and of the endpoint that it is sent to. forward_flow_search.cpp has the search for capacity.

#include "forwarding/forward_flow.h"

#include <utility>

namespace burdockshelf
{

namespace
{

// A decode endpoint processes a prompt at half the speed of a prefill endpoint, and other streams there are delayed meanwhile.
constexpr double decodePrefillFactor = 2.0;
constexpr std::chrono::duration<double> decodePrefillCost {0.12};

} // namespace

void forward_flow::sendFirst()
{
    if (m_deadline.hasPassed(m_now)) {
        refuseNotExecuted(refusal_cause::expired);
    } else if (usesEngine()) {
        startReservationSearch();
    } else {
        sendPlain();
    }
}

void forward_flow::sendPlain()
{
    if (!send(attempt_kind::plain_call, std::nullopt)) {
        refuseNotExecuted(refusal_cause::no_endpoint);
    }
}

void forward_flow::continueAfterReservation()
{
    if (m_silentDecode) {
        replaceSilentDecode();
        return;
    }
    if (endIfQuarantined()) {
        return;
    }
    if (m_prefillsSent == 0 && !m_mayHaveExecuted) {
        if (m_reservation) {
            sendPrefill();
        } else {
            // A prompt is not processed while no endpoint could generate from it.
            refuseNotExecuted(refusal_cause::no_endpoint);
        }
        return;
    }
    const std::optional<prompt_handle> handle = m_handle;
    if (send(attempt_kind::decode, handle)) {
        return;
    }
    if (m_mayHaveExecuted) {
        failRequest(refusal_cause::endpoint_failed);
    } else {
        refuseNotExecuted(refusal_cause::no_endpoint);
    }
}

void forward_flow::sendPrefill()
{
    if (endIfQuarantined()) {
        return;
    }
    const token_count prompt = tokensFor(attempt_kind::prefill);
    const endpoint_state *prefillEndpoint = chooseEndpoint(attempt_kind::prefill, m_attempts.tried());
    if (prefillEndpoint == nullptr || isPrefillFasterAtDecode(*prefillEndpoint, prompt)
        || !sendTo(*prefillEndpoint, attempt_kind::prefill, std::nullopt)) {
        sendDecode(std::nullopt);
    }
}

bool forward_flow::isPrefillFasterAtDecode(const endpoint_state &prefillEndpoint, token_count prompt) const
{
    const endpoint_table::prefill_estimate estimate = m_context->endpoints.estimatePrefill(prefillEndpoint, prompt, m_now);
    const double decodeFactor = m_reservation ? decodePrefillFactor * m_context->endpoints.slowdown(m_reservation->endpoint, m_now) : 0.0;
    const bool isSlow = estimate.wait + estimate.processingTime > estimate.usualProcessingTime * decodeFactor + decodePrefillCost;
    return m_reservation && (isSlow || !m_context->endpoints.hasReliableHandles(prefillEndpoint, m_now));
}

void forward_flow::sendDecode(std::optional<prompt_handle> source)
{
    m_handle = source;
    if (endIfQuarantined()) {
        return;
    }
    if (!send(attempt_kind::decode, std::move(source))) {
        refuseNotExecuted(refusal_cause::no_endpoint);
    }
}

bool forward_flow::isReservationUsable() const
{
    if (!m_reservation || !m_context->endpoints.mayReceive(m_reservation->endpoint, m_now)) {
        return false;
    }
    // Another process may have taken over the id of the endpoint since then.
    return versionsFor(attempt_kind::decode).accepts(m_context->endpoints.find(m_reservation->endpoint)->entry.version);
}

bool forward_flow::send(attempt_kind attemptKind, std::optional<prompt_handle> source)
{
    const endpoint_state *chosen = nullptr;
    if (attemptKind == attempt_kind::decode && isReservationUsable()) {
        chosen = m_context->endpoints.find(m_reservation->endpoint);
    } else {
        chosen = chooseEndpoint(attemptKind, m_attempts.tried());
    }
    return chosen != nullptr && sendTo(*chosen, attemptKind, std::move(source));
}

bool forward_flow::sendTo(const endpoint_state &chosen, attempt_kind attemptKind, std::optional<prompt_handle> source)
{
    const bool isQuarantined = attemptKind != attempt_kind::reserve && m_context->quarantine.find(m_request.facts.parts, m_now) != nullptr;
    if (isQuarantined || !m_context->endpoints.mayReceive(chosen.entry.id, m_now)
        || !versionsFor(attemptKind).accepts(chosen.entry.version)) {
        return false;
    }
    if (!takeExposure(chosen.entry, attemptKind)) {
        return false;
    }
    // The reservation has taken the request from the cold endpoint's share already.
    const bool usesReservation = attemptKind == attempt_kind::decode && m_reservation && m_reservation->endpoint == chosen.entry.id;
    if (!usesReservation && !m_context->endpoints.takeColdStartToken(chosen.entry.id, m_now)) {
        return false;
    }
    const flow_attempt &attempt =
        m_attempts.add(attemptKind, chosen.entry, m_now, deadline::after(m_now, responseTimeoutFor(attemptKind, chosen.entry.id)));
    counterOf(attemptKind) += 1;

    start_attempt action;
    action.number = attempt.number;
    action.attemptKind = attemptKind;
    action.endpoint = attempt.endpoint;
    action.startTime = chosen.entry.startTime;
    action.address = chosen.entry.address;
    action.service = m_service;
    if (source && !hasVersionOf(source->endpoint, chosen.entry)) {
        source.reset();
        if (m_handle) {
            m_actions.emplace_back(release_handle {*std::exchange(m_handle, std::nullopt)});
        }
    }
    action.source = std::move(source);
    action.tokens = tokensFor(attemptKind);
    // A reservation can be used once, and only at its own endpoint.
    if (usesReservation) {
        action.capacityReservation = std::exchange(m_reservation, std::nullopt);
    } else if (attemptKind == attempt_kind::decode && m_reservation) {
        m_actions.emplace_back(release_reservation {*std::exchange(m_reservation, std::nullopt)});
    }
    if (attemptKind == attempt_kind::decode && !action.source && m_lastPrefillEndpoint) {
        const endpoint_state *prefillEndpoint = m_context->endpoints.find(*m_lastPrefillEndpoint);
        if (prefillEndpoint != nullptr && hasVersionOf(*m_lastPrefillEndpoint, chosen.entry)) {
            action.fetchFrom = prefillEndpoint->entry.address;
        }
    }
    action.resumeAfter = m_events.lastId();
    action.until = m_deadline;
    action.isStreamed = attemptKind == attempt_kind::decode
        || (attemptKind == attempt_kind::plain_call && m_request.route->kind == request_kind::streaming);
    if (executesRequest(attemptKind) && isResumableStream() && !m_origin) {
        m_origin = stream_origin {m_service, chosen.entry.version};
        m_actions.emplace_back(fix_origin {*m_origin});
    }
    m_context->endpoints.noteSent(attempt.endpoint, tokensFor(attemptKind), m_now);
    m_actions.emplace_back(std::move(action));
    return true;
}

} // namespace burdockshelf
