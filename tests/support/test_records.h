#pragma once

#include "wire/record_codec_table.h"

/// Stands in for the codecs of records and snapshots: knows one kind of record and the covered offset of a snapshot.
inline burdockshelf::record_codec_table testRecords()
{
    using namespace burdockshelf;
    record_codec_table records;
    records.encodeRecord = [](const log_record &record) -> serialized_record {
        return {"key_withdraw", "[\"" + std::get<key_withdrawal>(record).key.value() + "\"]"};
    };
    records.decodeRecord = [](std::string_view kind, std::string_view body) -> outcome<log_record> {
        if (kind != "key_withdraw" || body.size() < 4 || !body.starts_with("[\"") || !body.ends_with("\"]")) {
            return failure(error_code::invalid_message, "no withdrawal");
        }
        return log_record(key_withdrawal {key_id(std::string(body.substr(2, body.size() - 4)))});
    };
    records.encodeSnapshot = [](const snapshot &state) {
        return std::to_string(state.covered.value());
    };
    records.decodeSnapshot = [](std::string_view text) -> outcome<snapshot> {
        if (text.empty() || text.find_first_not_of("-0123456789") != std::string_view::npos) {
            return failure(error_code::invalid_message, "no snapshot");
        }
        snapshot state;
        state.covered = log_offset(std::strtoll(std::string(text).c_str(), nullptr, 10));
        return state;
    };
    return records;
}
