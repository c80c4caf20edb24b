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

/// What roster_task sends to others.
struct roster_outlets
{
    address<log_task_message> log;
    sink<peer_envelope> peers;
    std::vector<sink<authority_changed>> authority;
};

/// Feeds roster_authority with reads, lists and answers, and carries out what it decides. Its shutdown ends once this incarnation is in no
/// roster, or when the time for it is over.
class roster_task : public task<roster_task_message>
{
public:
    using clock = std::function<instant()>;

    roster_task(event_loop &loop,
                std::shared_ptr<mailbox<roster_task_message>> box,
                data_centre_id dataCentre,
                roster_member self,
                roster_settings settings,
                roster_outlets outlets,
                random_source random,
                clock now = &boot_clock::now);

    outcome<void> start() override;
    void beginShutdown() override;

private:
    struct pending_ask
    {
        instance_id to;
        instant at;
    };

    void handle(roster_task_message &&message) override;
    void on(const view_changed &changed);
    void on(const log_batch &batch);
    void on(const log_unreachable &lost);
    void on(const instance_list &list);
    void on(const append_result &result);
    void on(const peer_message_received &received);
    void on(const peer_response &answer);
    void on(const peer_status &status);
    void on(const leave_roster &leave);
    void on(const replay_advanced &advanced);

    void feed(const roster_event &event, const peer_message_received *asker = nullptr);
    void act(const roster_append &append, const peer_message_received *asker);
    void act(const roster_request_freshness &ask, const peer_message_received *asker);
    void act(const roster_respond_freshness &answer, const peer_message_received *asker);
    void act(const roster_left &left, const peer_message_received *asker);
    void publish();
    void tick();
    void endShutdown();

    data_centre_id m_dataCentre;
    roster_settings m_settings;
    roster_authority m_authority;
    roster_outlets m_outlets;
    random_source m_random;
    clock m_now;
    timer m_tick;
    // The own data centre's roster as of the last view.
    roster_state m_roster;
    decision_authority m_published;
    bool m_isPublished = false;
    std::map<std::uint64_t, pending_ask> m_asks;
    std::uint64_t m_nextExchange = 0;
    deadline m_shutdownUntil = deadline::never();
    bool m_isShuttingDown = false;
};

} // namespace burdockshelf
