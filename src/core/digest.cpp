#include "core/digest.h"

#include <array>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <xxhash.h>

namespace burdockshelf
{

namespace
{

constexpr std::size_t secretBytes = 32;

std::string toHex(const unsigned char *bytes, std::size_t size)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(size * 2);
    for (std::size_t i = 0; i < size; ++i) {
        text.push_back(digits[bytes[i] >> 4]);
        text.push_back(digits[bytes[i] & 0x0f]);
    }
    return text;
}

} // namespace

std::string sha256Hex(std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest = {};
    unsigned int size = 0;
    EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(), nullptr);
    return toHex(digest.data(), size);
}

bool isEqualConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string randomSecret()
{
    std::array<unsigned char, secretBytes> bytes = {};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        std::abort();
    }
    return toHex(bytes.data(), bytes.size());
}

std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

} // namespace burdockshelf
