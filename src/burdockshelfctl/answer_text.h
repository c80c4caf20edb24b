#pragma once

#include "core/socket_address.h"
#include "state/configuration.h"

#include <chrono>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace burdockshelf
{

/// The whole numbers that an answer may be.
struct answer_range
{
    std::int64_t lowest = 0;
    std::int64_t highest = std::numeric_limits<std::int64_t>::max();
};

// Answers are typed on a terminal or stand in a file, so all of them are read from text. readAnswer() is false when the text is not
// allowed; names of other entries must be among those known so far.

bool readAnswer(std::string_view text, answer_range range, std::int64_t &value);
bool readAnswer(std::string_view text, bool &value);
bool readAnswer(std::string_view text, service_kind &value);
bool readAnswer(std::string_view text, endpoint_role &value);
bool readAnswer(std::string_view text, socket_address &value);

std::string_view serviceKindName(service_kind kind);
std::string_view endpointRoleName(endpoint_role role);

/// True for 1 to 64 of the characters a-z, 0-9, '.', '_' and '-', beginning with a letter or digit. Names stand in URLs, headers and
/// metrics, so nothing else is allowed.
bool isPlainName(std::string_view text);

/// True for a path that begins with '/', has a further character and no space, query or fragment.
bool isPathPrefix(std::string_view text);

} // namespace burdockshelf
