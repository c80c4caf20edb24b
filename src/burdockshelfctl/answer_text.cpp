#include "burdockshelfctl/answer_text.h"

#include <algorithm>
#include <charconv>

namespace burdockshelf
{

namespace
{

constexpr std::size_t longestName = 64;

template<typename Value>
struct word_meaning
{
    std::string_view word;
    Value value;
};

constexpr word_meaning<bool> flagWords[] = {{"yes", true}, {"no", false}, {"true", true}, {"false", false}, {"y", true}, {"n", false}};
constexpr word_meaning<service_kind> kindWords[] = {{"model", service_kind::model}, {"plain", service_kind::plain}};
constexpr word_meaning<endpoint_role> roleWords[] = {
    {"prefill", endpoint_role::prefill}, {"decode", endpoint_role::decode}, {"plain", endpoint_role::plain}};

template<typename Value, std::size_t Count>
bool readWord(std::string_view text, const word_meaning<Value> (&words)[Count], Value &value)
{
    for (const word_meaning<Value> &entry : words) {
        if (entry.word == text) {
            value = entry.value;
            return true;
        }
    }
    return false;
}

template<typename Value, std::size_t Count>
std::string_view nameOf(Value value, const word_meaning<Value> (&words)[Count])
{
    const auto *const found = std::find_if(std::begin(words), std::end(words), [value](const auto &entry) { return entry.value == value; });
    return found == std::end(words) ? std::string_view() : found->word;
}

bool isLetterOrDigit(char letter)
{
    return (letter >= 'a' && letter <= 'z') || (letter >= '0' && letter <= '9');
}

} // namespace

bool readAnswer(std::string_view text, answer_range range, std::int64_t &value)
{
    std::int64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
        return false;
    }
    if (number < range.lowest || number > range.highest) {
        return false;
    }
    value = number;
    return true;
}

bool readAnswer(std::string_view text, bool &value)
{
    return readWord(text, flagWords, value);
}

bool readAnswer(std::string_view text, service_kind &value)
{
    return readWord(text, kindWords, value);
}

bool readAnswer(std::string_view text, endpoint_role &value)
{
    return readWord(text, roleWords, value);
}

bool readAnswer(std::string_view text, socket_address &value)
{
    auto parsed = socket_address::parse(text);
    if (parsed.has_error() || parsed.value().port == 0) {
        return false;
    }
    value = std::move(parsed.value());
    return true;
}

std::string_view serviceKindName(service_kind kind)
{
    return nameOf(kind, kindWords);
}

std::string_view endpointRoleName(endpoint_role role)
{
    return nameOf(role, roleWords);
}

bool isPlainName(std::string_view text)
{
    if (text.empty() || text.size() > longestName || !isLetterOrDigit(text.front())) {
        return false;
    }
    return std::all_of(
        text.begin(), text.end(), [](char letter) { return isLetterOrDigit(letter) || letter == '.' || letter == '_' || letter == '-'; });
}

bool isPathPrefix(std::string_view text)
{
    const bool hasRoot = text.size() > 1 && text.front() == '/';
    return hasRoot && std::all_of(text.begin(), text.end(), [](char letter) {
               return letter > ' ' && letter <= '~' && letter != '?' && letter != '#';
           });
}

} // namespace burdockshelf
