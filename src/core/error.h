#pragma once

#include <ostream>
#include <string>
#include <string_view>

namespace burdockshelf
{

/// Machine-readable kind of an error.
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

/// Returns the name of the code as used in responses and logs, for example "quota_exceeded".
std::string_view errorCodeName(error_code code);

/// An error code with a one-line message for people. The message must not contain an API key or a prompt.
struct error
{
    error_code code = error_code::internal;
    std::string message;

    friend bool operator==(const error &, const error &) = default;
};

std::ostream &operator<<(std::ostream &stream, const error &failure);

} // namespace burdockshelf
