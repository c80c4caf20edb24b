#include "policy/quota_ledger.h"

#include "policy/lease_margin.h"
#include "policy/rendezvous.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

std::string homeKey(const workspace_id &workspace)
{
    return "quota/" + workspace.value();
}

const workspace_settings *findWorkspace(const state_view *view, const workspace_id &workspace)
{
    if (view == nullptr) {
        return nullptr;
    }
    const auto found = view->config.workspaces.find(workspace);
    return found == view->config.workspaces.end() ? nullptr : &found->second;
}

bool isSame(const workspace_settings *left, const workspace_settings *right)
{
    return left == right || (left != nullptr && right != nullptr && *left == *right);
}

bucket_limit shareOf(const workspace_settings *settings, const configuration &config, const data_centre_id &dataCentre)
{
    const workspace_share share = settings == nullptr ? workspace_share() : workspaceShare(*settings, config, dataCentre);
    return {share.rate, share.burst};
}

const pending_reallocation *findReallocation(const state_view *view, const workspace_id &workspace)
{
    if (view == nullptr) {
        return nullptr;
    }
    const auto found = view->reallocations.find(workspace);
    return found == view->reallocations.end() ? nullptr : &found->second;
}

bucket_limit smallestShare(const pending_reallocation &pending, const data_centre_id &dataCentre)
{
    const auto found = pending.smallest.find(dataCentre);
    return found == pending.smallest.end() ? bucket_limit() : bucket_limit {found->second.rate, found->second.burst};
}

} // namespace

quota_ledger::quota_ledger(quota_settings settings, const quota_strategy &strategy, std::uint64_t firstLoan)
    : m_settings(std::move(settings))
    , m_strategy(strategy)
    , m_nextLoan(firstLoan)
{
}

void quota_ledger::setAuthority(const decision_authority &authority, instant now)
{
    const bool isExtension = authority.epoch == m_authority.epoch && authority.exclusiveFrom == m_authority.exclusiveFrom
        && authority.members.empty() == m_authority.members.empty();
    const bool hasLapsed = !m_authority.isValid(now);
    if (isExtension && !hasLapsed) {
        m_authority = authority;
        return;
    }
    refreshAll(now);
    const bool isSeen = authority.epoch == m_authority.epoch || authority.epoch == m_authority.epoch + roster_epoch(1);
    m_authority = authority;
    for (auto &entry : m_accounts) {
        if (hasLapsed) {
            entry.second.skipAccrualUntil(now);
        }
        if (!isSeen) {
            entry.second.drop();
        }
    }
    refreshAll(now);
}

void quota_ledger::setView(state_view_ptr view, instant now)
{
    const state_view_ptr before = std::exchange(m_view, std::move(view));
    const bool isSameSplit = before && before->config.dataCentres == m_view->config.dataCentres;
    if (isSameSplit && before->config.version == m_view->config.version) {
        return;
    }
    for (const auto &[workspace, settings] : m_view->config.workspaces) {
        m_accounts.try_emplace(workspace, now);
    }
    for (auto entry = m_accounts.begin(); entry != m_accounts.end();) {
        auto &[workspace, account] = *entry;
        const workspace_settings *earlier = findWorkspace(before.get(), workspace);
        const workspace_settings *later = findWorkspace(m_view.get(), workspace);
        const pending_reallocation *known = findReallocation(before.get(), workspace);
        const pending_reallocation *pending = findReallocation(m_view.get(), workspace);
        const bool isReallocated = pending != nullptr && (known == nullptr || *known != *pending);
        if (!isSameSplit || isReallocated || !isSame(earlier, later)) {
            refresh(workspace, account, now);
            const bool isGrowth = !before || areSharesNonDecreasing(earlier, before->config, later, m_view->config);
            const bucket_limit share = shareOf(later, m_view->config, m_settings.dataCentre);
            const auto reallocatedAt = std::optional(deadline::after(now, withMargin(m_settings.reallocationDelay)));
            const std::optional<deadline> growthAllowedAt = isGrowth ? std::nullopt : reallocatedAt;
            if (isReallocated) {
                // An incarnation that is new or has skipped versions of the configuration has not seen the shares in between.
                account.setShare(smallerLimit(share, smallestShare(*pending, m_settings.dataCentre)), growthAllowedAt, now);
                account.setShare(share, reallocatedAt, now);
            } else {
                account.setShare(share, growthAllowedAt, now);
            }
            refresh(workspace, account, now);
        }
        entry = later == nullptr && account.isIdle(now) ? m_accounts.erase(entry) : std::next(entry);
    }
}

