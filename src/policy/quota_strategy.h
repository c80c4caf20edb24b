#pragma once

#include "policy/token_bucket.h"

#include <cstddef>
#include <memory>
#include <string_view>

namespace burdockshelf
{

/// How the share of a data centre is spread over its members. A pure rule; the ledger keeps the state.
class quota_strategy
{
public:
    virtual ~quota_strategy() = default;

    virtual std::string_view name() const = 0;
    /// A member's standing part of the share; over all members it adds up to at most the share.
    virtual bucket_limit part(const bucket_limit &share, std::size_t memberCount, bool isHome) const = 0;
    /// Tokens to ask for when a charge lacks some; none when the strategy does not lend.
    virtual token_count loan(token_count lacking) const = 0;
    /// True when a member whose home is short asks another member of the data centre for its standing part.
    virtual bool asksMembers() const = 0;
};

/// Every member has the same part and nothing moves.
class static_split : public quota_strategy
{
public:
    std::string_view name() const override;
    bucket_limit part(const bucket_limit &share, std::size_t memberCount, bool isHome) const override;
    token_count loan(token_count lacking) const override;
    bool asksMembers() const override;
};

/// The home has all, and each charge elsewhere asks it for exactly what it needs.
class single_owner : public quota_strategy
{
public:
    std::string_view name() const override;
    bucket_limit part(const bucket_limit &share, std::size_t memberCount, bool isHome) const override;
    token_count loan(token_count lacking) const override;
    bool asksMembers() const override;
};

/// An eighth is spread over the members as standing slices, the rest is at the home. What a charge lacks is lent by the home, and what that
/// lacks by one other member in turn.
class moving_shares : public quota_strategy
{
public:
    std::string_view name() const override;
    bucket_limit part(const bucket_limit &share, std::size_t memberCount, bool isHome) const override;
    token_count loan(token_count lacking) const override;
    bool asksMembers() const override;
};

/// Makes the strategy of that name; an unknown name gives none.
std::unique_ptr<const quota_strategy> makeQuotaStrategy(std::string_view name);

} // namespace burdockshelf
