// The part of fleet_state that follows from the endpoints' responses.

#include "gateway/fleet_state.h"

#include <cmath>
#include <vector>

namespace burdockshelf
{

namespace
{

// Log lines hold whole numbers only.
constexpr double hundredths = 100.0;

} // namespace

notice_change fleet_state::noteNotice(const endpoint_notice_received &received, instant now, random_source &random)
{
    notice_change change = m_endpoints.noteNotice(received.from, received.notice, now, random);
    if (change.isNewlyLeaving) {
        m_log.write(log_line("dispatch", "endpoint_leaving").add("endpoint", received.from.id).add("request", received.request));
    }
    if (change.isNewlyPausing) {
        m_log.write(log_line("dispatch", "endpoint_pausing")
                        .add("endpoint", received.from.id)
                        .add("request", received.request)
                        .add("left_ms", received.notice.pausedUntil->remaining(now)));
    }
    if (change.isFirstMalformed) {
        m_log.write(log_line("dispatch", "endpoint_pause_unreadable").add("endpoint", received.from.id).add("request", received.request));
    }
    // A response with status 421 may come from the named endpoint itself, if it is in another stage, or from the one that has its address.
    if (const endpoint_state *other = received.misdirectedTo ? m_endpoints.findAt(*received.misdirectedTo, received.from.id) : nullptr) {
        endpoint_notice_received atAddress = received;
        atAddress.from = {other->entry.id, other->entry.startTime};
        atAddress.misdirectedTo.reset();
        change.isNewlyLeaving = noteNotice(atAddress, now, random).isNewlyLeaving || change.isNewlyLeaving;
    }
    return change;
}

std::size_t fleet_state::logLiftedRestrictions()
{
    const std::vector<lifted_restriction> lifted = m_endpoints.takeLifted();
    for (const lifted_restriction &one : lifted) {
        m_log.write(log_line("dispatch", "endpoint_resumed")
                        .add("endpoint", one.endpoint)
                        .add("request", one.request)
                        .add("cause", one.request.isEmpty() ? "a new process has started" : "a request has succeeded after the pause"));
    }
    return lifted.size();
}

void fleet_state::logPaceChanges()
{
    const endpoint_pace_log::content steps = m_endpoints.takePaceChanges();
    for (const pace_change &change : steps.changes) {
        log_line line("dispatch", "endpoint_pace");
        line.add("endpoint", change.endpoint)
            .add("step", paceStepName(change.step))
            .add("cause", paceCauseName(change.cause))
            .add("limit_hundredths", std::llround(change.limit * hundredths))
            .add("instances", m_instanceCount);
        if (change.observed) {
            line.add("evidence", paceEvidenceName(change.observed->evidence))
                .add("slowness_hundredths", std::llround(change.observed->slowness * hundredths));
            if (change.observed->reportedRequests) {
                line.add("reported_requests", std::llround(*change.observed->reportedRequests));
            }
        }
        m_log.write(std::move(line));
    }
    if (steps.leftOut > 0) {
        m_log.write(log_line("dispatch", "endpoint_pace_left_out").add("steps", steps.leftOut));
    }
}

} // namespace burdockshelf
