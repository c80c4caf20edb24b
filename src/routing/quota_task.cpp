#include "routing/quota_task.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

namespace burdockshelf
{

namespace
{

// Limit on the charges that wait for loans; further ones are refused at once.
constexpr std::size_t maxWaitingCharges = 4096;
// A lender that has not answered by then is skipped, so that the charge can still try the others.
constexpr auto lenderTimeout = std::chrono::milliseconds(250);

} // namespace

quota_task::quota_task(event_loop &loop,
                       std::shared_ptr<mailbox<quota_task_message>> box,
                       quota_settings settings,
                       std::unique_ptr<const quota_strategy> strategy,
                       sink<peer_envelope> peers,
                       random_source random,
                       clock now)
    : task(std::move(box))
    , m_strategy(std::move(strategy))
    , m_ledger(std::move(settings), *m_strategy, random.below(std::uint64_t(1) << 62U))
    , m_peers(std::move(peers))
    , m_now(std::move(now))
    , m_deadlineTimer(loop, [this] { refuseExpired(); })
{
}

outcome<void> quota_task::start()
{
    return success();
}

void quota_task::beginShutdown()
{
    while (!m_waiting.empty()) {
        refuse(m_waiting.front().request);
        m_waiting.pop_front();
    }
    sendRefunds(m_ledger.returnAllLoans(m_now()));
    finish();
}

void quota_task::handle(quota_task_message &&message)
{
    std::visit([this](const auto &received) { receive(received); }, message);
}

void quota_task::receive(const view_changed &changed)
{
    m_ledger.setView(changed.view, m_now());
}

void quota_task::receive(const authority_changed &changed)
{
    m_ledger.setAuthority(*changed.authority, m_now());
}

void quota_task::receive(const charge_request &request)
{
    if (tryCharge(request)) {
        return;
    }
    waiting_charge charge = {request, m_ledger.loanRequests(request.workspace, request.amount, m_now()), 0, 0, {}};
    if (charge.lenders.empty() || m_waiting.size() >= maxWaitingCharges || request.until.hasPassed(m_now())) {
        refuse(request);
        return;
    }
    m_waiting.push_back(std::move(charge));
    askNextLender(m_waiting.back());
    armTimer();
}

void quota_task::receive(const charge_settlement &settlement)
{
    sendRefunds(m_ledger.settle(settlement.request, settlement.actual, m_now()));
}

void quota_task::receive(const peer_message_received &received)
{
    peer_message reply = acknowledgement {false};
    if (const auto *request = std::get_if<peer_loan_request>(&received.message)) {
        reply = m_ledger.lend(*request, m_now());
    }
    if (const auto *refund = std::get_if<loan_refund>(&received.message)) {
        m_ledger.acceptRefund(*refund, m_now());
        reply = acknowledgement {true};
    }
    // If the response is lost, the lent tokens are lost as well. This is safe, since no tokens are created.
    const auto posted = received.reply.post(std::move(reply));
    LOG_IF(WARNING, posted != post_result::delivered) << "routing: could not send a quota response to instance " << received.from.instance;
}

void quota_task::receive(const peer_response &response)
{
    const auto charge =
        std::find_if(m_waiting.begin(), m_waiting.end(), [&](const auto &waiting) { return waiting.exchange == response.exchange; });
    if (charge == m_waiting.end()) {
        return;
    }
    charge->exchange = 0;
    const workspace_id workspace = charge->request.workspace;
    if (response.answer.has_value()) {
        if (const auto *loan = std::get_if<peer_loan_response>(&response.answer.value())) {
            m_ledger.borrow(workspace, charge->lenders[charge->askedLenders - 1].to, *loan, charge->askedAt, m_now());
        }
    }
    retryWaiting(workspace);
}

void quota_task::receive(const peer_status & /*status*/)
{
}

bool quota_task::tryCharge(const charge_request &request)
{
    if (!m_ledger.charge(request.request, request.workspace, request.amount, m_now())) {
        return false;
    }
    if (request.reply.post({request.request, true, std::nullopt}) != post_result::delivered) {
        // The router neither dispatches nor settles the request, so its tokens are refunded.
        sendRefunds(m_ledger.settle(request.request, token_count(), m_now()));
    }
    return true;
}

void quota_task::askNextLender(waiting_charge &charge)
{
    while (charge.askedLenders < charge.lenders.size()) {
        const outgoing_loan_request &lender = charge.lenders[charge.askedLenders++];
        charge.exchange = m_nextExchange++;
        charge.askedAt = m_now();
        const deadline until = std::min(charge.request.until, deadline::after(charge.askedAt, lenderTimeout));
        const peer_request send = {charge.exchange, lender.ask, until, makeSink<peer_response>(self())};
        if (m_peers.post({lender.to, send}) == post_result::delivered) {
            return;
        }
        charge.exchange = 0;
    }
}

// Retries the waiting charges of a workspace in order of arrival. A charge is refused once it has no lender left to ask.
void quota_task::retryWaiting(const workspace_id &workspace)
{
    waiting_list kept;
    for (waiting_charge &charge : std::exchange(m_waiting, {})) {
        if (charge.request.workspace == workspace) {
            if (tryCharge(charge.request)) {
                continue;
            }
            if (charge.exchange == 0) {
                askNextLender(charge);
            }
            if (charge.exchange == 0) {
                refuse(charge.request);
                continue;
            }
        }
        kept.push_back(std::move(charge));
    }
    m_waiting = std::move(kept);
    armTimer();
}

void quota_task::refuse(const charge_request &request)
{
    const auto posted = request.reply.post({request.request, false, m_ledger.retryAfter(request.workspace, request.amount)});
    LOG_IF(WARNING, posted != post_result::delivered)
        << "routing: could not deliver the quota refusal of request " << request.request << " to the router";
}

void quota_task::refuseExpired()
{
    const instant now = m_now();
    waiting_list kept;
    for (waiting_charge &charge : std::exchange(m_waiting, {})) {
        if (charge.request.until.hasPassed(now)) {
            refuse(charge.request);
        } else {
            kept.push_back(std::move(charge));
        }
    }
    m_waiting = std::move(kept);
    armTimer();
}

void quota_task::sendRefunds(const std::vector<outgoing_loan_refund> &refunds)
{
    for (const outgoing_loan_refund &refund : refunds) {
        const peer_request send = {0, refund.refund, deadline::after(m_now(), std::chrono::seconds(1)), {}};
        const auto posted = m_peers.post({refund.to, send});
        LOG_IF(WARNING, posted != post_result::delivered) << "routing: could not send a loan refund to instance " << refund.to;
    }
}

void quota_task::armTimer()
{
    deadline first = deadline::never();
    for (const waiting_charge &charge : m_waiting) {
        first = std::min(first, charge.request.until);
    }
    if (first.isNever()) {
        m_deadlineTimer.stop();
    } else {
        m_deadlineTimer.start(deadline::after(boot_clock::now(), first.remaining(m_now())));
    }
}

} // namespace burdockshelf
