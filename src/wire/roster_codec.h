#pragma once

#include "state/log_record.h"
#include "wire/json_reader.h"
#include "wire/json_writer.h"

#include <optional>
#include <string_view>
#include <vector>

namespace burdockshelf
{

/// Roster members and takeovers as parts of other documents. The read functions return no error; it is kept in the reader.
void writeMembers(json_writer &writer, std::string_view key, const std::vector<roster_member> &members);
std::vector<roster_member> readMembers(json_reader &reader, std::string_view key);
/// An optional member, omitted from the document if there is none.
void writeOptionalMember(json_writer &writer, std::string_view key, const std::optional<roster_member> &member);
std::optional<roster_member> readOptionalMember(json_reader &reader, std::string_view key);
void writeRosterTakeover(json_writer &writer, const roster_takeover &takeover);
roster_takeover readRosterTakeover(json_reader &reader);

} // namespace burdockshelf
