#include "wire/bytes_codec.h"

#include <nlohmann/json.hpp>

namespace burdockshelf
{

namespace
{

using json = nlohmann::json;

constexpr std::string_view hexDigits = "0123456789abcdef";
constexpr std::string_view hexSuffix = "_hex";

} // namespace

// The JSON library drops invalid UTF-8 in the one mode and replaces it in the other, so the results differ only for invalid UTF-8.
bool isUtf8(std::string_view bytes)
{
    const json value = std::string(bytes);
    return value.dump(-1, ' ', false, json::error_handler_t::ignore) == value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string toHex(std::string_view bytes)
{
    std::string text;
    for (const char character : bytes) {
        const auto byte = static_cast<unsigned char>(character);
        text.push_back(hexDigits[byte >> 4]);
        text.push_back(hexDigits[byte & 0x0f]);
    }
    return text;
}

std::optional<std::string> fromHex(std::string_view text)
{
    if (text.size() % 2 != 0 || text.find_first_not_of(hexDigits) != std::string_view::npos) {
        return std::nullopt;
    }
    std::string bytes;
    for (std::size_t i = 0; i < text.size(); i += 2) {
        bytes.push_back(static_cast<char>(hexDigits.find(text[i]) << 4 | hexDigits.find(text[i + 1])));
    }
    return bytes;
}

void writeBytes(json_writer &writer, std::string_view key, std::string_view bytes)
{
    if (isUtf8(bytes)) {
        writer.set(key, bytes);
    } else {
        writer.set(std::string(key) + std::string(hexSuffix), toHex(bytes));
    }
}

std::string readBytes(json_reader &reader, std::string_view key)
{
    const std::string hexKey = std::string(key) + std::string(hexSuffix);
    if (!reader.has(hexKey)) {
        return reader.text(key);
    }
    const std::optional<std::string> bytes = fromHex(reader.text(hexKey));
    if (!bytes) {
        reader.reject(hexKey, "an even number of the digits 0123456789abcdef");
    }
    return bytes.value_or(std::string());
}

} // namespace burdockshelf
