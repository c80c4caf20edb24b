#pragma once

#include "core/deadline.h"
#include "policy/decision_authority.h"
#include "policy/peer_message.h"
#include "policy/quota_account.h"
#include "policy/quota_strategy.h"
#include "state/state_view.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace burdockshelf
{

struct quota_settings
{
    data_centre_id dataCentre;
    roster_member self;
    boot_clock::duration loan = std::chrono::seconds(1);
    /// How long another data centre may continue with an older configuration. Equals takeover_wait, since its members may hold authority by
    /// pledges for that long.
    boot_clock::duration reallocationDelay = std::chrono::hours(2);
    /// Charges that are kept until they are settled. Beyond this number, the oldest ones are forgotten: they get no refund, and an
    /// actual cost above the charge is not taken.
    std::size_t maxOpenCharges = 20'000;
};

/// A loan request and the instance to send it to.
struct outgoing_loan_request
{
    instance_id to;
    peer_loan_request ask;
};

/// A refund of a loan and the instance to send it to.
struct outgoing_loan_refund
{
    instance_id to;
    loan_refund refund;
};

/// The quotas of all workspaces as held by one member. Grants only tokens that it has already taken out of its own bucket or out of a loan,
/// so that lost messages destroy tokens and never create them.
class quota_ledger
{
public:
    /// The number of the first loan is random, so that a refund meant for an earlier incarnation matches no loan.
    quota_ledger(quota_settings settings, const quota_strategy &strategy, std::uint64_t firstLoan);

    void setAuthority(const decision_authority &authority, instant now);
    void setView(state_view_ptr view, instant now);

    /// Takes the amount out of loans and the bucket; false if they do not hold it.
    bool charge(const request_id &request, const workspace_id &workspace, token_count amount, instant now);
    /// Settles a charge with its actual cost. Returns the refunds to send to lenders.
    std::vector<outgoing_loan_refund> settle(const request_id &request, token_count actual, instant now);
    /// The loan requests for the tokens that are missing for an amount, in the order in which to send them: to the home in this data
    /// centre, to another member here if the strategy borrows from members, then to the homes in the other data centres.
    std::vector<outgoing_loan_request> loanRequests(const workspace_id &workspace, token_count amount, instant now);
    peer_loan_response lend(const peer_loan_request &ask, instant now);
    void borrow(const workspace_id &workspace, const instance_id &lender, const peer_loan_response &answer, instant askedAt, instant now);
    void acceptRefund(const loan_refund &refund, instant now);
    /// Refunds what is left of the loans of a workspace.
    std::vector<outgoing_loan_refund> returnLoans(const workspace_id &workspace, instant now);
    /// Refunds what is left of all loans, at shutdown.
    std::vector<outgoing_loan_refund> returnAllLoans(instant now);

    /// Time in which the workspace's whole rate yields the amount; no value if its burst can never hold the amount, its rate is 0 or
    /// the workspace is unknown.
    std::optional<std::chrono::milliseconds> retryAfter(const workspace_id &workspace, token_count amount) const;
    /// Total of the tokens that requests used in excess of their charges.
    token_count debt() const;
    std::size_t openCharges() const;

private:
    struct loan_part
    {
        instance_id lender;
        std::uint64_t loan = 0;
        std::uint64_t sequence = 0;
        token_count amount;
    };

    struct open_charge
    {
        request_id request;
        workspace_id workspace;
        token_count amount;
        token_count fromBucket;
        token_bucket::position position = 0;
        std::vector<loan_part> parts;
    };

    quota_account *find(const workspace_id &workspace, instant now);
    void refresh(const workspace_id &workspace, quota_account &account, instant now);
    void refreshAll(instant now);
    bool isHome(const workspace_id &workspace) const;
    const roster_member *nextLender(const workspace_id &workspace);
    void takeFromLoans(quota_account &account, token_count amount, open_charge &taken) const;
    void recordCharge(open_charge taken);
    std::vector<outgoing_loan_refund> refundParts(const open_charge &taken, token_count amount) const;

    quota_settings m_settings;
    const quota_strategy &m_strategy;
    std::uint64_t m_nextLoan;
    decision_authority m_authority;
    state_view_ptr m_view;
    std::unordered_map<workspace_id, quota_account> m_accounts;
    std::map<std::uint64_t, open_charge> m_charges;
    std::unordered_map<request_id, std::uint64_t> m_chargeNumbers;
    std::uint64_t m_nextCharge = 0;
    std::size_t m_nextLenderIndex = 0;
    token_count m_debt;
};

} // namespace burdockshelf
