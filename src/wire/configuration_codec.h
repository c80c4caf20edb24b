#pragma once

#include "core/outcome.h"
#include "state/log_record.h"
#include "wire/json_reader.h"
#include "wire/json_writer.h"

#include <string>
#include <string_view>

namespace burdockshelf
{

/// Decodes a complete configuration document. Unknown keys, wrong types, values out of range and references to missing entries are errors.
/// The document does not contain the configuration's version, so the result has version 0.
outcome<configuration> decodeConfiguration(std::string_view text);
std::string encodeConfiguration(const configuration &config);

/// The sections of a configuration as part of another document. The read functions return no error; it is kept in the reader. They do not
/// check references between entries.
void writeConfiguration(json_writer &writer, const configuration &config);
configuration readConfiguration(json_reader &reader);

/// A configuration change: each changed entry with its new value, or null if it is removed. Sections without changes are omitted.
void writeConfigurationChange(json_writer &writer, const configuration_change &change);
configuration_change readConfigurationChange(json_reader &reader);

} // namespace burdockshelf
