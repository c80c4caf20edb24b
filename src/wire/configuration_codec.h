#pragma once

#include "core/outcome.h"
#include "state/log_record.h"
#include "wire/json_reader.h"
#include "wire/json_writer.h"

#include <string>
#include <string_view>

namespace burdockshelf
{

/// Reads a whole configuration document and checks it: unknown keys, types, ranges, and that everything it refers to is there. The version
/// in force is no part of the document and stays 0.
outcome<configuration> decodeConfiguration(std::string_view text);
std::string encodeConfiguration(const configuration &config);

/// The parts of a document inside other documents. Readers leave their errors in the reader; references are not checked.
void writeConfiguration(json_writer &writer, const configuration &config);
configuration readConfiguration(json_reader &reader);

/// Entries that are set, or null for those that are removed. Empty sections are left out.
void writeConfigurationChange(json_writer &writer, const configuration_change &change);
configuration_change readConfigurationChange(json_reader &reader);

} // namespace burdockshelf
