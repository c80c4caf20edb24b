#include "forwarding/attempt_list.h"

#include <algorithm>

namespace burdockshelf
{

bool executesRequest(attempt_kind attemptKind)
{
    return attemptKind == attempt_kind::plain_call || attemptKind == attempt_kind::decode;
}

health_verdict healthVerdictOf(const flow_attempt &ended, attempt_outcome end, const response_summary &response, bool isRequestOver)
{
    if (ended.attemptKind == attempt_kind::reserve && (end == attempt_outcome::whole || end == attempt_outcome::rejected)) {
        // A refused reservation only means that the endpoint is full.
        return health_verdict::abandoned;
    }
    switch (end) {
    case attempt_outcome::whole:
        return response.status >= firstServerErrorStatus ? health_verdict::failed : health_verdict::good;
    case attempt_outcome::rejected:
        return health_verdict::refused;
    case attempt_outcome::misdirected:
    case attempt_outcome::not_sent:
        return health_verdict::unreachable;
    case attempt_outcome::withheld:
        return health_verdict::abandoned;
    case attempt_outcome::lost:
        return isRequestOver && !ended.hasResponse ? health_verdict::abandoned : health_verdict::failed;
    }
    return health_verdict::failed;
}

const flow_attempt &attempt_list::add(attempt_kind attemptKind, const endpoint_entry &endpoint, instant now, deadline responseDeadline)
{
    m_newest += attempt_number(1);
    flow_attempt attempt;
    attempt.number = m_newest;
    attempt.attemptKind = attemptKind;
    attempt.endpoint = endpoint.id;
    attempt.endpointStartTime = endpoint.startTime;
    attempt.version = endpoint.version;
    attempt.dataCentre = endpoint.dataCentre;
    attempt.sentAt = now;
    attempt.responseDeadline = responseDeadline;
    attempt.timeoutAt = responseDeadline;
    if (attemptKind != attempt_kind::reserve) {
        m_tried.push_back(endpoint.id);
    }
    m_attempts.push_back(attempt);
    return m_attempts.back();
}

flow_attempt *attempt_list::find(attempt_number number)
{
    const auto found =
        std::find_if(m_attempts.begin(), m_attempts.end(), [&](const flow_attempt &attempt) { return attempt.number == number; });
    return found == m_attempts.end() ? nullptr : &*found;
}

std::optional<flow_attempt> attempt_list::take(attempt_number number)
{
    const flow_attempt *found = find(number);
    if (found == nullptr) {
        return std::nullopt;
    }
    flow_attempt taken = *found;
    m_attempts.erase(m_attempts.begin() + (found - m_attempts.data()));
    return taken;
}

bool attempt_list::isEmpty() const
{
    return m_attempts.empty();
}

std::vector<flow_attempt> attempt_list::all() const
{
    return m_attempts;
}

bool attempt_list::mayBeRunning() const
{
    return std::any_of(
        m_attempts.begin(), m_attempts.end(), [](const flow_attempt &attempt) { return executesRequest(attempt.attemptKind); });
}

bool attempt_list::isNewest(attempt_number number) const
{
    return number == m_newest;
}

attempt_number attempt_list::newest() const
{
    return m_newest;
}

deadline attempt_list::nextTimeout() const
{
    deadline next = deadline::never();
    for (const flow_attempt &attempt : m_attempts) {
        next = std::min(next, attempt.timeoutAt);
    }
    return next;
}

const std::vector<endpoint_id> &attempt_list::tried() const
{
    return m_tried;
}

} // namespace burdockshelf
