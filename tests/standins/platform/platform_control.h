#pragma once

#include "core/ids.h"
#include "core/outcome.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

namespace burdockshelf
{

/// How the list shows an instance, whatever it announces.
enum class list_override
{
    none,
    gone,
    leaving,
};

/// A request to POST /control. What is not named stays as it is.
struct platform_control
{
    /// The log answers 503.
    std::optional<bool> hasOutage;
    /// The instance list answers 503.
    std::optional<bool> hasListOutage;
    std::optional<std::chrono::milliseconds> readDelay;
    /// Time before an append takes effect.
    std::optional<std::chrono::milliseconds> appendDelay;
    /// Appends whose connection is closed after the effect.
    std::optional<std::int64_t> lostAppendReplies;
    std::optional<std::chrono::milliseconds> listLag;
    /// Drops all but so many of the newest records now.
    std::optional<std::size_t> keptRecords;
    std::map<instance_id, list_override> overrides;
};

/// Reads {"outage", "list_outage", "read_delay_ms", "append_delay_ms", "lose_append_replies", "list_lag_ms", "keep_records",
/// "instances": {"<instance>": "none|gone|leaving"}}, all optional.
outcome<platform_control> decodePlatformControl(std::string_view text);

} // namespace burdockshelf
