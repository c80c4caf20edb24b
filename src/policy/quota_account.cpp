#include "policy/quota_account.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace burdockshelf
{

namespace
{

// Bounds the memory of a workspace. The oldest ended loan is dropped first; a refund of it then has no effect.
constexpr std::size_t maxLentLoans = 128;
constexpr std::size_t maxBorrowedLoans = 64;
constexpr std::uint64_t maxRefundsPerLoan = 64;

} // namespace

quota_account::quota_account(instant now)
    : m_bucket(now)
    , m_refreshed(now)
{
}

void quota_account::setShare(const bucket_limit &share, std::optional<deadline> growthAllowedAt, instant now)
{
    m_shareTarget = share;
    m_share = smallerLimit(m_share, share);
    if (growthAllowedAt) {
        m_growthAllowedAt = std::max(m_growthAllowedAt, *growthAllowedAt);
    }
    if (m_growthAllowedAt.hasPassed(now)) {
        m_share = m_shareTarget;
    }
}

void quota_account::refresh(const decision_authority &authority, bool isHome, const quota_strategy &strategy, instant now)
{
    std::vector<instant> changes = {authority.exclusiveFrom.at(), m_growthAllowedAt.at()};
    for (const lent_loan &loan : m_lent) {
        changes.push_back(loan.until.at());
    }
    std::sort(changes.begin(), changes.end());
    for (const instant at : changes) {
        if (at > m_refreshed && at < now) {
            advance(authority, at);
            applyLimits(authority, isHome, strategy, at);
        }
    }
    advance(authority, now);
    applyLimits(authority, isHome, strategy, now);
    m_refreshed = std::max(m_refreshed, now);
    std::erase_if(m_borrowed, [now](const borrowed_loan &loan) { return loan.until.hasPassed(now); });
}

void quota_account::skipAccrualUntil(instant now)
{
    m_bucket.skipAccrualUntil(now);
}

void quota_account::drop()
{
    m_bucket.drop();
    m_part = {};
}

std::optional<lent_loan> quota_account::lend(std::uint64_t number, token_count amount, deadline until)
{
    if (m_lent.size() >= maxLentLoans) {
        const auto ended =
            std::find_if(m_lent.begin(), m_lent.end(), [this](const lent_loan &loan) { return loan.until.hasPassed(m_refreshed); });
        if (ended == m_lent.end()) {
            return std::nullopt;
        }
        m_lent.erase(ended);
    }
    amount = std::min(amount, m_bucket.level());
    if (amount <= token_count() || !m_bucket.take(amount)) {
        return std::nullopt;
    }
    m_lent.push_back({number, amount, amount, m_bucket.lastPosition(), until});
    bucket_limit limit = m_bucket.limit();
    limit.cap -= amount;
    m_bucket.setLimit(limit);
    return m_lent.back();
}

void quota_account::acceptRefund(std::uint64_t number, std::uint64_t sequence, token_count amount, instant now)
{
    const auto loan = std::find_if(m_lent.begin(), m_lent.end(), [number](const lent_loan &lent) { return lent.number == number; });
    if (loan == m_lent.end() || sequence >= maxRefundsPerLoan || (loan->refundsSeen >> sequence & 1U) != 0 || amount <= token_count()) {
        return;
    }
    loan->refundsSeen |= std::uint64_t(1) << sequence;
    amount = std::min(amount, loan->refundable);
    loan->refundable -= amount;
    if (loan->until.hasPassed(now)) {
        m_bucket.refund(loan->position, amount);
        return;
    }
    loan->held -= amount;
    m_bucket.refundWithCap(amount);
}

void quota_account::addLoan(borrowed_loan loan)
{
    if (m_borrowed.size() < maxBorrowedLoans) {
        m_borrowed.push_back(std::move(loan));
    }
}

std::vector<borrowed_loan> &quota_account::loans()
{
    return m_borrowed;
}

token_count quota_account::borrowedTokens() const
{
    return std::accumulate(
        m_borrowed.begin(), m_borrowed.end(), token_count(), [](token_count sum, const borrowed_loan &loan) { return sum + loan.left; });
}

token_bucket &quota_account::bucket()
{
    return m_bucket;
}

const bucket_limit &quota_account::share() const
{
    return m_share;
}

bool quota_account::isIdle(instant now) const
{
    const bool isLending = std::any_of(m_lent.begin(), m_lent.end(), [now](const lent_loan &loan) { return !loan.until.hasPassed(now); });
    return m_growthAllowedAt.hasPassed(now) && !isLending;
}

void quota_account::advance(const decision_authority &authority, instant at)
{
    if (!authority.members.empty()) {
        m_bucket.advance(std::min(at, authority.until.at()));
    }
}

void quota_account::applyLimits(const decision_authority &authority, bool isHome, const quota_strategy &strategy, instant at)
{
    if (m_growthAllowedAt.hasPassed(at)) {
        m_share = m_shareTarget;
    }
    const bucket_limit wanted = authority.members.empty() ? bucket_limit() : strategy.part(m_share, authority.members.size(), isHome);
    m_part = authority.isExclusive(at) ? wanted : smallerLimit(m_part, wanted);
    bucket_limit limit = m_part;
    for (const lent_loan &loan : m_lent) {
        if (!loan.until.hasPassed(at)) {
            limit.cap -= loan.held;
        }
    }
    m_bucket.setLimit(limit);
}

} // namespace burdockshelf
