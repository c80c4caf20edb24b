#pragma once

#include "core/quantity.h"

#include <compare>

namespace burdockshelf
{

/// Number of a record in a topic. Means the same record only within one era of the store.
using store_offset = quantity<struct store_offset_unit>;

/// How often the store has come back from an older copy of itself. After that, offsets that were lost are given out again.
using store_era = quantity<struct store_era_unit>;

/// A position in a topic. Positions of different eras are neither equal nor ordered.
struct store_position
{
    store_era era;
    store_offset offset;

    friend bool operator==(const store_position &, const store_position &) = default;

    friend std::partial_ordering operator<=>(const store_position &left, const store_position &right)
    {
        return left.era == right.era ? std::partial_ordering(left.offset <=> right.offset) : std::partial_ordering::unordered;
    }
};

} // namespace burdockshelf
