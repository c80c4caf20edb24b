#pragma once

#include <ostream>
#include <string>
#include <string_view>

namespace burdockshelf
{

/// What went wrong, as a value that code can decide on.
enum class error_code
{
    invalid_argument,
    invalid_settings,
    invalid_message,
    unknown_key,
    key_withdrawn,
    forbidden,
    not_found,
    too_large,
    quota_exceeded,
    overloaded,
    deadline_exceeded,
    unavailable,
    connection_refused,
    connection_lost,
    cancelled,
    conflict,
    stale_epoch,
    in_progress,
    outcome_unknown,
    unsupported,
    internal,
};

/// The code's name as it stands in answers and logs, for example "quota_exceeded".
std::string_view errorCodeName(error_code code);

/// An error: its code and one line of text for a person. The text holds no key and no prompt.
struct error
{
    error_code code = error_code::internal;
    std::string message;

    friend bool operator==(const error &, const error &) = default;
};

std::ostream &operator<<(std::ostream &stream, const error &failure);

} // namespace burdockshelf
