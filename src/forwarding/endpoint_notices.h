#pragma once

#include "core/deadline.h"
#include "forwarding/endpoint_entry.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace burdockshelf
{

/// What an endpoint states in the head of a response about the further requests that it wants.
struct endpoint_notice
{
    /// The endpoint is about to end and wants no new request.
    bool isLeaving = false;
    /// The endpoint has turned the request away and wants no request from this instance before then.
    std::optional<deadline> pausedUntil;
    /// The endpoint stated a time for its pause that cannot be read; it counts as not stated.
    bool isPauseMalformed = false;

    bool isEmpty() const;
};

/// What a notice has changed.
struct notice_change
{
    bool isNewlyLeaving = false;
    /// The endpoint was not pausing before.
    bool isNewlyPausing = false;
    /// The end of the pause was set or moved to a later time.
    bool isPauseExtended = false;
    /// The first unreadable time of this process.
    bool isFirstMalformed = false;
    /// The endpoint whose notices were discarded to bound the memory.
    std::optional<endpoint_id> discarded;
};

/// Longest pause that is granted to an endpoint after one response, however long the endpoint asks for.
constexpr std::chrono::seconds maxEndpointPause {30};

/// The notices of the endpoints' processes. They are the instance's own knowledge: neither a registration nor its absence undoes them, only
/// a later process under the same id does. Does no I/O.
class endpoint_notices
{
public:
    /// Records a notice of a process. A notice of an earlier process than the one known is ignored. A pause ends at the latest time that
    /// any response has stated, and not later than maxEndpointPause from now.
    notice_change note(const endpoint_process &from, const endpoint_notice &notice, instant now);
    /// Discards the notices of an earlier process under this id. Returns true when there were any.
    bool noteStarted(const endpoint_process &process);
    bool isLeaving(const endpoint_process &process) const;
    /// The end of the process's pause; the zero point of the clock when it has never asked for one.
    deadline pausedUntil(const endpoint_process &process) const;

private:
    struct record
    {
        endpoint_start_time startTime;
        bool isLeaving = false;
        bool hasBeenMalformed = false;
        deadline pausedUntil;
        /// Position in the order of the latest notices.
        std::uint64_t sequence = 0;
    };

    const record *find(const endpoint_process &process) const;
    endpoint_id discardOldest();

    std::map<endpoint_id, record> m_records;
    std::uint64_t m_lastSequence = 0;
};

} // namespace burdockshelf
