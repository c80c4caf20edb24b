#pragma once

#include "core/deadline.h"
#include "runtime/backoff.h"

namespace burdockshelf
{

/// Limits the calls of an instance to the store while it does not respond. The topics of one instance fail together, and every failed call
/// is charged: after a failure only one call at a time is made, with growing pauses, until one succeeds. Owned by store_task.
class store_gate
{
public:
    store_gate();

    /// When the next call may be made; at once while the store responds.
    deadline nextCallAt(instant now) const;
    /// True until a call succeeds after a failure. Calls should be short then, so that it is known soon whether the store responds.
    bool isFailing() const;
    /// A call that may be made at this time has begun.
    void noteBegun(instant now);
    void noteSuccess();
    void noteFailure(instant now, random_source &random);

private:
    bool m_isFailing = false;
    /// A call was begun since the last failure.
    bool m_isProbing = false;
    /// While failing: the next call, or how long the present one is waited for.
    deadline m_nextCallAt;
    backoff m_backoff;
};

} // namespace burdockshelf
