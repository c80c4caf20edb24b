#pragma once

#include "core/outcome.h"
#include "forwarding/stream_origins.h"
#include "forwarding/version_record.h"

#include <string>
#include <string_view>
#include <vector>

namespace burdockshelf
{

/// Encodes the versions of a service as JSON.
std::string encodeVersions(const std::set<service_version> &versions);
outcome<std::set<service_version>> decodeVersions(std::string_view text);

/// Encodes the open streams of an instance as JSON, grouped by service and version.
std::string encodeOpenStreams(const std::vector<open_stream> &streams);
outcome<std::vector<open_stream>> decodeOpenStreams(std::string_view text);

} // namespace burdockshelf
