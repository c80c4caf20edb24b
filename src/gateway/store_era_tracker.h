#pragma once

#include "gateway/store_position.h"

#include <optional>

namespace burdockshelf
{

/// What the era of a response means for what has been read before.
enum class era_verdict
{
    /// Of the same era as what has been read.
    current,
    /// The store has been restored: all topics have to be read anew, and the response itself is not used.
    risen,
    /// From before a restore; the response is ignored.
    outdated,
};

/// Decides by the eras that are seen in responses when the store has been restored from an older copy. Does no I/O. Owned by store_task.
class store_era_tracker
{
public:
    /// Judges a response of the store. Without an era it is of the present one.
    era_verdict judgeStore(std::optional<store_era> seen);
    /// Judges a message of another instance. Without an era it comes from an older build, or from an instance that knows none; it may then
    /// be of an era before a restore that this process has seen.
    era_verdict judgePeer(std::optional<store_era> seen);

    /// The latest era; nullopt until one was seen.
    std::optional<store_era> current() const;

private:
    era_verdict judge(store_era seen);

    std::optional<store_era> m_current;
    /// Responses without an era have been used.
    bool m_hasReadWithoutEra = false;
    bool m_hasSeenRestore = false;
};

} // namespace burdockshelf
