// What dispatch_task does with the endpoints' statements about the further requests that they want.

#include "gateway/dispatch_task.h"

#include <utility>

namespace burdockshelf
{

namespace
{

constexpr std::string_view noticesMetric = "endpoint_notices_total";
constexpr std::string_view noticeLabel = "notice";

} // namespace

void dispatch_task::apply(const endpoint_notice_received &received)
{
    const notice_change change = m_fleet.noteNotice(received, boot_clock::now(), m_random);
    if (change.isNewlyLeaving) {
        m_outbox.count(noticesMetric, noticeLabel, "leaving");
    }
    if (change.isNewlyPausing) {
        m_outbox.count(noticesMetric, noticeLabel, "pausing");
    }
    if (change.isFirstMalformed) {
        m_outbox.count(noticesMetric, noticeLabel, "malformed");
    }
    if (change.isNewlyLeaving || change.isNewlyPausing) {
        publishEngines();
    }
}

void dispatch_task::publishLiftedRestrictions()
{
    const std::size_t lifted = m_fleet.logLiftedRestrictions();
    for (std::size_t i = 0; i < lifted; ++i) {
        m_outbox.count(noticesMetric, noticeLabel, "resumed");
    }
    if (lifted > 0) {
        publishEngines();
    }
}

void dispatch_task::perform(active_flow & /*flow*/, const release_handle &action)
{
    release(action.handle.endpoint, action.handle.address, m_dialects.endpoints.releaseHandle(action.handle.handle));
}

void dispatch_task::perform(active_flow & /*flow*/, const release_reservation &action)
{
    const capacity_reservation &held = action.capacityReservation;
    release(held.endpoint, held.address, m_dialects.endpoints.releaseReservation(held.reservation));
}

void dispatch_task::release(const endpoint_id &endpoint, const socket_address &heldAt, http_request call)
{
    // What is not released expires by itself. To a pausing endpoint the call is one more request; a leaving one gets it, because it
    // admits nothing and frees memory that is priced.
    if (m_fleet.endpoints().availability(endpoint, boot_clock::now()).condition == availability_condition::pausing) {
        return;
    }
    const endpoint_state *known = m_fleet.endpoints().find(endpoint);
    const bool isAddressCurrent = known != nullptr && known->entry.address == heldAt;
    const endpoint_process process = isAddressCurrent ? endpoint_process {endpoint, known->entry.startTime} : endpoint_process {};
    m_outbox.toEndpoints(fire_and_forget_call {process, heldAt, std::move(call)});
}

} // namespace burdockshelf
