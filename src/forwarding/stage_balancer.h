#pragma once

#include "core/deadline.h"
#include "forwarding/endpoint_availability.h"
#include "forwarding/endpoint_entry.h"

#include <map>
#include <optional>
#include <vector>

namespace burdockshelf
{

/// Stage and usability of an engine at the time of a decision.
struct engine_snapshot
{
    endpoint_id id;
    service_id service;
    socket_address address;
    engine_stage stage = engine_stage::decode;
    endpoint_start_time startTime;
    /// The engine serves requests, or will do so after its pause.
    bool isUsable = true;
    /// The engine may be called at present. Calls that order a change count as requests to an engine that is pausing.
    bool mayBeCalled = true;
};

engine_snapshot snapshotOf(const endpoint_entry &entry, const endpoint_availability &availability);

/// An order for an engine to change its stage.
struct stage_change
{
    engine_snapshot endpoint;
    engine_stage to = engine_stage::decode;
};

/// Decides which engine should change its stage, so that the prefill and decode pools match the load: a prefill uses a whole engine for a
/// tenth of a second, a decode uses a tenth of an engine's memory for seconds. Does no I/O. Used only by the holder of stage control.
class stage_balancer
{
public:
    /// Percentage of a service's engines that should be in the prefill stage; 0 turns balancing off.
    explicit stage_balancer(std::int64_t prefillPercent);

    /// The next change for the listed engines, if one is needed. Changes that were ordered recently count as made.
    std::optional<stage_change> next(const std::vector<engine_snapshot> &endpoints, instant now);
    /// Records that the change was ordered. The engine may carry it out seconds later, even when it did not respond to the order.
    void noteOrdered(const stage_change &change, instant now);

private:
    struct pending
    {
        engine_stage to = engine_stage::decode;
        deadline until;
    };

    std::int64_t m_prefillPercent;
    std::map<endpoint_id, pending> m_pending;
    /// Since when the pools of a service have been unbalanced.
    std::map<service_id, instant> m_unbalancedSince;
};

} // namespace burdockshelf
