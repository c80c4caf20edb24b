#pragma once

#include "core/outcome.h"
#include "core/quantity.h"
#include "core/strong_id.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace burdockshelf
{

/// Reads the members of a JSON object and keeps the first error. What it reads of a missing or malformed member is left as it was.
class member_reader
{
public:
    explicit member_reader(std::string_view text);

    template<typename Tag>
    void read(const char *name, strong_id<Tag> &id)
    {
        if (const nlohmann::json *member = find(name, &nlohmann::json::is_string)) {
            id = strong_id<Tag>(member->get<std::string>());
        }
    }

    template<typename Tag>
    void read(const char *name, quantity<Tag> &amount, std::int64_t minimum = 0)
    {
        if (const auto number = integer(name, minimum)) {
            amount = quantity<Tag>(*number);
        }
    }

    void read(const char *name, std::int64_t &number);
    void read(const char *name, std::chrono::milliseconds &duration);
    void read(const char *name, std::uint64_t &number);
    void read(const char *name, bool &flag);
    void read(const char *name, std::string &text);

    /// The elements of an array member. If it is missing or has another type, keeps an error and returns an empty array.
    const nlohmann::json &elements(const char *name);

    /// The non-negative integers of an array member that older builds do not send.
    template<std::size_t Count>
    std::optional<std::array<std::int64_t, Count>> optionalNumbers(const char *name)
    {
        if (m_failure || !m_object.contains(name)) {
            return std::nullopt;
        }
        std::array<std::int64_t, Count> numbers {};
        const nlohmann::json &member = m_object[name];
        bool isValid = member.is_array() && member.size() == Count;
        for (std::size_t i = 0; isValid && i < Count; ++i) {
            isValid = member[i].is_number_integer() && member[i].template get<std::int64_t>() >= 0;
            numbers[i] = isValid ? member[i].template get<std::int64_t>() : 0;
        }
        if (!isValid) {
            reject(std::string("member '") + name + "' does not consist of the expected numbers");
            return std::nullopt;
        }
        return numbers;
    }

    void reject(std::string message);
    void reject(error cause);
    const std::optional<error> &failure() const;

private:
    const nlohmann::json *find(const char *name, bool (nlohmann::json::*hasType)() const noexcept);
    std::optional<std::int64_t> integer(const char *name, std::int64_t minimum);

    nlohmann::json m_object;
    std::optional<error> m_failure;
};

} // namespace burdockshelf
