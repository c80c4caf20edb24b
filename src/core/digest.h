#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace burdockshelf
{

/// SHA-256 of the bytes in lower-case hexadecimal.
std::string sha256Hex(std::string_view bytes);

/// Compares two strings in a time that depends only on their lengths, to prevent timing attacks on secrets.
bool isEqualConstantTime(std::string_view left, std::string_view right);

/// 256 bits from OpenSSL's cryptographic random number generator in lower-case hexadecimal. Aborts the process if the generator fails.
std::string randomSecret();

/// Fast non-cryptographic hash (XXH3) for placement. Returns the same value on every machine. Not for secrets.
std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0);

} // namespace burdockshelf
