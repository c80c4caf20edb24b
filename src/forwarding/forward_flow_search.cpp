// The search for capacity at a decode endpoint.

#include "forwarding/forward_flow.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

// What is left of a route's target after this fraction is needed to process the prompt and to begin the output.
constexpr double startFractionOfTarget = 0.7;
// A request is kept waiting for this fraction of its time at most: the rest is needed to generate the output, or for the caller's retry.
constexpr double firstRankSearchFraction = 0.5;
constexpr double laterRankSearchFraction = 1.0 / 3.0;

} // namespace

void forward_flow::startReservationSearch()
{
    // A workspace of a lower priority than the route must not put a route behind a less urgent one of the same workspace.
    m_rank = m_request.plan->rankOf(m_service, std::min(m_request.priority, m_request.route->priority));
    m_searchBegun = m_now;
    m_lastAsked = m_now;
    m_reservationSearch.begin(m_attempts.tried(), deadline::never());
    joinReservationQueue();
    startReservationRound();
}

void forward_flow::joinReservationQueue()
{
    if (!m_rank) {
        return;
    }
    const auto untilStart = std::chrono::duration_cast<milliseconds>(m_request.route->target * startFractionOfTarget);
    const deadline latestStart = deadline::after(m_request.arrived, untilStart);
    m_context->sharing.of(m_service).queue.join(
        {m_request.flow, *m_rank, m_request.workspace, tokensFor(attempt_kind::reserve), latestStart});
    m_isQueued = true;
}

void forward_flow::leaveReservationQueue()
{
    if (std::exchange(m_isQueued, false)) {
        m_context->sharing.of(m_service).queue.leave(m_request.flow);
    }
}

search_step forward_flow::planReservationRound()
{
    // The work of a stream that has begun is not thrown away: it searches as if there were no other priorities, and then waits in an
    // endpoint's queue.
    const bool isInvested = m_mayHaveExecuted || m_silentDecode;
    search_situation situation;
    situation.begun = m_searchBegun;
    situation.lastAsked = m_lastAsked;
    situation.target = m_request.route->target;
    m_searchFacts.reset();
    if (!m_rank) {
        return searchPolicyFor(std::nullopt).nextRound(situation, m_now);
    }
    shared_capacity &capacity = m_context->sharing.of(m_service);
    const bool isFirst = *m_rank == priority_rank(0);
    const boot_clock::duration allowed = m_deadline.at() - m_request.arrived;
    const auto kept = std::chrono::duration_cast<milliseconds>(allowed * (isFirst ? firstRankSearchFraction : laterRankSearchFraction));
    situation.latestStart =
        deadline::after(m_request.arrived, std::chrono::duration_cast<milliseconds>(situation.target * startFractionOfTarget));
    situation.searchLimit = std::max(situation.latestStart, deadline::after(m_request.arrived, kept));
    situation.ahead = capacity.queue.aheadOf(m_request.flow, m_now);
    situation.outlook = capacity.monitor.outlook(*m_rank, m_now);
    const search_step step = searchPolicyFor(isInvested ? std::nullopt : m_rank).nextRound(situation, m_now);
    m_searchFacts = search_facts {*m_rank, situation.outlook.scarcity, situation.ahead, step.expectedWait, step.isRefused};
    return step;
}

void forward_flow::startReservationRound()
{
    const search_step step = planReservationRound();
    m_reservationSearch.setPace(step.pace);
    if (step.isRefused) {
        m_actions.emplace_back(m_reservationSearch.endRound(tokensFor(attempt_kind::reserve), m_searchFacts));
        // The untrusted version may be small; the next round asks the others.
        leaveCandidate();
        refuseNotExecuted(refusal_cause::overloaded, true);
        return;
    }
    const bool isOffered = m_isQueued && m_context->sharing.of(m_service).queue.hasOffer(m_request.flow);
    if (step.pace.maxAsked == 0 && !isOffered) {
        // Other requests of this instance go first.
        pauseReservationSearch();
        return;
    }
    sendNextReservation();
}

const endpoint_state *forward_flow::chooseForReservation()
{
    if (m_isQueued) {
        const std::optional<endpoint_id> offered = m_context->sharing.of(m_service).queue.takeOffer(m_request.flow);
        const endpoint_state *known = offered ? m_context->endpoints.find(*offered) : nullptr;
        if (known != nullptr && matchesStage(known->entry, attempt_kind::reserve)
            && versionsFor(attempt_kind::reserve).accepts(known->entry.version)
            && m_context->endpoints.mayReceive(known->entry.id, m_now)) {
            return known;
        }
    }
    if (m_reservationSearch.isRoundFull()) {
        return nullptr;
    }
    return chooseEndpoint(attempt_kind::reserve, m_reservationSearch.excluded());
}

void forward_flow::sendNextReservation()
{
    if (endIfQuarantined()) {
        return;
    }
    const endpoint_state *chosen = chooseForReservation();
    if (chosen == nullptr && m_reservationSearch.isRoundEmpty()) {
        // No endpoint can take a reservation at all.
        leaveReservationQueue();
        continueAfterReservation();
        return;
    }
    if (chosen == nullptr || !sendTo(*chosen, attempt_kind::reserve, std::nullopt)) {
        endReservationRound();
        return;
    }
    m_lastAsked = m_now;
    m_awaitedReserve = m_attempts.newest();
}

void forward_flow::endReservationRound()
{
    m_actions.emplace_back(m_reservationSearch.endRound(tokensFor(attempt_kind::reserve), m_searchFacts));
    // The untrusted version may be small; the next round asks the others.
    leaveCandidate();
    pauseReservationSearch();
}

void forward_flow::pauseReservationSearch()
{
    if (m_reservationSearch.scheduleNextRound(m_now)) {
        return;
    }
    leaveReservationQueue();
    if (m_silentDecode) {
        keepSilentDecode();
        return;
    }
    if (m_mayHaveExecuted) {
        // A stream that has begun waits in an endpoint's queue rather than being aborted.
        continueAfterReservation();
        return;
    }
    refuseNotExecuted(refusal_cause::overloaded, true);
}

void forward_flow::noteCapacityFreed(const flow_attempt &ended)
{
    if (ended.attemptKind == attempt_kind::decode && m_rank) {
        m_context->sharing.noteFreed(m_service, ended.endpoint, m_now);
    }
}

} // namespace burdockshelf
