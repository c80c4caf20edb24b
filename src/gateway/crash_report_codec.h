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
/// Decodes a report. The ages are taken as of now, unless the report was written much earlier according to the Unix time.
outcome<crash_report> decodeCrashReport(std::string_view text, instant now, std::chrono::milliseconds unixNow);

} // namespace burdockshelf
