#pragma once

#include "core/outcome.h"
#include "state/stored_record.h"

#include <string>
#include <string_view>

namespace burdockshelf
{

/// A log record as its kind and a JSON body.
struct serialized_record
{
    std::string kind;
    std::string body;
};

/// Functions that encode and decode log records and snapshots as JSON text, for peer_codec.
struct record_codec_table
{
    serialized_record (*encodeRecord)(const log_record &record) = nullptr;
    outcome<log_record> (*decodeRecord)(std::string_view kind, std::string_view body) = nullptr;
    std::string (*encodeSnapshot)(const snapshot &state) = nullptr;
    outcome<snapshot> (*decodeSnapshot)(std::string_view text) = nullptr;
};

/// The functions of record_codec.h and snapshot_codec.h.
record_codec_table makeRecordCodecTable();

} // namespace burdockshelf
