#include "core/error.h"

#include <array>

namespace burdockshelf
{

namespace
{

struct error_code_name
{
    error_code code;
    std::string_view name;
};

constexpr std::array errorCodeNames = {
    error_code_name {error_code::invalid_argument, "invalid_argument"},
    error_code_name {error_code::invalid_settings, "invalid_settings"},
    error_code_name {error_code::invalid_message, "invalid_message"},
    error_code_name {error_code::unknown_key, "unknown_key"},
    error_code_name {error_code::key_withdrawn, "key_withdrawn"},
    error_code_name {error_code::forbidden, "forbidden"},
    error_code_name {error_code::not_found, "not_found"},
    error_code_name {error_code::too_large, "too_large"},
    error_code_name {error_code::quota_exceeded, "quota_exceeded"},
    error_code_name {error_code::overloaded, "overloaded"},
    error_code_name {error_code::deadline_exceeded, "deadline_exceeded"},
    error_code_name {error_code::unavailable, "unavailable"},
    error_code_name {error_code::connection_refused, "connection_refused"},
    error_code_name {error_code::connection_lost, "connection_lost"},
    error_code_name {error_code::cancelled, "cancelled"},
    error_code_name {error_code::conflict, "conflict"},
    error_code_name {error_code::stale_epoch, "stale_epoch"},
    error_code_name {error_code::in_progress, "in_progress"},
    error_code_name {error_code::outcome_unknown, "outcome_unknown"},
    error_code_name {error_code::unsupported, "unsupported"},
    error_code_name {error_code::internal, "internal"},
};

} // namespace

std::string_view errorCodeName(error_code code)
{
    for (const error_code_name &entry : errorCodeNames) {
        if (entry.code == code) {
            return entry.name;
        }
    }
    return "internal";
}

std::ostream &operator<<(std::ostream &stream, const error &failure)
{
    return stream << errorCodeName(failure.code) << ": " << failure.message;
}

} // namespace burdockshelf
