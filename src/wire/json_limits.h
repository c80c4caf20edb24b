#pragma once

#include "core/units.h"

#include <cstddef>
#include <string_view>

#include <nlohmann/json.hpp>

namespace burdockshelf
{

/// Bounds on what a JSON text from another process may cost once parsed. A level of nesting or an element of a list takes up to eighty
/// times its text, so a bound on the text alone is not enough.
struct json_limits
{
    /// Levels of arrays and objects within each other.
    std::size_t nesting = 0;
    /// Memory of the parsed document.
    byte_count memory;
};

/// The largest documents: configurations, settings and snapshots of the product.
constexpr json_limits documentLimits = {64, byte_count(64 * 1024 * 1024)};
/// Prompts of callers, whose text is one string for the most part.
constexpr json_limits promptLimits = {64, byte_count(32 * 1024 * 1024)};
/// Responses to single calls, events of a stream, records and messages of other instances.
constexpr json_limits messageLimits = {64, byte_count(8 * 1024 * 1024)};

/// True if the parsed document would stay within the limits. The text need not be valid JSON.
bool isWithin(std::string_view text, const json_limits &limits);

/// Parses a JSON text without exceptions. The result is discarded (is_discarded()) if the text is not JSON or exceeds the limits, which is
/// checked before anything is allocated.
nlohmann::json parseWithin(std::string_view text, const json_limits &limits);

} // namespace burdockshelf
