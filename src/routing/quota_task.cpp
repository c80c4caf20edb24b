#include "routing/quota_task.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

namespace burdockshelf
{

namespace
{

// Charges that wait for loans at the same time; one more is refused at once.
constexpr std::size_t waitingKept = 4096;
// A lender that has not answered by then is passed over, so that a charge can still try the others.
constexpr auto lenderPatience = std::chrono::milliseconds(250);

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
    , m_overdue(loop, [this] { refuseOverdue(); })
{
}

outcome<void> quota_task::start()
{
    return success();
}

void quota_task::beginShutdown()
{
    while (!m_waiting.empty()) {
        refuse(m_waiting.front().wanted);
        m_waiting.pop_front();
    }
    giveBack(m_ledger.returnAllLoans(m_now()));
    finish();
}

void quota_task::handle(quota_task_message &&message)
{
    std::visit([this](const auto &received) { on(received); }, message);
}

void quota_task::on(const view_changed &changed)
{
    m_ledger.setView(changed.view, m_now());
}

void quota_task::on(const authority_changed &changed)
{
    m_ledger.setAuthority(*changed.authority, m_now());
}

void quota_task::on(const charge_request &wanted)
{
    if (tryCharge(wanted)) {
        return;
    }
    waiting_charge charge = {wanted, m_ledger.loanRequests(wanted.workspace, wanted.amount, m_now()), 0, 0, {}};
    if (charge.lenders.empty() || m_waiting.size() >= waitingKept || wanted.until.hasPassed(m_now())) {
        refuse(wanted);
        return;
    }
    m_waiting.push_back(std::move(charge));
    askNext(m_waiting.back());
    armTimer();
}

void quota_task::on(const charge_settlement &settlement)
{
    giveBack(m_ledger.settle(settlement.request, settlement.actual, m_now()));
}

void quota_task::on(const peer_message_received &received)
{
    peer_message reply = acknowledgement {false};
    if (const auto *ask = std::get_if<peer_loan_request>(&received.message)) {
        reply = m_ledger.lend(*ask, m_now());
    }
    if (const auto *refund = std::get_if<loan_refund>(&received.message)) {
        m_ledger.acceptRefund(*refund, m_now());
        reply = acknowledgement {true};
    }
    // A lost answer destroys the tokens of a loan, which is safe.
    const auto posted = received.reply.post(std::move(reply));
    LOG_IF(WARNING, posted != post_result::delivered) << "routing: answer on quota was not sent to " << received.from.instance;
}

void quota_task::on(const peer_response &answer)
{
    const auto charge = std::find_if(m_waiting.begin(), m_waiting.end(), [&](const auto &one) { return one.exchange == answer.exchange; });
    if (charge == m_waiting.end()) {
        return;
    }
    charge->exchange = 0;
    const workspace_id workspace = charge->wanted.workspace;
    if (answer.answer.has_value()) {
        if (const auto *loan = std::get_if<peer_loan_response>(&answer.answer.value())) {
            m_ledger.borrow(workspace, charge->lenders[charge->asked - 1].to, *loan, charge->askedAt, m_now());
        }
    }
    retryWaiting(workspace);
}

void quota_task::on(const peer_status & /*status*/)
{
}

bool quota_task::tryCharge(const charge_request &wanted)
{
    if (!m_ledger.charge(wanted.request, wanted.workspace, wanted.amount, m_now())) {
        return false;
    }
    if (wanted.reply.post({wanted.request, true, std::nullopt}) != post_result::delivered) {
        // Nobody will run or settle the request, so its tokens go back.
        giveBack(m_ledger.settle(wanted.request, token_count(), m_now()));
    }
    return true;
}

void quota_task::askNext(waiting_charge &charge)
{
    while (charge.asked < charge.lenders.size()) {
        const outgoing_loan_request &lender = charge.lenders[charge.asked++];
        charge.exchange = m_nextExchange++;
        charge.askedAt = m_now();
        const deadline until = std::min(charge.wanted.until, deadline::after(charge.askedAt, lenderPatience));
        const peer_request send = {charge.exchange, lender.ask, until, makeSink<peer_response>(self())};
        if (m_peers.post({lender.to, send}) == post_result::delivered) {
            return;
        }
        charge.exchange = 0;
    }
}

// Charges of a workspace are tried in the order in which they came; one whose lenders have all answered is refused.
void quota_task::retryWaiting(const workspace_id &workspace)
{
    waiting_list kept;
    for (waiting_charge &charge : std::exchange(m_waiting, {})) {
        if (charge.wanted.workspace == workspace) {
            if (tryCharge(charge.wanted)) {
                continue;
            }
            if (charge.exchange == 0) {
                askNext(charge);
            }
            if (charge.exchange == 0) {
                refuse(charge.wanted);
                continue;
            }
        }
        kept.push_back(std::move(charge));
    }
    m_waiting = std::move(kept);
    armTimer();
}

void quota_task::refuse(const charge_request &wanted)
{
    const auto posted = wanted.reply.post({wanted.request, false, m_ledger.retryAfter(wanted.workspace, wanted.amount)});
    LOG_IF(WARNING, posted != post_result::delivered) << "routing: refusal of request " << wanted.request << " was not taken";
}

void quota_task::refuseOverdue()
{
    const instant now = m_now();
    waiting_list kept;
    for (waiting_charge &charge : std::exchange(m_waiting, {})) {
        if (charge.wanted.until.hasPassed(now)) {
            refuse(charge.wanted);
        } else {
            kept.push_back(std::move(charge));
        }
    }
    m_waiting = std::move(kept);
    armTimer();
}

void quota_task::giveBack(const std::vector<outgoing_loan_refund> &returns)
{
    for (const outgoing_loan_refund &back : returns) {
        const peer_request send = {0, back.refund, deadline::after(m_now(), std::chrono::seconds(1)), {}};
        const auto posted = m_peers.post({back.to, send});
        LOG_IF(WARNING, posted != post_result::delivered) << "routing: refund of a loan was not sent to " << back.to;
    }
}

void quota_task::armTimer()
{
    deadline first = deadline::never();
    for (const waiting_charge &charge : m_waiting) {
        first = std::min(first, charge.wanted.until);
    }
    if (first.isNever()) {
        m_overdue.stop();
    } else {
        m_overdue.start(deadline::after(boot_clock::now(), first.remaining(m_now())));
    }
}

} // namespace burdockshelf
