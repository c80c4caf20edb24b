#pragma once

#include "core/boot_clock.h"
#include "core/units.h"

#include <cstdint>
#include <vector>

namespace burdockshelf
{

/// Rate and capacity of a token bucket.
struct bucket_limit
{
    token_rate rate;
    token_count cap;

    friend bool operator==(const bucket_limit &, const bucket_limit &) = default;
};

/// The smaller rate and the smaller cap of two limits.
bucket_limit smallerLimit(const bucket_limit &left, const bucket_limit &right);

/// A token bucket that starts empty. A refund is limited so that the bucket ends up as if the actual cost had been taken from the start: it
/// never exceeds the smallest headroom (cap minus level) since the charge. The headroom is kept and not the level, because the cap may have
/// changed in between. Levels are exact, in tokens * 10^-9.
class token_bucket
{
public:
    /// Position of a charge in the bucket's history.
    using position = std::uint64_t;

    explicit token_bucket(instant now = {});

    /// Adds the tokens that have accrued until then. Earlier instants have no effect.
    void advance(instant now);
    /// Continues from an instant without the tokens for the time before it.
    void skipAccrualUntil(instant now);
    /// Sets the limit from the current instant on. A level above the cap is reduced to the cap, or to 0 when the cap is negative because of
    /// tokens that are lent.
    void setLimit(const bucket_limit &limit);
    /// Discards all tokens and forgets all charges; debt remains.
    void drop();

    /// Takes the amount if the bucket holds it.
    bool take(token_count amount);
    /// Takes the amount even if the level becomes negative.
    void takeAllowingDebt(token_count amount);
    /// Position of the most recent charge.
    position lastPosition() const;
    /// Refunds tokens of a charge; returns how many of them the limit allowed.
    token_count refund(position charge, token_count amount);
    /// Refunds tokens and also restores the amount to the cap, from which it had been subtracted.
    void refundWithCap(token_count amount);

    const bucket_limit &limit() const;
    /// Whole tokens, rounded down; negative for a debt.
    token_count level() const;

private:
    struct headroom_minimum
    {
        position at = 0;
        std::int64_t headroom = 0;
    };

    std::int64_t headroom() const;
    void recordHeadroom();
    void mergeHeadroomMinima();

    bucket_limit m_limit;
    instant m_now;
    std::int64_t m_level = 0;
    position m_position = 0;
    position m_forgottenUntil = 0;
    // Smallest headroom of each interval between charges. The headroom rises with the position; an entry is omitted when a later one is at
    // most as large.
    std::vector<headroom_minimum> m_headroomMinima;
};

} // namespace burdockshelf
