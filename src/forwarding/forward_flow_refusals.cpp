// Ends of a request that has no response of an endpoint to pass on.

#include "forwarding/forward_flow.h"

namespace burdockshelf
{

bool forward_flow::endIfQuarantined()
{
    const quarantined_part *part = m_context->quarantine.find(m_request.facts.parts, m_now);
    if (part == nullptr) {
        return false;
    }
    if (m_silentDecode) {
        // The part is not sent to another endpoint, but the one that has it may still complete the output.
        keepSilentDecode();
        return true;
    }
    const bool mayHaveExecuted = m_mayHaveExecuted || m_attempts.mayBeRunning();
    cancelAll();
    if (mayHaveExecuted) {
        failRequest(refusal_cause::suspected);
    } else {
        refusal_facts facts;
        facts.cause = refusal_cause::quarantined;
        facts.quarantineEnds = part->until;
        refuse(decideRefusal(facts, m_now));
    }
    return true;
}

void forward_flow::refuseNotExecuted(refusal_cause cause, bool isCapacityExhausted)
{
    if (m_isHeadRelayed) {
        failRequest(cause);
        return;
    }
    refusal_facts facts;
    facts.cause = cause;
    facts.isCapacityExhausted = isCapacityExhausted;
    facts.priority = m_request.priority;
    facts.callerDeadline = m_request.facts.callerDeadline;
    if (m_searchFacts) {
        facts.capacityWait = m_searchFacts->expectedWait;
    }
    facts.jitter = m_context->random.uniform();
    const attempt_kind runs = usesEngine() ? attempt_kind::decode : attempt_kind::plain_call;
    facts.endpoints = m_context->endpoints.availabilityOf(m_service, runs, m_now);
    refuse(decideRefusal(facts, m_now));
}

void forward_flow::failRequest(refusal_cause cause)
{
    if (m_isHeadRelayed) {
        m_actions.emplace_back(abort_response {});
        m_isFinal = true;
        return;
    }
    refuse({cause, std::nullopt});
}

void forward_flow::refuse(const refusal_decision &decision)
{
    releaseUnused();
    const bool mayBeRunning = decision.cause == refusal_cause::timed_out || decision.cause == refusal_cause::endpoint_failed
        || decision.cause == refusal_cause::suspected;
    m_actions.emplace_back(refuse_request {decision.cause, decision.retryAfter, !m_mayHaveExecuted && !mayBeRunning});
    m_isFinal = true;
}

} // namespace burdockshelf
