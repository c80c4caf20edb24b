#pragma once

#include "core/deadline.h"
#include "forwarding/endpoint_entry.h"

#include <map>
#include <optional>
#include <vector>

namespace burdockshelf
{

/// An engine as the balance of stages sees it.
struct engine_snapshot
{
    endpoint_id id;
    service_id service;
    socket_address address;
    engine_stage stage = engine_stage::decode;
    bool isUsable = true;
};

/// A change of an engine's stage.
struct stage_change
{
    engine_snapshot endpoint;
    engine_stage to = engine_stage::decode;
};

/// Decides which engine should change its stage, so that the pools match what requests need: reading a prompt takes a tenth of a second of
/// a whole engine, generating holds a tenth of an engine's memory for seconds. A pure value, used by the holder of the duty only.
class stage_balancer
{
public:
    /// The part of a service's engines that should read prompts, in percent; 0 orders nothing.
    explicit stage_balancer(std::int64_t prefillPercent);

    /// The next change, if any, for what is listed now. Changes that were ordered lately count as made.
    std::optional<stage_change> next(const std::vector<engine_snapshot> &endpoints, instant now);
    /// The change was ordered. It may be carried out seconds later, also when no answer came.
    void noteOrdered(const stage_change &change, instant now);

private:
    struct pending
    {
        engine_stage to = engine_stage::decode;
        deadline until;
    };

    std::int64_t m_prefillPercent;
    std::map<endpoint_id, pending> m_pending;
    /// Since when a service's pools have been off balance.
    std::map<service_id, instant> m_offSince;
};

} // namespace burdockshelf
