#include "policy/quota_strategy.h"

namespace burdockshelf
{

namespace
{

// The fixed slices together are the share divided by this number. When all callers use one instance, the slices of the other members are
// reached only by one loan after another: with a divisor of 4, they withheld more than the 10% of the rate that a load of 90% leaves free.
constexpr std::int64_t sliceDivisor = 8;

bucket_limit fraction(const bucket_limit &whole, std::int64_t divisor)
{
    return {token_rate(whole.rate.value() / divisor), token_count(whole.cap.value() / divisor)};
}

} // namespace

std::string_view static_split::name() const
{
    return "static_split";
}

bucket_limit static_split::part(const bucket_limit &share, std::size_t memberCount, bool /*isHome*/) const
{
    return fraction(share, static_cast<std::int64_t>(memberCount));
}

token_count static_split::loan(token_count /*lacking*/) const
{
    return {};
}

bool static_split::borrowsFromMembers() const
{
    return false;
}

std::string_view single_owner::name() const
{
    return "single_owner";
}

bucket_limit single_owner::part(const bucket_limit &share, std::size_t /*memberCount*/, bool isHome) const
{
    return isHome ? share : bucket_limit {};
}

token_count single_owner::loan(token_count lacking) const
{
    return lacking;
}

bool single_owner::borrowsFromMembers() const
{
    return false;
}

std::string_view moving_shares::name() const
{
    return "moving_shares";
}

bucket_limit moving_shares::part(const bucket_limit &share, std::size_t memberCount, bool isHome) const
{
    // Each slice is rounded down separately and the home gets the rest of the whole share, so that no part shrinks when the share grows.
    bucket_limit part = fraction(share, sliceDivisor * static_cast<std::int64_t>(memberCount));
    if (isHome) {
        const bucket_limit slices = fraction(share, sliceDivisor);
        part.rate += share.rate - slices.rate;
        part.cap += share.cap - slices.cap;
    }
    return part;
}

// A loan is for exactly the missing amount, because what is left of a larger loan is dropped when it ends.
token_count moving_shares::loan(token_count lacking) const
{
    return lacking;
}

bool moving_shares::borrowsFromMembers() const
{
    return true;
}

std::unique_ptr<const quota_strategy> makeQuotaStrategy(std::string_view name)
{
    if (name == static_split().name()) {
        return std::make_unique<static_split>();
    }
    if (name == single_owner().name()) {
        return std::make_unique<single_owner>();
    }
    if (name == moving_shares().name()) {
        return std::make_unique<moving_shares>();
    }
    return nullptr;
}

} // namespace burdockshelf
