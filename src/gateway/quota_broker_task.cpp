#include "gateway/quota_broker_task.h"

#include "gateway/group_task.h"

#include <cmath>
#include <utility>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

// A reachable holder responds within a few milliseconds; requests cannot wait for an unreachable one.
constexpr milliseconds peerRequestTimeout {100};
// The holder stops using its partitions before the store may assign them to another instance, whose clock may run slightly faster.
constexpr milliseconds leaseMargin {300};

// Each workspace renews its lease about once a second.
constexpr milliseconds leaseLineInterval {10'000};

token_count roundedCost(double cost)
{
    return token_count(std::llround(cost));
}

// What is given to another instance is rounded down, so that no tokens are created.
token_count roundedDown(double amount)
{
    return token_count(static_cast<std::int64_t>(std::floor(amount)));
}

double toCost(token_count amount)
{
    return static_cast<double>(amount.value());
}

peer_message toMessage(const workspace_id &workspace, const pool_ask &ask)
{
    const lease_report &lease = ask.lease;
    return peer_pool_request {
        workspace, roundedCost(ask.cost), roundedDown(lease.returned), roundedCost(lease.spent), roundedDown(lease.givenUpRate)};
}

pool_ask fromMessage(const peer_pool_request &request)
{
    return {toCost(request.cost), {toCost(request.returned), toCost(request.spent), toCost(request.givenUpRate)}};
}

peer_message toMessage(const pool_response &response)
{
    peer_pool_response message {response.isHolder, response.isGranted, response.retryAfter, response.isFirstPeriod};
    if (const auto &lease = response.lease) {
        message.lease = {roundedDown(lease->rate),
                         roundedDown(lease->burst),
                         lease->validFor,
                         roundedCost(lease->workspaceRate),
                         roundedCost(lease->workspaceBurst)};
    }
    return message;
}

pool_response fromMessage(const peer_pool_response &message)
{
    pool_response response {message.isHolder, message.isGranted, message.retryAfter};
    response.isFirstPeriod = message.isFirstPeriod;
    if (const auto &lease = message.lease) {
        response.lease = {
            toCost(lease->rate), toCost(lease->burst), lease->validFor, toCost(lease->workspaceRate), toCost(lease->workspaceBurst)};
    }
    return response;
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
    , m_broker(m_settings.instance, m_settings.tolerance, m_settings.partitions)
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

void quota_broker_task::apply(const quota_request &request)
{
    const pending_quota_request pending = {request.flow, request.workspace, request.cost, {}, {}};
    handleDecision(pending, m_broker.ask(request.workspace, request.cost, boot_clock::now()));
}

void quota_broker_task::apply(const quota_returned &returned)
{
    if (const auto chargedHolder = m_broker.refundCost(returned.grant)) {
        // No exchange is pending for the response; if the refund is lost, the pool only has fewer tokens.
        post(*chargedHolder, 0, peer_pool_refund {returned.grant.workspace, roundedCost(returned.grant.cost)});
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
    if (confirmed.quotaPartitions != m_heldPartitions) {
        m_heldPartitions = confirmed.quotaPartitions;
        m_log.write(log_line("quotas", "parts_held").add("count", m_heldPartitions.size()).add("generation", confirmed.generation));
    }
}

void quota_broker_task::apply(const peer_response &response)
{
    const auto found = m_pending.find(response.exchange);
    if (found == m_pending.end()) {
        return;
    }
    const pending_quota_request request = found->second;
    m_pending.erase(found);
    std::optional<pool_response> decision;
    if (response.answer) {
        if (const auto *poolResponse = std::get_if<peer_pool_response>(&response.answer.value())) {
            decision = fromMessage(*poolResponse);
        }
    } else {
        m_log.write(log_line("quotas", "holder_silent")
                        .add("holder", response.from)
                        .add("cause", response.answer.error().message)
                        .add("leased_rate", static_cast<std::int64_t>(m_broker.leasedRate(request.workspace, boot_clock::now()))));
    }
    const instant now = boot_clock::now();
    if (decision) {
        m_broker.acceptLease(request.workspace, request.holder, *decision, request.sentAt, now);
        logLease(request, *decision, now);
    }
    handleDecision(request, m_broker.applyHolderResponse(request.workspace, request.cost, request.holder, decision, now));
}

void quota_broker_task::apply(const peer_message_received &received)
{
    peer_message reply = acknowledgement {};
    if (const auto *request = std::get_if<peer_pool_request>(&received.message)) {
        reply = toMessage(m_broker.grantFromPool(request->workspace, received.from.instance, fromMessage(*request), boot_clock::now()));
    } else if (const auto *returned = std::get_if<peer_pool_refund>(&received.message)) {
        m_broker.acceptRefund(returned->workspace, static_cast<double>(returned->cost.value()));
    }
    noteUndelivered(received.reply.post(std::move(reply)), "peer");
}

void quota_broker_task::apply(const peer_status &status)
{
    m_log.write(log_line("quotas", status.isUp ? "holder_regained" : "holder_lost").add("holder", status.who.instance));
}

void quota_broker_task::handleDecision(const pending_quota_request &request, const quota_decision &decision)
{
    std::visit([&](const auto &typed) { perform(request, typed); }, decision);
    if (m_broker.needsHolderRefresh()) {
        requestHolders();
    }
}

void quota_broker_task::perform(const pending_quota_request &request, const quota_granted &granted)
{
    if (granted.grant.leased > 0.0) {
        count("quota_tokens_total", "source", "lease", static_cast<std::uint64_t>(granted.grant.leased));
    }
    const std::string_view payer = granted.grant.chargedHolder ? "pool" : "share";
    count("quota_tokens_total", "source", payer, static_cast<std::uint64_t>(granted.grant.cost - granted.grant.leased));
    respond(request.flow, granted);
}

void quota_broker_task::perform(const pending_quota_request &request, const quota_pending &asked)
{
    const std::uint64_t exchange = ++m_lastExchange;
    pending_quota_request waiting = request;
    waiting.holder = asked.holder;
    // Taken before the message is sent, because the holder counts the lease from its response.
    waiting.sentAt = boot_clock::now();
    m_pending.emplace(exchange, std::move(waiting));
    post(asked.holder, exchange, toMessage(request.workspace, asked.ask));
}

void quota_broker_task::perform(const pending_quota_request &request, const quota_refused &refused)
{
    count("quota_refusals_total", "cause", quotaRefusalCauseName(refused.cause), 1);
    respond(request.flow, refused);
}

void quota_broker_task::count(std::string name, std::string label, std::string_view value, std::uint64_t amount)
{
    if (amount == 0) {
        return;
    }
    metric_batch batch;
    batch.counters.push_back({{std::move(name), {{std::move(label), std::string(value)}}}, amount});
    static_cast<void>(m_to.metrics.post(std::move(batch)));
}

void quota_broker_task::logLease(const pending_quota_request &request, const pool_response &response, instant now)
{
    if (!response.lease || !m_nextLeaseLine.hasPassed(now)) {
        return;
    }
    m_nextLeaseLine = deadline::after(now, leaseLineInterval);
    m_log.write(log_line("quotas", "lease_granted")
                    .add("workspace", request.workspace)
                    .add("holder", request.holder.instance)
                    .add("rate", static_cast<std::int64_t>(response.lease->rate))
                    .add("burst", static_cast<std::int64_t>(response.lease->burst))
                    .add("valid_ms", response.lease->validFor));
}

void quota_broker_task::respond(flow_id flow, std::variant<quota_granted, quota_refused> decision)
{
    noteUndelivered(m_to.dispatcher.post(quota_response {flow, std::move(decision)}), "dispatcher");
}

void quota_broker_task::post(const peer_instance &to, std::uint64_t exchange, peer_message message)
{
    peer_request send;
    send.exchange = exchange;
    send.message = std::move(message);
    send.until = deadline::after(boot_clock::now(), peerRequestTimeout);
    send.reply = makeSink<peer_response>(self());
    if (m_to.mesh.post(peer_envelope {to.instance, std::move(send)}) != post_result::delivered) {
        // The mesh responds to every message that it accepts; for this one the failure has to be reported here.
        apply(peer_response {exchange, to.instance, failure(error_code::overloaded, "the mesh's mailbox is full")});
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
