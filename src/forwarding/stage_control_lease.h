#pragma once

#include "core/deadline.h"
#include "core/units.h"

#include <chrono>

namespace burdockshelf
{

/// Decides whether this instance holds stage control, that is, whether it may order engines to change their stage. The platform's store
/// assigns stage control to one member of the group; its generation rises with each holder. A confirmation is valid from the time at which
/// its call was sent, measured on a clock that counts suspended time. A new holder waits until the lease of the previous one has surely
/// expired.
class stage_control_lease
{
public:
    /// Least time between the orders of two different holders.
    explicit stage_control_lease(std::chrono::milliseconds minHandoverInterval);

    /// Handles the response of the store to a call that was sent at the given time.
    void noteResponse(bool holdsStageControl, fencing_token generation, instant sentAt);
    /// Gives up stage control.
    void drop();

    bool mayIssueOrders(instant now) const;
    bool isHeld() const;
    fencing_token generation() const;

private:
    std::chrono::milliseconds m_minHandoverInterval;
    fencing_token m_generation;
    bool m_isHeld = false;
    deadline m_confirmedUntil;
    deadline m_waitUntil = deadline::never();
};

} // namespace burdockshelf
