#pragma once

#include "policy/slot_ledger.h"
#include "routing/routing_messages.h"
#include "routing/status_messages.h"
#include "routing/status_reporter.h"
#include "runtime/task.h"
#include "runtime/timer.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace burdockshelf
{

struct slot_task_settings
{
    slot_ledger_settings ledger;
    /// Time between two load queries to an endpoint that this member owns.
    std::chrono::milliseconds loadInterval {500};
    /// Time between two lists of held slots to the owners.
    std::chrono::milliseconds holdingsInterval {30000};
    /// Longest time for the answer to a return or a list.
    std::chrono::milliseconds messageTimeout {2000};
    /// Tries of a return. Later the next list of held slots tells the owner.
    int returnTries = 5;
    /// Shortest time between two reports of the owned endpoints.
    std::chrono::milliseconds reportInterval {1000};
};

/// Gets slots of endpoints for this instance's requests, from this member itself or from the member that owns the endpoint, and keeps the
/// ledger of the endpoints that this member owns.
class slot_task : public task<slot_task_message>
{
public:
    slot_task(event_loop &loop,
              std::shared_ptr<mailbox<slot_task_message>> box,
              roster_member self,
              sink<peer_envelope> peers,
              sink<endpoint_envelope> endpoints,
              slot_task_settings settings = {},
              sink<owned_endpoints_report> reports = {});

    outcome<void> start() override;

protected:
    void handle(slot_task_message &&message) override;

private:
    /// The member that owns an endpoint, at an epoch of the endpoint's data centre.
    struct owner
    {
        roster_member member;
        roster_epoch epoch;
    };

    /// An ask to another member.
    struct pending_ask
    {
        slot_request request;
        bool isReleased = false;
    };

    /// A return that the owner has not confirmed.
    struct pending_return
    {
        slot_release release;
        int triesLeft = 0;
    };

    void take(const view_changed &change);
    void take(const authority_changed &change);
    void take(const slot_request &request);
    void take(const slot_release &release);
    void take(const load_report &report);
    void take(const endpoint_unreachable &report);
    void take(const peer_message_received &received);
    void take(const peer_response &answer);
    void take(const peer_status &status);

    peer_message answer(const peer &from, const peer_slot_request &ask);
    peer_message answer(const peer &from, const peer_slot_release &given);
    peer_message answer(const peer &from, const slot_holdings &holdings);
    template<typename Other>
    peer_message answer(const peer &from, const Other &message);

    void askOwner(const slot_request &request, const owner &at);
    void askEnded(const pending_ask &ask, const outcome<peer_message> &result);
    void decide(const slot_request &request, const slot_load &load);
    void returnSlot(pending_return given);
    void refreshOwnership();
    void releaseOrphanedSlots();
    void tick();
    void sendHoldings();
    owned_endpoint describe(const endpoint_id &endpoint) const;
    void noteDifference(const owned_endpoint &before);
    bool report();
    bool postToPeer(const owner &to, std::uint64_t exchange, peer_message message, deadline until);

    const std::vector<roster_member> &membersOf(const data_centre_id &dataCentre) const;
    roster_epoch epochOf(const data_centre_id &dataCentre) const;
    std::optional<owner> ownerOfEndpoint(const endpoint_id &endpoint) const;
    std::set<incarnation_id> livingMembers() const;
    bool hasAuthority(instant now) const;
    deadline messageDeadline() const;

    roster_member m_self;
    sink<peer_envelope> m_peers;
    sink<endpoint_envelope> m_endpoints;
    sink<owned_endpoints_report> m_reports;
    slot_task_settings m_settings;
    state_view_ptr m_view = std::make_shared<state_view>();
    std::shared_ptr<const decision_authority> m_authority = std::make_shared<decision_authority>();
    slot_ledger m_ledger;
    roster_epoch m_ownedEpoch {-1};
    std::set<held_slot> m_held;
    std::map<std::uint64_t, pending_ask> m_asks;
    std::map<std::uint64_t, pending_return> m_returns;
    std::vector<pending_return> m_returnsToRepeat;
    std::set<std::uint64_t> m_lists;
    // Owners that may have granted slots since the last list, also by grants whose answer was lost.
    std::map<roster_member, roster_epoch> m_askedOwners;
    std::uint64_t m_lastExchange = 0;
    deadline m_nextHoldings;
    // Owned endpoints that did not answer the last load query.
    std::set<endpoint_id> m_unreachable;
    std::optional<owned_endpoints_report> m_reported;
    status_reporter m_reporter;
    timer m_tick;
};

} // namespace burdockshelf
