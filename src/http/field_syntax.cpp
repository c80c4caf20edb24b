#include "http/field_syntax.h"

#include <algorithm>
#include <array>

#include <strings.h>

namespace burdockshelf
{

namespace
{

constexpr std::string_view blanks = " \t";

// The bytes of a token.
constexpr std::array<bool, 256> makeTokenBytes()
{
    std::array<bool, 256> bytes = {};
    for (const char each : std::string_view("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")) {
        bytes[static_cast<unsigned char>(each)] = true;
    }
    return bytes;
}

// Tab, blank, visible characters, and bytes above ASCII.
constexpr std::array<bool, 256> makeTextBytes()
{
    constexpr unsigned char firstVisible = 0x20;
    constexpr unsigned char del = 0x7f;
    std::array<bool, 256> bytes = {};
    for (std::size_t i = firstVisible; i < bytes.size(); ++i) {
        bytes[i] = i != del;
    }
    bytes['\t'] = true;
    return bytes;
}

constexpr std::array<bool, 256> tokenBytes = makeTokenBytes();
constexpr std::array<bool, 256> textBytes = makeTextBytes();

bool consistsOf(const std::array<bool, 256> &allowed, std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [&](char each) { return allowed[static_cast<unsigned char>(each)]; });
}

} // namespace

bool isToken(std::string_view text)
{
    return !text.empty() && consistsOf(tokenBytes, text);
}

bool isFieldText(std::string_view text)
{
    return consistsOf(textBytes, text);
}

bool isSameIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

std::string_view withoutBlanks(std::string_view text)
{
    const auto first = text.find_first_not_of(blanks);
    return first == std::string_view::npos ? std::string_view() : text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

} // namespace burdockshelf
