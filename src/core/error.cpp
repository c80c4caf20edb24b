#include "core/error.h"

#include <array>

namespace burdockshelf
{

namespace
{

struct code_name
{
    error_code code;
    std::string_view name;
};

constexpr std::array codeNames = {
    code_name {error_code::invalid_argument, "invalid_argument"},
    code_name {error_code::invalid_settings, "invalid_settings"},
    code_name {error_code::invalid_message, "invalid_message"},
    code_name {error_code::unknown_key, "unknown_key"},
    code_name {error_code::key_withdrawn, "key_withdrawn"},
    code_name {error_code::forbidden, "forbidden"},
    code_name {error_code::not_found, "not_found"},
    code_name {error_code::too_large, "too_large"},
    code_name {error_code::quota_exceeded, "quota_exceeded"},
    code_name {error_code::overloaded, "overloaded"},
    code_name {error_code::deadline_exceeded, "deadline_exceeded"},
    code_name {error_code::unavailable, "unavailable"},
    code_name {error_code::connection_refused, "connection_refused"},
    code_name {error_code::connection_lost, "connection_lost"},
    code_name {error_code::cancelled, "cancelled"},
    code_name {error_code::conflict, "conflict"},
    code_name {error_code::stale_epoch, "stale_epoch"},
    code_name {error_code::in_progress, "in_progress"},
    code_name {error_code::outcome_unknown, "outcome_unknown"},
    code_name {error_code::unsupported, "unsupported"},
    code_name {error_code::internal, "internal"},
};

} // namespace

std::string_view errorCodeName(error_code code)
{
    for (const code_name &entry : codeNames) {
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
