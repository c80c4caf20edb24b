#pragma once

#include "core/outcome.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockshelf
{

/// Allowed values of a number, bounds included.
struct number_range
{
    std::int64_t least = 0;
    std::int64_t most = std::numeric_limits<std::int64_t>::max();
};

/// An enumerator and the text that stands for it.
template<typename Enum>
struct enum_name
{
    Enum value;
    std::string_view name;
};

/// Checked reading of one JSON object. The first thing that is wrong, in this object or one below it, is kept as the document's error with
/// its JSON pointer, what was found and what is allowed; from then on every read gives a default. So a codec reads all fields and asks once
/// at the end. Readers of one document share it and may be copied.
class json_reader
{
public:
    /// Reads a text whose value is an object. The error has the given code.
    static outcome<json_reader> parse(std::string_view text, error_code code = error_code::invalid_message);

    ~json_reader();
    json_reader(const json_reader &) = default;
    json_reader(json_reader &&) noexcept = default;
    json_reader &operator=(const json_reader &) = default;
    json_reader &operator=(json_reader &&) noexcept = default;

    bool has(std::string_view key) const;
    /// True when the key is there with the value null.
    bool isNull(std::string_view key) const;
    /// Names of the members, in byte order.
    std::vector<std::string> names() const;

    std::string text(std::string_view key);
    std::string textOr(std::string_view key, std::string_view fallback);
    /// A text with at least one character.
    std::string nonEmptyText(std::string_view key);
    std::int64_t integer(std::string_view key, number_range range = {});
    /// A number from 0 to 1.
    double fraction(std::string_view key);
    /// A number from 1 on.
    double factor(std::string_view key, double most);
    /// A time in seconds, which may have a fraction. The range is in milliseconds.
    std::chrono::milliseconds seconds(std::string_view key, number_range range);
    std::int64_t integerOr(std::string_view key, std::int64_t fallback, number_range range = {});
    bool boolean(std::string_view key);
    bool booleanOr(std::string_view key, bool fallback);
    json_reader object(std::string_view key);
    std::vector<json_reader> objects(std::string_view key);
    std::vector<std::string> texts(std::string_view key);

    template<typename Id>
    Id id(std::string_view key)
    {
        return Id(nonEmptyText(key));
    }

    template<typename Quantity>
    Quantity amount(std::string_view key, number_range range = {})
    {
        return Quantity(integer(key, range));
    }

    template<typename Quantity>
    Quantity amountOr(std::string_view key, Quantity fallback, number_range range = {})
    {
        return Quantity(integerOr(key, fallback.value(), range));
    }

    template<typename Enum, std::size_t Count>
    Enum enumeration(std::string_view key, const std::array<enum_name<Enum>, Count> &names)
    {
        const std::string found = text(key);
        std::string allowed;
        for (const enum_name<Enum> &entry : names) {
            if (entry.name == found) {
                return entry.value;
            }
            allowed += (allowed.empty() ? "" : ", ") + std::string(entry.name);
        }
        reject(key, "one of " + allowed);
        return names.front().value;
    }

    /// Notes that the value of a member is not allowed, for checks that the caller makes itself.
    void reject(std::string_view key, std::string_view allowed);
    /// JSON pointer of a member.
    std::string pointer(std::string_view key) const;

    /// The document's error, if any.
    outcome<void> result() const;
    /// As result(), and members that nobody has asked for are errors too.
    outcome<void> finish() const;

private:
    /// A number within bounds; nothing after it has been rejected as not being what was expected.
    std::optional<double> number(std::string_view key, double least, double most, std::string_view expected);
    struct document;
    struct node;

    json_reader(std::shared_ptr<document> whole, node *self);

    const void *find(std::string_view key) const;
    const void *require(std::string_view key);

    std::shared_ptr<document> m_document;
    node *m_node;
};

/// The text of an enumerator.
template<typename Enum, std::size_t Count>
std::string_view enumName(Enum value, const std::array<enum_name<Enum>, Count> &names)
{
    for (const enum_name<Enum> &entry : names) {
        if (entry.value == value) {
            return entry.name;
        }
    }
    return names.front().name;
}

} // namespace burdockshelf
