#include "policy/quota_strategy.h"

namespace burdockshelf
{

namespace
{

// Standing slices are this part of a share.
constexpr std::int64_t sliceDivisor = 4;
// A loan asks for this part of the share's rate per second on top of what is lacking, so that the next charges need no ask.
constexpr std::int64_t loanAheadDivisor = 16;

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

token_count static_split::loan(token_count /*lacking*/, const bucket_limit & /*share*/) const
{
    return {};
}

std::string_view single_owner::name() const
{
    return "single_owner";
}

bucket_limit single_owner::part(const bucket_limit &share, std::size_t /*memberCount*/, bool isHome) const
{
    return isHome ? share : bucket_limit {};
}

token_count single_owner::loan(token_count lacking, const bucket_limit & /*share*/) const
{
    return lacking;
}

std::string_view moving_shares::name() const
{
    return "moving_shares";
}

bucket_limit moving_shares::part(const bucket_limit &share, std::size_t memberCount, bool isHome) const
{
    // Each part is rounded down on its own, so that no part shrinks when the share grows; a difference of roundings would.
    bucket_limit part = fraction(share, sliceDivisor * static_cast<std::int64_t>(memberCount));
    if (isHome) {
        part.rate += token_rate(share.rate.value() * (sliceDivisor - 1) / sliceDivisor);
        part.cap += token_count(share.cap.value() * (sliceDivisor - 1) / sliceDivisor);
    }
    return part;
}

token_count moving_shares::loan(token_count lacking, const bucket_limit &share) const
{
    return lacking + token_count(share.rate.value() / loanAheadDivisor);
}

} // namespace burdockshelf
