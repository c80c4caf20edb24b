#include "forwarding/flow_messages.h"

#include <array>

namespace burdockshelf
{

std::string_view refusalCauseName(refusal_cause cause)
{
    static constexpr std::array<std::string_view, 17> names = {
        "not_ready",
        "unknown_route",
        "unknown_key",
        "over_quota",
        "no_endpoint",
        "overloaded",
        "expired",
        "timed_out",
        "endpoint_failed",
        "shutting_down",
        "quarantined",
        "suspected",
        "endpoints_pausing",
        "endpoints_leaving",
        "stream_unknown",
        "stream_lookup_failed",
        "stream_version_gone",
    };
    return names.at(static_cast<std::size_t>(cause));
}

bool isUnsent(attempt_outcome end)
{
    return end == attempt_outcome::not_sent || end == attempt_outcome::withheld;
}

std::string_view attemptOutcomeName(attempt_outcome end)
{
    static constexpr std::array<std::string_view, 6> names = {"whole", "rejected", "misdirected", "not_sent", "lost", "withheld"};
    return names.at(static_cast<std::size_t>(end));
}

bool isNotExecuted(attempt_outcome end)
{
    return isUnsent(end) || end == attempt_outcome::rejected || end == attempt_outcome::misdirected;
}

std::string_view cancelCauseName(cancel_cause cause)
{
    static constexpr std::array<std::string_view, 3> names = {"superseded", "event_too_long", "not_a_continuation"};
    return names.at(static_cast<std::size_t>(cause));
}

} // namespace burdockshelf
