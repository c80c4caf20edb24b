#pragma once

#include "core/outcome.h"
#include "forwarding/prompt_quarantine.h"

#include <string>
#include <string_view>

namespace burdockshelf
{

/// Encodes a report for the platform's store. Times are written as ages, and the report carries the Unix time at which it was written. Ids
/// come from callers; the length of each is limited.
std::string encodeCrashReport(const crash_report &report, instant now, std::chrono::milliseconds unixNow);
/// Decodes a report that has just been written: its ages are taken as of now.
outcome<crash_report> decodeCrashReport(std::string_view text, instant now);
/// Decodes a report of any age. If it was written long ago according to the Unix time, the ages grow accordingly.
outcome<crash_report> decodeStoredCrashReport(std::string_view text, instant now, std::chrono::milliseconds unixNow);

} // namespace burdockshelf
