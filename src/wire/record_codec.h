#pragma once

#include "core/outcome.h"
#include "state/stored_record.h"

#include <string>
#include <string_view>

namespace burdockshelf
{

/// A record as it is stored in the platform's log.
struct encoded_record
{
    std::string kind;
    std::string body;
};

encoded_record encodeRecord(const log_record &record);

/// An unknown kind or a newer version gives an unknown_record with the unchanged body. A malformed body is an error.
outcome<log_record> decodeRecord(std::string_view kind, std::string_view body);

} // namespace burdockshelf
