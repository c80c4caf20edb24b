#pragma once

#include "core/random_source.h"
#include "forwarding/endpoint_availability.h"

#include <optional>

namespace burdockshelf
{

/// The return of an endpoint from its pause. After the pause, and a random time that differs between instances, the endpoint gets one
/// request at a time until one succeeds, so that the requests that have come meanwhile do not reach it in one burst. Does no I/O.
class pause_return
{
public:
    /// Starts over with a pause that ends at the given time.
    void begin(deadline pausedUntil, instant now, random_source &random);
    /// Available, pausing or probing.
    endpoint_availability check(instant now) const;
    void noteSent(instant now);
    /// Records the response to a request that was sent at the given time. Returns true when that ends the return.
    bool noteAnswered(instant sentAt, int status) const;
    /// A request has ended without having ended the return.
    void noteEnded(instant sentAt, instant now);

private:
    deadline m_nextProbeAt;
    /// When the request was sent whose response is awaited.
    std::optional<instant> m_probeSentAt;
};

} // namespace burdockshelf
