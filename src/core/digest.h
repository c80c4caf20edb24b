#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace burdockshelf
{

/// SHA-256 of the bytes in lower-case hexadecimal.
std::string sha256Hex(std::string_view bytes);

/// Compares in a time that depends on the lengths only.
bool isEqualConstantTime(std::string_view left, std::string_view right);

/// 256 bits from the operating system's generator in lower-case hexadecimal.
std::string randomSecret();

/// Fast hash for placement (xxh3); the same on every machine, not for secrets.
std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0);

} // namespace burdockshelf
