#pragma once

#include "core/random_source.h"
#include "policy/quota_ledger.h"
#include "routing/routing_messages.h"
#include "runtime/task.h"
#include "runtime/timer.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace burdockshelf
{

/// Grants or refuses charges from its quota ledger, borrows tokens from other instances when the ledger is short, and lends tokens to them.
/// A charge waits for loans until its deadline at most.
class quota_task : public task<quota_task_message>
{
public:
    using clock = std::function<instant()>;

    quota_task(event_loop &loop,
               std::shared_ptr<mailbox<quota_task_message>> box,
               quota_settings settings,
               std::unique_ptr<const quota_strategy> strategy,
               sink<peer_envelope> peers,
               random_source random,
               clock now = &boot_clock::now);

    outcome<void> start() override;
    void beginShutdown() override;

private:
    /// A charge that waits for loans. The lenders are asked one after the other.
    struct waiting_charge
    {
        charge_request request;
        std::vector<outgoing_loan_request> lenders;
        std::size_t askedLenders = 0;
        std::uint64_t exchange = 0;
        instant askedAt;
    };

    using waiting_list = std::deque<waiting_charge>;

    void handle(quota_task_message &&message) override;
    void receive(const view_changed &changed);
    void receive(const authority_changed &changed);
    void receive(const charge_request &request);
    void receive(const charge_settlement &settlement);
    void receive(const peer_message_received &received);
    void receive(const peer_response &response);
    void receive(const peer_status &status);

    bool tryCharge(const charge_request &request);
    void askNextLender(waiting_charge &charge);
    void retryWaiting(const workspace_id &workspace);
    void refuse(const charge_request &request);
    void refuseExpired();
    void sendRefunds(const std::vector<outgoing_loan_refund> &refunds);
    void armTimer();

    std::unique_ptr<const quota_strategy> m_strategy;
    quota_ledger m_ledger;
    sink<peer_envelope> m_peers;
    clock m_now;
    timer m_deadlineTimer;
    waiting_list m_waiting;
    std::uint64_t m_nextExchange = 1;
};

} // namespace burdockshelf
