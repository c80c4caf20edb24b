#pragma once

#include "policy/roster_authority.h"
#include "routing/routing_messages.h"
#include "runtime/task.h"
#include "runtime/timer.h"

#include <functional>
#include <map>
#include <vector>

namespace burdockshelf
{

/// The sinks that roster_task posts to.
struct roster_task_sinks
{
    address<log_task_message> log;
    sink<peer_envelope> peers;
    std::vector<sink<authority_changed>> authority;
};

/// Passes log reads, instance lists and peer responses to roster_authority and executes the actions that it returns. The shutdown finishes
/// once this incarnation is in no roster, or after a timeout.
class roster_task : public task<roster_task_message>
{
public:
    using clock = std::function<instant()>;

    roster_task(event_loop &loop,
                std::shared_ptr<mailbox<roster_task_message>> box,
                data_centre_id dataCentre,
                roster_member self,
                roster_settings settings,
                roster_task_sinks sinks,
                random_source random,
                clock now = &boot_clock::now);

    outcome<void> start() override;
    void beginShutdown() override;

private:
    struct pending_request
    {
        instance_id to;
        instant sentAt;
    };

    void handle(roster_task_message &&message) override;
    void receive(const view_changed &changed);
    void receive(const log_batch &batch);
    void receive(const log_unreachable &outage);
    void receive(const instance_list &list);
    void receive(const append_result &result);
    void receive(const peer_message_received &received);
    void receive(const peer_response &response);
    void receive(const peer_status &status);
    void receive(const leave_roster &leave);
    void receive(const replay_advanced &advanced);

    void handleEvent(const roster_event &event, const peer_message_received *requester = nullptr);
    void executeAction(const roster_append &append, const peer_message_received *requester);
    void executeAction(const roster_request_freshness &request, const peer_message_received *requester);
    void executeAction(const roster_respond_freshness &answer, const peer_message_received *requester);
    void executeAction(const roster_left &left, const peer_message_received *requester);
    void publish();
    void tick();
    void finishShutdown();

    data_centre_id m_dataCentre;
    roster_settings m_settings;
    roster_authority m_authority;
    roster_task_sinks m_sinks;
    random_source m_random;
    clock m_now;
    timer m_tickTimer;
    // Roster of this instance's data centre in the last view.
    roster_state m_roster;
    decision_authority m_published;
    bool m_isPublished = false;
    std::map<std::uint64_t, pending_request> m_pendingRequests;
    std::uint64_t m_nextExchange = 0;
    deadline m_shutdownDeadline = deadline::never();
    bool m_isShuttingDown = false;
};

} // namespace burdockshelf
