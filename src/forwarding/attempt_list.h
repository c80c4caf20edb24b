#pragma once

#include "forwarding/flow_messages.h"

#include <optional>
#include <vector>

namespace burdockshelf
{

/// An attempt of a request that has not ended.
struct flow_attempt
{
    attempt_number number;
    attempt_kind attemptKind = attempt_kind::plain_call;
    endpoint_id endpoint;
    instant sentAt;
    /// An endpoint that has not answered by then has failed.
    deadline answerDue = deadline::never();
    /// When the attempt counts as silent next.
    deadline silentAt = deadline::never();
    bool isAnswered = false;
};

/// True for duties that run the request; reading its prompt and setting aside room do not.
bool executesRequest(attempt_kind attemptKind);

/// What the end of an attempt says of its endpoint's health. Once the request is over, a missing answer says nothing.
endpoint_verdict verdictOf(const flow_attempt &ended, attempt_outcome end, const response_summary &answer, bool isRequestOver);

/// The attempts of one request that have not ended, and the endpoints that it was sent to.
class attempt_list
{
public:
    /// Numbers and keeps a new attempt, whose answer is due by the given time.
    const flow_attempt &add(attempt_kind attemptKind, const endpoint_id &endpoint, instant now, deadline answerDue);
    flow_attempt *find(attempt_number number);
    /// Takes an attempt out; nothing when it has ended before.
    std::optional<flow_attempt> take(attempt_number number);

    bool isEmpty() const;
    /// A copy, for loops that end attempts.
    std::vector<flow_attempt> all() const;
    /// An attempt is under way that may be running the request.
    bool mayBeRunning() const;
    bool isNewest(attempt_number number) const;
    /// When the next attempt counts as silent.
    deadline nextSilence() const;
    /// Endpoints that the request was sent to, reservations excepted.
    const std::vector<endpoint_id> &tried() const;

private:
    std::vector<flow_attempt> m_attempts;
    std::vector<endpoint_id> m_tried;
    attempt_number m_newest;
};

} // namespace burdockshelf
