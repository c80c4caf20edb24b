#pragma once

#include "core/outcome.h"
#include "wire/json_limits.h"

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

/// An enumerator and its name in JSON.
template<typename Enum>
struct enum_name
{
    Enum value;
    std::string_view name;
};

/// Reads and validates the members of a JSON object. The first error in the document is kept, with the JSON pointer, the value found and
/// the values allowed. A read of a missing or invalid member returns a default, so that a codec can read all members and check for an error
/// once, at the end. Readers of objects in the same document share the document and its error, and may be copied.
class json_reader
{
public:
    /// Parses a text that must be a JSON object within the limits. Errors of the document have the given code.
    static outcome<json_reader>
    parse(std::string_view text, error_code code = error_code::invalid_message, const json_limits &limits = documentLimits);

    ~json_reader();
    json_reader(const json_reader &) = default;
    json_reader(json_reader &&) noexcept = default;
    json_reader &operator=(const json_reader &) = default;
    json_reader &operator=(json_reader &&) noexcept = default;

    bool has(std::string_view key) const;
    /// True if the member exists and is null.
    bool isNull(std::string_view key) const;
    /// Keys of all members, in byte order.
    std::vector<std::string> names() const;

    std::string text(std::string_view key);
    std::string textOr(std::string_view key, std::string_view fallback);
    /// A string of at least one byte.
    std::string nonEmptyText(std::string_view key);
    std::int64_t integer(std::string_view key, number_range range = {});
    /// A number from 0 to 1.
    double fraction(std::string_view key);
    /// A number from 1 to the given maximum.
    double factor(std::string_view key, double most);
    /// A number that may have a fraction, moved to the nearest bound when it lies outside of the range. No value when the member is
    /// missing, null or false. Anything else, and a negative number, is reported as invalid.
    std::optional<double> clampedNumber(std::string_view key, number_range range);
    /// A duration in seconds, possibly with a fraction. The range is in milliseconds.
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

    /// Reports the value of a member as invalid, for checks that the caller makes.
    void reject(std::string_view key, std::string_view allowed);
    /// JSON pointer of a member.
    std::string pointer(std::string_view key) const;

    /// The document's error, if any.
    outcome<void> result() const;
    /// Like result(), but members that no read has looked up are errors too.
    outcome<void> finish() const;

private:
    /// A number within the bounds. Otherwise reports an error that names what was expected, and returns nothing.
    std::optional<double> number(std::string_view key, double least, double most, std::string_view expected);
    struct document;
    struct node;

    json_reader(std::shared_ptr<document> shared, node *self);

    const void *find(std::string_view key) const;
    const void *require(std::string_view key);

    std::shared_ptr<document> m_document;
    node *m_node;
};

/// The name of an enumerator in JSON.
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
