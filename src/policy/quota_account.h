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

/// Tokens that this member has lent. They stay out of the cap until the borrower has surely dropped what it did not use.
struct lent_loan
{
    std::uint64_t number = 0;
    token_count held;
    token_count refundable;
    token_bucket::position position = 0;
    deadline until;
    /// One bit for each refund that has been seen.
    std::uint64_t refundsSeen = 0;
};

/// Tokens that this member has borrowed.
struct borrowed_loan
{
    instance_id lender;
    std::uint64_t number = 0;
    token_count left;
    deadline until;
    /// Parts taken out so far; each is refunded at most once, under its own number.
    std::uint64_t parts = 0;
};

/// What one member holds of one workspace: a bucket with its standing part, and loans given and taken. A smaller part holds at once; a
/// larger one only when the authority is settled, and a larger share only from growsAt on. Tokens accrue only while the authority lasts.
class quota_account
{
public:
    explicit quota_account(instant now);

    /// Sets the share of the data centre. Growth waits for an instant if others may still use a larger share.
    void setShare(const bucket_limit &share, std::optional<deadline> growsAt, instant now);
    /// Brings everything up to an instant under the given authority.
    void refresh(const decision_authority &authority, bool isHome, const quota_strategy &strategy, instant now);
    /// Leaves out the time until then.
    void skipTo(instant now);
    /// Forgets tokens and parts, for an epoch whose predecessor this member did not see.
    void drop();

    /// Takes tokens out of the bucket for a loan, at most what is there.
    std::optional<lent_loan> lend(std::uint64_t number, token_count amount, deadline until);
    void acceptRefund(std::uint64_t number, std::uint64_t sequence, token_count amount, instant now);
    void addLoan(borrowed_loan loan);
    std::vector<borrowed_loan> &loans();
    token_count borrowedTokens() const;

    token_bucket &bucket();
    const bucket_limit &share() const;
    /// True when nothing of it matters any more once its workspace is gone.
    bool isIdle(instant now) const;

private:
    void advance(const decision_authority &authority, instant at);
    void applyLimits(const decision_authority &authority, bool isHome, const quota_strategy &strategy, instant at);

    token_bucket m_bucket;
    bucket_limit m_share;
    bucket_limit m_shareTarget;
    deadline m_growsAt;
    bucket_limit m_part;
    instant m_refreshed;
    std::vector<lent_loan> m_lent;
    std::vector<borrowed_loan> m_borrowed;
};

} // namespace burdockshelf
