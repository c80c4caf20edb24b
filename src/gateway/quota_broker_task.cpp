#include "gateway/quota_broker_task.h"

#include "gateway/group_task.h"

#include <cmath>
#include <utility>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

// A holder that is reached answers within a few milliseconds; a request cannot wait for one that is not.
constexpr milliseconds peerRequestTimeout {100};
// The holder stops before the store may deal its parts to another, whose clock may run a little faster.
constexpr milliseconds leaseMargin {300};

token_count unitsOf(double cost)
{
    return token_count(std::llround(cost));
}

} // namespace

quota_broker_task::quota_broker_task(std::shared_ptr<mailbox<quota_broker_message>> box,
                                     quota_broker_settings settings,
                                     quota_broker_addresses to,
                                     event_log log)
    : task(std::move(box))
    , m_settings(std::move(settings))
    , m_to(std::move(to))
    , m_log(std::move(log))
    , m_broker(m_settings.instance, m_settings.tolerance, m_settings.parts)
{
}

outcome<void> quota_broker_task::start()
{
    return success();
}

void quota_broker_task::handle(quota_broker_message &&message)
{
    std::visit([this](const auto &typed) { apply(typed); }, message);
}

void quota_broker_task::apply(const quotas_changed &change)
{
    m_broker.setPlan(change.plan->plan(), boot_clock::now());
}

void quota_broker_task::apply(const instance_count_changed &change)
{
    m_broker.setInstanceCount(change.count, boot_clock::now());
}

void quota_broker_task::apply(const quota_request &ask)
{
    const pending_ask pending = {ask.flow, ask.workspace, ask.cost, {}};
    act(pending, m_broker.ask(ask.workspace, ask.cost, boot_clock::now()));
}

void quota_broker_task::apply(const quota_returned &returned)
{
    if (const auto chargedHolder = m_broker.refundCost(returned.grant)) {
        // Nobody waits for the answer; tokens that are lost on the way only make the pool smaller.
        post(*chargedHolder, 0, peer_pool_refund {returned.grant.workspace, unitsOf(returned.grant.cost)});
    }
}

void quota_broker_task::apply(const holders_listed &listed)
{
    m_broker.setHolders(listed.holders);
}

void quota_broker_task::apply(const assignment_confirmed &confirmed)
{
    const deadline until = deadline::after(confirmed.sentAt, group_task::sessionTimeout - leaseMargin);
    m_broker.setHeldPartitions(confirmed.quotaPartitions, until, boot_clock::now());
    if (confirmed.quotaPartitions != m_held) {
        m_held = confirmed.quotaPartitions;
        m_log.write(log_line("quotas", "parts_held").add("count", m_held.size()).add("generation", confirmed.generation));
    }
}

void quota_broker_task::apply(const peer_response &answer)
{
    const auto found = m_pending.find(answer.exchange);
    if (found == m_pending.end()) {
        return;
    }
    const pending_ask ask = found->second;
    m_pending.erase(found);
    std::optional<pool_response> verdict;
    if (answer.answer) {
        if (const auto *said = std::get_if<peer_pool_response>(&answer.answer.value())) {
            verdict = pool_response {said->isHolder, said->isGranted, said->retryAfter};
        }
    } else {
        m_log.write(log_line("quotas", "holder_silent").add("holder", answer.from).add("cause", answer.answer.error().message));
    }
    act(ask, m_broker.applyHolderResponse(ask.workspace, ask.cost, ask.holder, verdict, boot_clock::now()));
}

void quota_broker_task::apply(const peer_message_received &received)
{
    peer_message reply = acknowledgement {};
    if (const auto *ask = std::get_if<peer_pool_request>(&received.message)) {
        const auto cost = static_cast<double>(ask->cost.value());
        const pool_response verdict = m_broker.grantFromPool(ask->workspace, cost, boot_clock::now());
        reply = peer_pool_response {verdict.isHolder, verdict.isGranted, verdict.retryAfter};
    } else if (const auto *returned = std::get_if<peer_pool_refund>(&received.message)) {
        m_broker.acceptRefund(returned->workspace, static_cast<double>(returned->cost.value()));
    }
    noteUndelivered(received.reply.post(std::move(reply)), "peer");
}

void quota_broker_task::apply(const peer_status &status)
{
    m_log.write(log_line("quotas", status.isUp ? "holder_regained" : "holder_lost").add("holder", status.who.instance));
}

void quota_broker_task::act(const pending_ask &ask, const quota_decision &decision)
{
    std::visit([&](const auto &typed) { perform(ask, typed); }, decision);
    if (m_broker.needsHolderRefresh()) {
        requestHolders();
    }
}

void quota_broker_task::perform(const pending_ask &ask, const quota_granted &granted)
{
    answer(ask.flow, granted);
}

void quota_broker_task::perform(const pending_ask &ask, const quota_pending &asked)
{
    const std::uint64_t exchange = ++m_lastExchange;
    pending_ask waiting = ask;
    waiting.holder = asked.holder;
    m_pending.emplace(exchange, std::move(waiting));
    post(asked.holder, exchange, peer_pool_request {ask.workspace, unitsOf(ask.cost)});
}

void quota_broker_task::perform(const pending_ask &ask, const quota_refused &refused)
{
    answer(ask.flow, refused);
}

void quota_broker_task::answer(flow_id flow, std::variant<quota_granted, quota_refused> verdict)
{
    noteUndelivered(m_to.dispatcher.post(quota_response {flow, std::move(verdict)}), "dispatcher");
}

void quota_broker_task::post(const peer_instance &to, std::uint64_t exchange, peer_message message)
{
    peer_request send;
    send.exchange = exchange;
    send.message = std::move(message);
    send.until = deadline::after(boot_clock::now(), peerRequestTimeout);
    send.reply = makeSink<peer_response>(self());
    if (m_to.mesh.post(peer_envelope {to.instance, std::move(send)}) != post_result::delivered) {
        // The mesh answers every message that it has taken.
        apply(peer_response {exchange, to.instance, failure(error_code::overloaded, "the mesh is too far behind")});
    }
}

void quota_broker_task::requestHolders()
{
    noteUndelivered(m_to.group.post(holders_requested {}), "group");
}

void quota_broker_task::noteUndelivered(post_result result, std::string_view receiver)
{
    if (result != post_result::delivered) {
        m_log.write(log_line("quotas", "message_dropped").add("receiver", receiver));
    }
}

} // namespace burdockshelf
