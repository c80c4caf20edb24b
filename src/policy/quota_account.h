#pragma once

#include "core/deadline.h"
#include "core/ids.h"
#include "policy/decision_authority.h"
#include "policy/quota_strategy.h"
#include "policy/token_bucket.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace burdockshelf
{

/// Tokens that this member has lent. They stay subtracted from the cap until the borrower has certainly dropped what it did not use.
struct lent_loan
{
    std::uint64_t number = 0;
    token_count held;
    token_count refundable;
    token_bucket::position position = 0;
    deadline until;
    /// One bit for each refund that has been received.
    std::uint64_t refundsSeen = 0;
};

/// Tokens that this member has borrowed.
struct borrowed_loan
{
    instance_id lender;
    std::uint64_t number = 0;
    token_count left;
    deadline until;
    /// Number of parts taken out so far. Each part is refunded at most once, under its own sequence number.
    std::uint64_t parts = 0;
};

/// The quota of one workspace at one member: a token bucket with the member's fixed part of the data centre's share, and the loans given
/// and taken. A smaller part takes effect at once; a larger one only when the authority is exclusive, and a larger share only from
/// growthAllowedAt on. Tokens accrue only while the authority is valid.
class quota_account
{
public:
    explicit quota_account(instant now);

    /// Sets the share of the data centre. An increase waits for growthAllowedAt if others may still use a larger share until then.
    void setShare(const bucket_limit &share, std::optional<deadline> growthAllowedAt, instant now);
    /// Updates bucket, limits and loans up to an instant under the given authority.
    void refresh(const decision_authority &authority, bool isHome, const quota_strategy &strategy, instant now);
    /// Skips the time until then; no tokens accrue for it.
    void skipAccrualUntil(instant now);
    /// Discards all tokens and the fixed part, for an epoch whose predecessor this member has not seen.
    void drop();

    /// Takes tokens out of the bucket for a loan, at most as many as it holds.
    std::optional<lent_loan> lend(std::uint64_t number, token_count amount, deadline until);
    void acceptRefund(std::uint64_t number, std::uint64_t sequence, token_count amount, instant now);
    void addLoan(borrowed_loan loan);
    std::vector<borrowed_loan> &loans();
    token_count borrowedTokens() const;

    token_bucket &bucket();
    const bucket_limit &share() const;
    /// True if the account can be deleted when its workspace is gone.
    bool isIdle(instant now) const;

private:
    void advance(const decision_authority &authority, instant at);
    void applyLimits(const decision_authority &authority, bool isHome, const quota_strategy &strategy, instant at);

    token_bucket m_bucket;
    bucket_limit m_share;
    bucket_limit m_shareTarget;
    deadline m_growthAllowedAt;
    bucket_limit m_part;
    instant m_refreshed;
    std::vector<lent_loan> m_lent;
    std::vector<borrowed_loan> m_borrowed;
};

} // namespace burdockshelf
