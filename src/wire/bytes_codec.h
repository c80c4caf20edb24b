#pragma once

#include "wire/json_reader.h"
#include "wire/json_writer.h"

#include <string>
#include <string_view>

namespace burdockshelf
{

/// Bytes that are mostly text: a member of the given name when they are UTF-8, else in hexadecimal under the name with "_hex" behind it.
void writeBytes(json_writer &writer, std::string_view key, std::string_view bytes);
std::string readBytes(json_reader &reader, std::string_view key);

} // namespace burdockshelf
