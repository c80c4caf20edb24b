#pragma once

#include <concepts>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace burdockshelf
{

/// Builds a JSON object. Writers of nested objects share the document. A writer returned by append() is valid until the next append() to
/// the same array.
class json_writer
{
public:
    json_writer();

    void set(std::string_view key, std::string_view value);
    void set(std::string_view key, const char *value);
    void set(std::string_view key, bool value);
    void setNull(std::string_view key);

    template<std::integral Number>
    requires(!std::same_as<Number, bool>) void set(std::string_view key, Number value)
    {
        setInteger(key, static_cast<std::int64_t>(value));
    }

    /// A strong id, as a string.
    template<typename Id>
    requires requires(const Id &id)
    {
        id.isEmpty();
    }
    void set(std::string_view key, const Id &id)
    {
        set(key, std::string_view(id.value()));
    }

    /// A quantity, as a number.
    template<typename Quantity>
    requires std::same_as<decltype(std::declval<Quantity>().value()), std::int64_t>
    void set(std::string_view key, Quantity amount)
    {
        setInteger(key, amount.value());
    }

    json_writer object(std::string_view key);
    /// Sets the member to an empty array.
    void array(std::string_view key);
    /// Appends an object to the array under the key.
    json_writer append(std::string_view key);
    void appendText(std::string_view key, std::string_view value);

    /// The complete document as text. Invalid UTF-8 is replaced.
    std::string toString() const;

private:
    struct document;

    json_writer(std::shared_ptr<document> shared, void *value);

    void setInteger(std::string_view key, std::int64_t value);

    std::shared_ptr<document> m_document;
    void *m_value;
};

} // namespace burdockshelf
