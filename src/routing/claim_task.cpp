#include "routing/claim_task.h"

#include <set>
#include <utility>

#include <glog/logging.h>

namespace burdockshelf
{

namespace
{

// A longer answer is recorded without its body; a request that is sent again then learns the status alone.
constexpr std::size_t maxRecordedBody = 64 * 1024;

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
    std::visit([this](auto &&typed) { take(std::forward<decltype(typed)>(typed)); }, std::move(message));
    tick();
}

void claim_task::take(const view_changed &changed)
{
    std::set<incarnation_id> alive;
    for (const auto &[dataCentre, roster] : changed.view->rosters) {
        for (const roster_member &member : roster.members) {
            alive.insert(member.incarnation);
        }
    }
    m_ledger.setLiveIncarnations(std::move(alive));
}

void claim_task::take(const authority_changed & /*changed*/)
{
}

void claim_task::take(const claims_changed &changed)
{
    perform(m_ledger.claimsReplayed(changed.states, changed.expired, boot_clock::now()));
}

void claim_task::take(claim_request &&wanted)
{
    m_replies.insert_or_assign(wanted.wanted.request, std::move(wanted.reply));
    perform(m_ledger.requestClaim(wanted.wanted, wanted.until, boot_clock::now()));
}

void claim_task::take(claim_end &&ended)
{
    if (ended.ended.body.size() > maxRecordedBody) {
        ended.ended.body.clear();
        ended.ended.contentType.clear();
    }
    m_replies.erase(ended.ended.request);
    perform(m_ledger.end(std::move(ended.ended), boot_clock::now()));
}

void claim_task::take(const append_result &result)
{
    if (!result.result) {
        VLOG(1) << "routing: append of claims " << result.id << " has no known result: " << result.result.error() << ".";
    }
}

void claim_task::perform(claim_ledger_actions actions)
{
    for (claim_ledger_action &action : actions) {
        std::visit([this](auto &&typed) { carryOut(std::forward<decltype(typed)>(typed)); }, std::move(action));
    }
}

void claim_task::carryOut(decide_claim &&action)
{
    const auto reply = m_replies.find(action.request);
    if (reply == m_replies.end()) {
        return;
    }
    const post_result posted = reply->second.post({action.request, action.id, action.result, std::move(action.ended)});
    m_replies.erase(reply);
    if (posted == post_result::full && action.result == claim_result::won) {
        // The request never learns that it has won, so it is never dispatched.
        LOG(WARNING) << "routing: request " << action.request << ": the claim's result could not be delivered.";
        perform(m_ledger.abandonClaim(action.request));
    }
}

void claim_task::carryOut(append_claims &&action)
{
    append_request append;
    append.id = std::move(action.id);
    append.record = std::move(action.record);
    append.reply = makeSink<append_result>(self());
    if (m_log.post(std::move(append)) != post_result::delivered) {
        VLOG(1) << "routing: the log's task is behind; the append of claims is tried again.";
    }
}

void claim_task::tick()
{
    perform(m_ledger.tick(boot_clock::now(), unixTime()));
    const deadline next = m_ledger.nextTick();
    if (next != m_timer.at()) {
        m_timer.start(next);
    }
}

} // namespace burdockshelf
