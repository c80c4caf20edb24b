#pragma once

#include "core/outcome.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace burdockshelf
{

/// One line of an instance's log, as src/logging writes it.
struct logged_line
{
    /// Name that a collector wrote in front of the line, or that of the log.
    std::string instance;
    /// The instance's own clock, since 1970.
    std::chrono::milliseconds writtenAt {0};
    std::string part;
    std::string event;
    /// The line's other values by name.
    std::map<std::string, std::string, std::less<>> values;

    /// Empty when the line has no such value.
    std::string_view valueOf(std::string_view name) const;
    bool operator==(const logged_line &other) const = default;
};

/// Reads a line. Nothing for a line that is no structured log line at all; an error for one that is damaged. Words in front of the time
/// come from a collector; the last of them names the instance.
outcome<std::optional<logged_line>> readLoggedLine(std::string_view line, std::string_view logName);

} // namespace burdockshelf
