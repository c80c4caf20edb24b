// What the attempts of a request tell the quarantine of prompt parts.

#include "forwarding/forward_flow.h"

namespace burdockshelf
{

void forward_flow::recordLoss(const flow_attempt &ended, attempt_outcome outcome, const response_summary &response)
{
    if (ended.attemptKind != attempt_kind::decode) {
        return;
    }
    const bool isCut = outcome == attempt_outcome::lost || (outcome == attempt_outcome::whole && m_events.hasPartial());
    if (isCut && response.hasConnectionEnded && !ended.hasSurvived) {
        m_context->quarantine.recordLoss({ended.endpoint, ended.endpointStartTime}, {m_request.facts.id, m_request.facts.parts}, m_now);
    }
    // A response that ends with its connection may have been cut between two events.
    if (outcome == attempt_outcome::whole && !response.hasConnectionEnded && ended.firstOutputAt) {
        m_context->quarantine.recordSurvival(m_request.facts.parts, *ended.firstOutputAt, m_now);
    }
}

void forward_flow::recordSurvival(flow_attempt &attempt)
{
    if (!attempt.firstOutputAt) {
        attempt.firstOutputAt = m_now;
        if (attempt.attemptKind == attempt_kind::decode && m_handle) {
            m_context->endpoints.noteFirstEvent(attempt.endpoint, attempt.sentAt, m_now);
        }
    }
    if (!attempt.hasSurvived && m_now - *attempt.firstOutputAt >= prompt_quarantine::minSurvivalTime) {
        attempt.hasSurvived = true;
        m_context->quarantine.recordSurvival(m_request.facts.parts, *attempt.firstOutputAt, m_now);
    }
}

} // namespace burdockshelf
