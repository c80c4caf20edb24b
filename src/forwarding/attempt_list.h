#pragma once

#include "forwarding/flow_messages.h"

#include <optional>
#include <vector>

namespace burdockshelf
{

/// An attempt of a request that is still in progress.
struct flow_attempt
{
    attempt_number number;
    attempt_kind attemptKind = attempt_kind::plain_call;
    endpoint_id endpoint;
    /// Identifies the endpoint's process together with its id.
    endpoint_start_time endpointStartTime;
    service_version version;
    data_centre_id dataCentre;
    instant sentAt;
    /// When the first part of the response's body arrived.
    std::optional<instant> firstOutputAt;
    /// The endpoint counts as failed when it has sent no byte of its response by then.
    deadline responseDeadline = deadline::never();
    /// When the attempt next times out. At first this is the response deadline. Each received part of the response sets it to the end of
    /// the idle timeout of the stream, a prefill at a busy endpoint gets more time, and after a timeout that is not extended it is never.
    deadline timeoutAt = deadline::never();
    bool hasResponse = false;
    /// The endpoint has stayed alive long enough after the first output to clear the parts of the prompt.
    bool hasSurvived = false;
};

/// True for plain calls and decodes, which execute the request; reservations and prefills do not.
bool executesRequest(attempt_kind attemptKind);

/// What the end of an attempt says about the health of its endpoint. Once the request is over, a missing response says nothing.
health_verdict healthVerdictOf(const flow_attempt &ended, attempt_outcome outcome, const response_summary &response, bool isRequestOver);

/// The attempts of one request that are still in progress, and the endpoints that it was sent to.
class attempt_list
{
public:
    /// Adds an attempt with the next number. The first byte of its response is expected before the given deadline.
    const flow_attempt &add(attempt_kind attemptKind, const endpoint_entry &endpoint, instant now, deadline responseDeadline);
    flow_attempt *find(attempt_number number);
    /// Removes an attempt; empty when it has ended already.
    std::optional<flow_attempt> take(attempt_number number);

    bool isEmpty() const;
    /// A copy, so that attempts can be removed while iterating.
    std::vector<flow_attempt> all() const;
    /// True when an attempt in progress may be executing the request.
    bool mayBeRunning() const;
    bool isNewest(attempt_number number) const;
    attempt_number newest() const;
    /// The earliest timeout of all attempts; never when there is none.
    deadline nextTimeout() const;
    /// Endpoints that a plain call, prefill or decode of the request was sent to; reservations are not included.
    const std::vector<endpoint_id> &tried() const;

private:
    std::vector<flow_attempt> m_attempts;
    std::vector<endpoint_id> m_tried;
    attempt_number m_newest;
};

} // namespace burdockshelf
