#include "forwarding/flow_messages.h"

#include <array>

namespace burdockshelf
{

std::string_view refusalCauseName(refusal_cause cause)
{
    static constexpr std::array<std::string_view, 12> names = {
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
    };
    return names.at(static_cast<std::size_t>(cause));
}

std::string_view attemptOutcomeName(attempt_outcome end)
{
    static constexpr std::array<std::string_view, 5> names = {"whole", "rejected", "misdirected", "not_sent", "lost"};
    return names.at(static_cast<std::size_t>(end));
}

std::string_view cancelCauseName(cancel_cause cause)
{
    static constexpr std::array<std::string_view, 2> names = {"superseded", "event_too_long"};
    return names.at(static_cast<std::size_t>(cause));
}

} // namespace burdockshelf
