#pragma once

#include "core/deadline.h"
#include "core/ids.h"
#include "core/units.h"
#include "policy/slow_start.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace burdockshelf
{

/// A slot of an endpoint and the request that holds it.
using held_slot = std::pair<endpoint_id, request_id>;

/// Load of an endpoint as known to its owner.
struct slot_load
{
    bool isGranted = false;
    slot_count used;
    slot_count limit;
};

struct slot_ledger_settings
{
    slow_start_settings slowStart;
    /// A member that does not repeat its holdings for this long loses its slots. Holdings are sent every 30 s, so one message may be lost;
    /// after two lost in a row, the lease ends before the next one is sent.
    std::chrono::milliseconds lease {75000};
    /// A grant younger than this is kept even if its member does not list it: the list may have been made before the grant arrived.
    std::chrono::milliseconds listingGracePeriod {5000};
};

/// The slots of the endpoints that this member owns: which request of which member incarnation holds a slot, and how many slots may be
/// granted. The limit is the smaller of the slow-start window and the number of slots that the endpoint reports.
class slot_ledger
{
public:
    explicit slot_ledger(slot_ledger_settings settings = {});

    /// Starts to own an endpoint, with a slow-start window of 1. Nothing is granted before grantsFrom, when the previous owner has
    /// certainly stopped. Has no effect on an endpoint that is already owned.
    void own(const endpoint_id &endpoint, slot_count configured, deadline grantsFrom);
    /// Stops owning an endpoint and drops its grants. The requests that hold them continue.
    void disown(const endpoint_id &endpoint);
    bool owns(const endpoint_id &endpoint) const;
    std::vector<endpoint_id> owned() const;

    /// Requests a slot. A request that is repeated by the same member gets the same slot.
    slot_load ask(const endpoint_id &endpoint, const incarnation_id &member, const request_id &request, instant now);
    /// Releases a slot. A repeated release, or one of an unknown slot, has no effect.
    void freeSlot(const endpoint_id &endpoint, const request_id &request, attempt_verdict verdict);
    /// Applies the complete list of the slots that a member holds. Listed slots count as used, even over the limit; older grants that are
    /// not listed are released.
    void applyHoldings(const incarnation_id &member, const std::vector<held_slot> &held, instant now);

    /// Releases the slots of members that are in no roster, and of those that have been silent for longer than the lease. Returns the
    /// requests to abort at the endpoints.
    std::vector<held_slot> releaseOrphanedSlots(const std::set<incarnation_id> &liveMembers, instant now);

    /// Takes the load that the endpoint itself reports, which lags.
    void observeLoad(const endpoint_id &endpoint, const incarnation_id &incarnation, slot_count used, slot_count total);
    /// The endpoint has not answered a load query.
    void observeFailure(const endpoint_id &endpoint);

    slot_load load(const endpoint_id &endpoint) const;
    /// True while slow start allows fewer requests than the endpoint has slots.
    bool isWarming(const endpoint_id &endpoint) const;

private:
    struct grant
    {
        incarnation_id member;
        std::uint64_t generation = 0;
        instant since;
        deadline leaseUntil;
    };

    struct endpoint_slots
    {
        slot_count total;
        deadline grantsFrom;
        slow_start window;
        std::map<request_id, grant> grants;
        /// Requests that run at the endpoint and match no known grant, for example those of a member that died together with the previous
        /// owner.
        slot_count unaccounted;
        /// Slots released since the last report, and between the last two reports. Reports lag by about one interval.
        slot_count releasesSinceReport;
        slot_count releasesBeforeReport;
    };

    static slot_load loadOf(const endpoint_slots &slots);
    void release(endpoint_slots &slots, std::map<request_id, grant>::iterator entry);

    slot_ledger_settings m_settings;
    std::map<endpoint_id, endpoint_slots> m_endpoints;
};

} // namespace burdockshelf
