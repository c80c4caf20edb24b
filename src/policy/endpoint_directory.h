#pragma once

#include "core/deadline.h"
#include "core/units.h"
#include "state/state_view.h"

#include <map>
#include <vector>

namespace burdockshelf
{

/// An endpoint that may receive new requests, with the load that its owner last reported.
struct endpoint_candidate
{
    endpoint_id id;
    bool isLocal = false;
    slot_count used;
    slot_count limit;
    /// The endpoint is not tried before this deadline, because it was full or failed.
    deadline retryAt;
};

/// The endpoints and their loads as known to an instance, for the placement of requests. This is the only place that determines whether an
/// endpoint may receive new requests: it must be configured, and neither it nor its data centre may be drained. Loads are hints; the owner
/// of the endpoint decides.
class endpoint_directory
{
public:
    explicit endpoint_directory(data_centre_id local);

    void setView(state_view_ptr view);
    /// Records the load that an owner has reported for its endpoint, and whether the owner refused a slot.
    void noteLoad(const endpoint_id &endpoint, slot_count used, slot_count limit, bool isRefused, instant now);
    /// Records that an attempt could not reach the endpoint or broke off.
    void noteFailure(const endpoint_id &endpoint, instant now);

    std::vector<endpoint_candidate> candidates(const service_id &service, endpoint_role role) const;

private:
    struct known_load
    {
        slot_count used;
        slot_count limit;
        deadline retryAt;
        int failures = 0;
    };

    struct pool_key
    {
        service_id service;
        endpoint_role role;

        friend auto operator<=>(const pool_key &, const pool_key &) = default;
    };

    data_centre_id m_local;
    state_view_ptr m_view;
    std::map<pool_key, std::vector<endpoint_id>> m_pools;
    std::map<endpoint_id, known_load> m_loads;
};

} // namespace burdockshelf
