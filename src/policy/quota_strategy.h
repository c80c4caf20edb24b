#pragma once

#include "policy/token_bucket.h"

#include <cstddef>
#include <memory>
#include <string_view>

namespace burdockshelf
{

/// Divides the share of a data centre among its members. Stateless; the ledger keeps the state.
class quota_strategy
{
public:
    virtual ~quota_strategy() = default;

    virtual std::string_view name() const = 0;
    /// A member's fixed part of the share. The parts of all members add up to at most the share.
    virtual bucket_limit part(const bucket_limit &share, std::size_t memberCount, bool isHome) const = 0;
    /// Tokens to request when a charge lacks some; zero if the strategy does not use loans.
    virtual token_count loan(token_count lacking) const = 0;
    /// True if a member whose home lacks tokens asks another member of the data centre to lend from its fixed part.
    virtual bool borrowsFromMembers() const = 0;
};

/// Every member has the same part, and there are no loans.
class static_split : public quota_strategy
{
public:
    std::string_view name() const override;
    bucket_limit part(const bucket_limit &share, std::size_t memberCount, bool isHome) const override;
    token_count loan(token_count lacking) const override;
    bool borrowsFromMembers() const override;
};

/// The home has the whole share, and each charge at another member borrows exactly what it needs from the home.
class single_owner : public quota_strategy
{
public:
    std::string_view name() const override;
    bucket_limit part(const bucket_limit &share, std::size_t memberCount, bool isHome) const override;
    token_count loan(token_count lacking) const override;
    bool borrowsFromMembers() const override;
};

/// One eighth of the share is divided among the members as fixed slices, the rest belongs to the home. The home lends what a charge lacks;
/// what the home lacks too is lent by one other member in turn.
class moving_shares : public quota_strategy
{
public:
    std::string_view name() const override;
    bucket_limit part(const bucket_limit &share, std::size_t memberCount, bool isHome) const override;
    token_count loan(token_count lacking) const override;
    bool borrowsFromMembers() const override;
};

/// Creates the strategy of the given name; null if the name is unknown.
std::unique_ptr<const quota_strategy> makeQuotaStrategy(std::string_view name);

} // namespace burdockshelf
