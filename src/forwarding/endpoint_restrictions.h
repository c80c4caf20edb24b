#pragma once

#include "forwarding/endpoint_availability.h"
#include "forwarding/endpoint_notices.h"
#include "forwarding/pause_return.h"

#include <map>
#include <vector>

namespace burdockshelf
{

/// Restrictions on new requests that follow from the responses of the endpoints: which endpoints leave, which pause, and how the latter get
/// requests again. Owned by endpoint_table.
class endpoint_restrictions
{
public:
    notice_change note(const endpoint_process &from, const endpoint_notice &notice, instant now, random_source &random);
    /// Discards what an earlier process under this id has stated. Returns true when there was anything.
    bool noteStarted(const endpoint_process &process);
    /// Available, leaving, pausing or probing.
    endpoint_availability check(const endpoint_process &process, instant now) const;
    void noteSent(const endpoint_process &process, instant now);
    /// Records the response to a request that was sent at the given time. Returns true when the endpoint has thereby returned from a pause.
    bool noteAnswered(const endpoint_process &process, instant sentAt, int status);
    void noteEnded(const endpoint_process &process, instant sentAt, instant now);

private:
    endpoint_notices m_notices;
    /// The endpoints that have paused and have not returned yet.
    std::map<endpoint_id, pause_return> m_returns;
};

} // namespace burdockshelf
