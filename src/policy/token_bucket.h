#pragma once

#include "core/boot_clock.h"
#include "core/units.h"

#include <cstdint>
#include <vector>

namespace burdockshelf
{

/// Rate and size of a token bucket.
struct bucket_limit
{
    token_rate rate;
    token_count cap;

    friend bool operator==(const bucket_limit &, const bucket_limit &) = default;
};

/// The smaller value of each part.
bucket_limit smallerLimit(const bucket_limit &left, const bucket_limit &right);

/// A token bucket that begins empty. A refund is limited so that the bucket ends as if the true cost had been taken at once: it never
/// exceeds the least free room since the charge. Room and not level is remembered, because the cap may have changed in between. Levels are
/// exact, in tokens * 10^-9.
class token_bucket
{
public:
    /// A charge's place in the bucket's history.
    using position = std::uint64_t;

    explicit token_bucket(instant now = {});

    /// Adds the tokens due until then. Earlier instants change nothing.
    void advance(instant now);
    /// Goes on from an instant without the tokens of the time before.
    void skipTo(instant now);
    /// Sets the limit from the current instant on; a level above the cap is cut.
    void setLimit(const bucket_limit &limit);
    /// Drops all tokens and forgets all charges; debt stays.
    void drop();

    /// Takes the amount if it is there.
    bool take(token_count amount);
    /// Takes the amount even if the level goes below zero.
    void takeDebt(token_count amount);
    /// The position of the charge that was just taken.
    position lastPosition() const;
    /// Gives back tokens of a charge, and tells how many the limit allowed.
    token_count refund(position charge, token_count amount);
    /// Gives back tokens together with the room that was taken out of the cap for them.
    void returnWithRoom(token_count amount);

    const bucket_limit &limit() const;
    /// Whole tokens, negative for a debt.
    token_count level() const;

private:
    struct low_room
    {
        position at = 0;
        std::int64_t room = 0;
    };

    std::int64_t room() const;
    void noteRoom();
    void mergeRooms();

    bucket_limit m_limit;
    instant m_now;
    std::int64_t m_level = 0;
    position m_position = 0;
    position m_forgottenUntil = 0;
    // Least room of each stretch between charges, room rising with the position; others are covered by a later, lower one.
    std::vector<low_room> m_rooms;
};

} // namespace burdockshelf