bool quota_ledger::charge(const request_id &request, const workspace_id &workspace, token_count amount, instant now)
{
    quota_account *account = find(workspace, now);
    if (account == nullptr || amount < token_count()) {
        return false;
    }
    const token_count fromLoans = std::min(amount, account->borrowedTokens());
    const token_count fromBucket = amount - fromLoans;
    if (fromBucket > token_count() && (!m_authority.isValid(now) || !account->bucket().take(fromBucket))) {
        return false;
    }
    open_charge taken = {request, workspace, amount, fromBucket, account->bucket().lastPosition(), {}};
    takeFromLoans(*account, fromLoans, taken);
    recordCharge(std::move(taken));
    return true;
}

std::vector<outgoing_loan_refund> quota_ledger::settle(const request_id &request, token_count actual, instant now)
{
    const auto number = m_chargeNumbers.find(request);
    if (number == m_chargeNumbers.end()) {
        return {};
    }
    const auto found = m_charges.find(number->second);
    const open_charge taken = std::move(found->second);
    m_charges.erase(found);
    m_chargeNumbers.erase(number);
    quota_account *account = find(taken.workspace, now);
    if (actual > taken.amount) {
        m_debt += actual - taken.amount;
        if (account != nullptr) {
            account->bucket().takeAllowingDebt(actual - taken.amount);
        }
        return {};
    }
    const token_count spare = taken.amount - std::max(actual, token_count());
    const token_count toBucket = std::min(spare, taken.fromBucket);
    if (account != nullptr && toBucket > token_count()) {
        account->bucket().refund(taken.position, toBucket);
    }
    return refundParts(taken, spare - toBucket);
}

std::vector<outgoing_loan_request> quota_ledger::loanRequests(const workspace_id &workspace, token_count amount, instant now)
{
    quota_account *account = find(workspace, now);
    if (account == nullptr) {
        return {};
    }
    const token_count own = m_authority.isValid(now) ? std::max(token_count(), account->bucket().level()) : token_count();
    const token_count lacking = amount - account->borrowedTokens() - own;
    const token_count asked = lacking <= token_count() ? token_count() : m_strategy.loan(lacking);
    std::vector<outgoing_loan_request> requests;
    if (asked <= token_count()) {
        return requests;
    }
    if (const roster_member *member = m_strategy.borrowsFromMembers() ? nextLender(workspace) : nullptr) {
        requests.push_back({member->instance, {m_settings.dataCentre, m_authority.epoch, workspace, asked}});
    }
    for (const auto &[dataCentre, roster] : m_view->rosters) {
        const roster_member *home = rendezvousOwner(homeKey(workspace), roster.members);
        if (home == nullptr || *home == m_settings.self) {
            continue;
        }
        const auto at = dataCentre == m_settings.dataCentre ? requests.begin() : requests.end();
        requests.insert(at, {home->instance, {dataCentre, roster.epoch, workspace, asked}});
    }
    return requests;
}

peer_loan_response quota_ledger::lend(const peer_loan_request &ask, instant now)
{
    peer_loan_response answer;
    answer.epoch = m_authority.epoch;
    quota_account *account = find(ask.workspace, now);
    const bool isMine = ask.dataCentre == m_settings.dataCentre && ask.epoch == m_authority.epoch;
    if (account == nullptr || !isMine || !m_authority.isValid(now)) {
        return answer;
    }
    // A loan must end before the lender's authority does, since a successor at the next epoch relies on it.
    const boot_clock::duration maxLifetime = m_authority.until.remaining(now) - leaseMargin(m_settings.loan);
    const auto validFor = std::chrono::floor<std::chrono::milliseconds>(std::min(m_settings.loan, maxLifetime));
    if (validFor <= std::chrono::milliseconds::zero()) {
        return answer;
    }
    const auto loan = account->lend(m_nextLoan, ask.amount, deadline::after(now, withMargin(validFor)));
    if (loan) {
        ++m_nextLoan;
        answer.amount = loan->held;
        answer.loan = loan->number;
        answer.validFor = validFor;
    }
    return answer;
}

void quota_ledger::borrow(
    const workspace_id &workspace, const instance_id &lender, const peer_loan_response &answer, instant askedAt, instant now)
{
    const deadline until = deadline::after(askedAt, std::min<boot_clock::duration>(answer.validFor, m_settings.loan));
    quota_account *account = find(workspace, now);
    if (account != nullptr && answer.amount > token_count() && !until.hasPassed(now)) {
        account->addLoan({lender, answer.loan, answer.amount, until});
    }
}

