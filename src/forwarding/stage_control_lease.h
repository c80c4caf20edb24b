#pragma once

#include "core/deadline.h"
#include "core/units.h"

#include <chrono>

namespace burdockshelf
{

/// Whether this instance may order engines to change. The store deals the duty to one member of a group; its generation orders the holders.
/// The lease counts from the sending of the call that confirmed it, on a clock that counts suspended time, and a new holder waits until an
/// earlier one has surely stopped.
class stage_control_lease
{
public:
    /// The time within which two holders must not take turns.
    explicit stage_control_lease(std::chrono::milliseconds minHandoverInterval);

    /// The answer to a call that was sent at the given time.
    void noteResponse(bool holdsDuty, fencing_token generation, instant sentAt);
    /// The duty was given up.
    void drop();

    bool mayIssueOrders(instant now) const;
    bool isHeld() const;
    fencing_token generation() const;

private:
    std::chrono::milliseconds m_turnTime;
    fencing_token m_generation;
    bool m_isHeld = false;
    deadline m_confirmedUntil;
    deadline m_waitUntil = deadline::never();
};

} // namespace burdockshelf
