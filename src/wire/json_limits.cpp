#include "wire/json_limits.h"

#include <algorithm>
#include <cstdint>

namespace burdockshelf
{

namespace
{

// Upper estimates of what the parser allocates, with the overhead of the allocator.

// A value in a list that may be half empty, and its copy while the list grows.
constexpr std::int64_t valueBytes = 48;
constexpr std::int64_t arrayBytes = 48;
constexpr std::int64_t objectBytes = 80;
// In addition to the member's name, which is counted as a string.
constexpr std::int64_t memberBytes = 48;
constexpr std::int64_t stringBytes = 64;
// Copies of a string that exist while it is parsed, beside the one in the document.
constexpr std::int64_t stringCopies = 3;

/// Adds up what a JSON text costs, character by character.
class cost_counter
{
public:
    explicit cost_counter(std::string_view text)
        : m_bytes(static_cast<std::int64_t>(text.size()) + valueBytes)
    {
    }

    void add(char character)
    {
        if (m_isInString) {
            addInString(character);
            return;
        }
        switch (character) {
        case '"':
            m_isInString = true;
            m_stringLength = 0;
            m_bytes += stringBytes;
            break;
        case '[':
            enter(arrayBytes);
            break;
        case '{':
            enter(objectBytes);
            break;
        case ']':
        case '}':
            m_depth -= m_depth > 0 ? 1 : 0;
            break;
        case ',':
            m_bytes += valueBytes;
            break;
        case ':':
            m_bytes += memberBytes;
            break;
        default:
            break;
        }
    }

    bool isWithin(const json_limits &limits) const
    {
        return m_deepest <= limits.nesting && m_bytes + stringCopies * m_longestString <= limits.memory.value();
    }

private:
    void enter(std::int64_t bytes)
    {
        m_deepest = std::max(m_deepest, ++m_depth);
        m_bytes += valueBytes + bytes;
    }

    void addInString(char character)
    {
        if (m_isEscaped) {
            m_isEscaped = false;
        } else if (character == '\\') {
            m_isEscaped = true;
        } else if (character == '"') {
            m_isInString = false;
        }
        m_longestString = std::max(m_longestString, ++m_stringLength);
    }

    std::int64_t m_bytes;
    std::size_t m_depth = 0;
    std::size_t m_deepest = 0;
    std::int64_t m_stringLength = 0;
    std::int64_t m_longestString = 0;
    bool m_isInString = false;
    bool m_isEscaped = false;
};

} // namespace

bool isWithin(std::string_view text, const json_limits &limits)
{
    cost_counter cost(text);
    for (const char character : text) {
        cost.add(character);
    }
    return cost.isWithin(limits);
}

nlohmann::json parseWithin(std::string_view text, const json_limits &limits)
{
    if (!isWithin(text, limits)) {
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
    return nlohmann::json::parse(text, nullptr, false);
}

} // namespace burdockshelf
