#pragma once

#include "policy/claim_ledger.h"
#include "routing/routing_messages.h"
#include "runtime/task.h"
#include "runtime/timer.h"

#include <map>
#include <memory>

namespace burdockshelf
{

/// Decides which non-idempotent calls of this instance may be dispatched, by means of claims in the platform's log. Executes the decisions
/// of claim_ledger.
class claim_task : public task<claim_task_message>
{
public:
    claim_task(event_loop &loop, std::shared_ptr<mailbox<claim_task_message>> box, claim_ledger ledger, sink<append_request> log);

    outcome<void> start() override;

protected:
    void handle(claim_task_message &&message) override;

private:
    void receive(const view_changed &changed);
    void receive(const authority_changed &changed);
    void receive(const claims_changed &changed);
    void receive(claim_request &&request);
    void receive(claim_end &&end);
    void receive(const append_result &result);

    void executeActions(claim_ledger_actions actions);
    void executeAction(decide_claim &&action);
    void executeAction(append_claims &&action);
    void tick();

    claim_ledger m_ledger;
    sink<append_request> m_log;
    std::map<request_id, sink<claim_decision>> m_replies;
    timer m_timer;
};

} // namespace burdockshelf
