#include "routing/claim_task.h"

#include <set>
#include <utility>

#include <glog/logging.h>

namespace burdockshelf
{

namespace
{

// Longer responses are recorded without their body; a repeated request with the same idempotency key then gets the status only.
constexpr std::size_t maxRecordedBodyBytes = 64 * 1024;

} // namespace

claim_task::claim_task(event_loop &loop, std::shared_ptr<mailbox<claim_task_message>> box, claim_ledger ledger, sink<append_request> log)
    : task(std::move(box))
    , m_ledger(std::move(ledger))
    , m_log(std::move(log))
    , m_timer(loop, [this] { tick(); })
{
}

outcome<void> claim_task::start()
{
    return success();
}

void claim_task::handle(claim_task_message &&message)
{
    std::visit([this](auto &&typed) { receive(std::forward<decltype(typed)>(typed)); }, std::move(message));
    tick();
}

void claim_task::receive(const view_changed &changed)
{
    std::set<incarnation_id> liveIncarnations;
    for (const auto &[dataCentre, roster] : changed.view->rosters) {
        for (const roster_member &member : roster.members) {
            liveIncarnations.insert(member.incarnation);
        }
    }
    m_ledger.setLiveIncarnations(std::move(liveIncarnations));
}

void claim_task::receive(const authority_changed & /*changed*/)
{
}

void claim_task::receive(const claims_changed &changed)
{
    executeActions(m_ledger.claimsReplayed(changed.states, changed.expired, boot_clock::now()));
}

void claim_task::receive(claim_request &&request)
{
    m_replies.insert_or_assign(request.requestedClaim.request, std::move(request.reply));
    executeActions(m_ledger.requestClaim(request.requestedClaim, request.until, boot_clock::now()));
}

void claim_task::receive(claim_end &&end)
{
    if (end.claimOutcome.body.size() > maxRecordedBodyBytes) {
        end.claimOutcome.body.clear();
        end.claimOutcome.contentType.clear();
    }
    m_replies.erase(end.claimOutcome.request);
    executeActions(m_ledger.end(std::move(end.claimOutcome), boot_clock::now()));
}

void claim_task::receive(const append_result &result)
{
    if (!result.result) {
        VLOG(1) << "routing: the append of claims record " << result.id << " has an unknown result: " << result.result.error() << ".";
    }
}

void claim_task::executeActions(claim_ledger_actions actions)
{
    for (claim_ledger_action &action : actions) {
        std::visit([this](auto &&typed) { executeAction(std::forward<decltype(typed)>(typed)); }, std::move(action));
    }
}

void claim_task::executeAction(decide_claim &&action)
{
    const auto reply = m_replies.find(action.request);
    if (reply == m_replies.end()) {
        return;
    }
    const post_result posted = reply->second.post({action.request, action.id, action.result, std::move(action.ended)});
    m_replies.erase(reply);
    if (posted == post_result::full && action.result == claim_result::won) {
        // The router is not told that the claim was won, so the request is never dispatched and its claim is released.
        LOG(WARNING) << "routing: request " << action.request << ": could not deliver the won claim to the router; releasing the claim.";
        executeActions(m_ledger.abandonClaim(action.request));
    }
}

void claim_task::executeAction(append_claims &&action)
{
    append_request append;
    append.id = std::move(action.id);
    append.record = std::move(action.record);
    append.reply = makeSink<append_result>(self());
    if (m_log.post(std::move(append)) != post_result::delivered) {
        VLOG(1) << "routing: could not post an append of claims to log_task; retrying.";
    }
}

void claim_task::tick()
{
    executeActions(m_ledger.tick(boot_clock::now(), unixTime()));
    const deadline next = m_ledger.nextTick();
    if (next != m_timer.at()) {
        m_timer.start(next);
    }
}

} // namespace burdockshelf
