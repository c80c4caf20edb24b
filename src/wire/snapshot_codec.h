#pragma once

#include "core/outcome.h"
#include "state/snapshot.h"
#include "wire/json_reader.h"
#include "wire/json_writer.h"

#include <string>
#include <string_view>

namespace burdockshelf
{

/// A snapshot as a separate document, with a format version.
std::string encodeSnapshot(const snapshot &state);
outcome<snapshot> decodeSnapshot(std::string_view text);

/// A snapshot as part of another document. The read function returns no error; it is kept in the reader.
void writeSnapshot(json_writer &writer, const snapshot &state);
snapshot readSnapshot(json_reader &reader);

} // namespace burdockshelf
