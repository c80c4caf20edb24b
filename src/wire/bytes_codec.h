#pragma once

#include "wire/json_reader.h"
#include "wire/json_writer.h"

#include <optional>
#include <string>
#include <string_view>

namespace burdockshelf
{

/// Writes bytes that are usually text: as the string member "key" when they are valid UTF-8, otherwise in hexadecimal as "key_hex".
void writeBytes(json_writer &writer, std::string_view key, std::string_view bytes);
std::string readBytes(json_reader &reader, std::string_view key);

bool isUtf8(std::string_view bytes);
/// Two digits of 0123456789abcdef for each byte.
std::string toHex(std::string_view bytes);
/// nullopt if the text is not in the format of toHex().
std::optional<std::string> fromHex(std::string_view text);

} // namespace burdockshelf
