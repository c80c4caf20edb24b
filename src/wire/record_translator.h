#pragma once

#include "core/outcome.h"
#include "state/stored_record.h"

#include <string>
#include <string_view>

namespace burdockshelf
{

/// A log record as text.
struct translated_record
{
    std::string kind;
    std::string body;
};

/// The codecs of log records and snapshots, as peer_codec needs them. Both produce JSON text.
struct record_translator
{
    translated_record (*encodeRecord)(const log_record &record) = nullptr;
    outcome<log_record> (*decodeRecord)(std::string_view kind, std::string_view body) = nullptr;
    std::string (*encodeSnapshot)(const snapshot &state) = nullptr;
    outcome<snapshot> (*decodeSnapshot)(std::string_view text) = nullptr;
};

/// The codecs of this library.
record_translator recordTranslator();

} // namespace burdockshelf
