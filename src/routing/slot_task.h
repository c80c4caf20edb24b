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
    /// Interval between load queries to an endpoint that this member owns.
    std::chrono::milliseconds loadInterval {500};
    /// Interval between two lists of held slots, which are sent to the owners of the endpoints.
    std::chrono::milliseconds holdingsInterval {30000};
    /// Timeout of the response to a slot release or to a list of held slots.
    std::chrono::milliseconds messageTimeout {2000};
    /// Maximum number of attempts to release a slot. After that the owner learns of the release by the next list of held slots.
    int maxReleaseAttempts = 5;
    /// Minimum interval between two reports of the owned endpoints.
    std::chrono::milliseconds reportInterval {1000};
};

/// Acquires endpoint slots for the requests of this instance, from its own ledger or from the member that owns the endpoint, and keeps the
/// slot ledger of the endpoints that this member owns.
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
    /// The member that owns an endpoint, at a roster epoch of the endpoint's data centre.
    struct owner
    {
        roster_member member;
        roster_epoch epoch;
    };

    /// A slot request to another member.
    struct pending_request
    {
        slot_request request;
        bool isReleased = false;
    };

    /// A slot release that the owner has not confirmed.
    struct pending_release
    {
        slot_release release;
        int attemptsLeft = 0;
    };

    void receive(const view_changed &change);
    void receive(const authority_changed &change);
    void receive(const slot_request &request);
    void receive(const slot_release &release);
    void receive(const load_report &report);
    void receive(const endpoint_unreachable &report);
    void receive(const peer_message_received &received);
    void receive(const peer_response &response);
    void receive(const peer_status &status);

    peer_message answer(const peer &from, const peer_slot_request &request);
    peer_message answer(const peer &from, const peer_slot_release &release);
    peer_message answer(const peer &from, const slot_holdings &holdings);
    template<typename Other>
    peer_message answer(const peer &from, const Other &message);

    void requestFromOwner(const slot_request &request, const owner &to);
    void finishOwnerRequest(const pending_request &pending, const outcome<peer_message> &result);
    void answerRequest(const slot_request &request, const slot_load &load);
    void releaseAtOwner(pending_release pending);
    void refreshOwnership();
    void releaseOrphanedSlots();
    void tick();
    void sendHoldings();
    owned_endpoint describe(const endpoint_id &endpoint) const;
    void noteChangeSince(const owned_endpoint &before);
    bool report();
    bool postToPeer(const owner &to, std::uint64_t exchange, peer_message message, deadline until);

    const std::vector<roster_member> &membersOf(const data_centre_id &dataCentre) const;
    roster_epoch epochOf(const data_centre_id &dataCentre) const;
    std::optional<owner> ownerOfEndpoint(const endpoint_id &endpoint) const;
    std::set<incarnation_id> liveIncarnations() const;
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
    std::map<std::uint64_t, pending_request> m_pendingRequests;
    std::map<std::uint64_t, pending_release> m_pendingReleases;
    std::vector<pending_release> m_releasesToRetry;
    std::set<std::uint64_t> m_pendingLists;
    // Owners that may have granted slots since the last list, including grants whose response was lost.
    std::map<roster_member, roster_epoch> m_askedOwners;
    std::uint64_t m_lastExchange = 0;
    deadline m_nextHoldings;
    // Owned endpoints that did not answer the last load query.
    std::set<endpoint_id> m_unreachable;
    std::optional<owned_endpoints_report> m_reported;
    status_reporter m_reporter;
    timer m_tickTimer;
};

} // namespace burdockshelf