void quota_ledger::acceptRefund(const loan_refund &refund, instant now)
{
    if (quota_account *account = find(refund.workspace, now)) {
        account->acceptRefund(refund.loan, refund.sequence, refund.amount, now);
    }
}

std::vector<outgoing_loan_refund> quota_ledger::returnLoans(const workspace_id &workspace, instant now)
{
    std::vector<outgoing_loan_refund> returns;
    if (quota_account *account = find(workspace, now)) {
        for (const borrowed_loan &loan : std::exchange(account->loans(), {})) {
            returns.push_back({loan.lender, {workspace, loan.left, loan.number, loan.parts}});
        }
    }
    return returns;
}

std::vector<outgoing_loan_refund> quota_ledger::returnAllLoans(instant now)
{
    std::vector<outgoing_loan_refund> returns;
    for (const auto &entry : m_accounts) {
        std::vector<outgoing_loan_refund> some = returnLoans(entry.first, now);
        returns.insert(returns.end(), some.begin(), some.end());
    }
    return returns;
}

std::optional<std::chrono::milliseconds> quota_ledger::retryAfter(const workspace_id &workspace, token_count amount) const
{
    const workspace_settings *settings = findWorkspace(m_view.get(), workspace);
    if (settings == nullptr || settings->burst < amount || settings->rate <= token_rate()) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(amount.value() * 1000 / settings->rate.value() + 1);
}

token_count quota_ledger::debt() const
{
    return m_debt;
}

std::size_t quota_ledger::openCharges() const
{
    return m_charges.size();
}

quota_account *quota_ledger::find(const workspace_id &workspace, instant now)
{
    const auto found = m_accounts.find(workspace);
    if (found == m_accounts.end()) {
        return nullptr;
    }
    refresh(workspace, found->second, now);
    return &found->second;
}

void quota_ledger::refresh(const workspace_id &workspace, quota_account &account, instant now)
{
    account.refresh(m_authority, isHome(workspace), m_strategy, now);
}

void quota_ledger::refreshAll(instant now)
{
    for (auto &[workspace, account] : m_accounts) {
        refresh(workspace, account, now);
    }
}

bool quota_ledger::isHome(const workspace_id &workspace) const
{
    const roster_member *home = rendezvousOwner(homeKey(workspace), m_authority.members);
    return home != nullptr && *home == m_settings.self;
}

// Selects lenders in turn, so that charges reach the fixed slices of all members with one additional request each.
const roster_member *quota_ledger::nextLender(const workspace_id &workspace)
{
    const roster_member *home = rendezvousOwner(homeKey(workspace), m_authority.members);
    const std::size_t count = m_authority.members.size();
    for (std::size_t i = 0; i < count; ++i) {
        const roster_member &member = m_authority.members[m_nextLenderIndex++ % count];
        if (member != m_settings.self && member != *home) {
            return &member;
        }
    }
    return nullptr;
}

void quota_ledger::takeFromLoans(quota_account &account, token_count amount, open_charge &taken) const
{
    for (borrowed_loan &loan : account.loans()) {
        const token_count part = std::min(amount, loan.left);
        if (part > token_count()) {
            loan.left -= part;
            amount -= part;
            taken.parts.push_back({loan.lender, loan.number, loan.parts++, part});
        }
    }
    std::erase_if(account.loans(), [](const borrowed_loan &loan) { return loan.left == token_count(); });
}

void quota_ledger::recordCharge(open_charge taken)
{
    if (m_charges.size() >= m_settings.maxOpenCharges) {
        m_chargeNumbers.erase(m_charges.begin()->second.request);
        m_charges.erase(m_charges.begin());
    }
    m_chargeNumbers[taken.request] = m_nextCharge;
    m_charges.emplace(m_nextCharge++, std::move(taken));
}

std::vector<outgoing_loan_refund> quota_ledger::refundParts(const open_charge &taken, token_count amount) const
{
    std::vector<outgoing_loan_refund> returns;
    for (const loan_part &part : taken.parts) {
        const token_count share = std::min(amount, part.amount);
        if (share > token_count()) {
            amount -= share;
            returns.push_back({part.lender, {taken.workspace, share, part.loan, part.sequence}});
        }
    }
    return returns;
}

} // namespace burdockshelf
