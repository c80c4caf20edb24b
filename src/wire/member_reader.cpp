#include "wire/member_reader.h"

#include <limits>
#include <utility>

namespace burdockshelf
{

using json = nlohmann::json;

member_reader::member_reader(std::string_view text)
    : m_object(json::parse(text, nullptr, false))
{
    if (!m_object.is_object()) {
        reject("the body is not a JSON object");
    }
}

void member_reader::read(const char *name, std::int64_t &number)
{
    if (const auto found = integer(name, 0)) {
        number = *found;
    }
}

void member_reader::read(const char *name, std::chrono::milliseconds &duration)
{
    if (const auto number = integer(name, 0)) {
        duration = std::chrono::milliseconds(*number);
    }
}

void member_reader::read(const char *name, std::uint64_t &number)
{
    if (const json *member = find(name, &json::is_number_unsigned)) {
        number = member->get<std::uint64_t>();
    }
}

void member_reader::read(const char *name, bool &flag)
{
    if (const json *member = find(name, &json::is_boolean)) {
        flag = member->get<bool>();
    }
}

void member_reader::read(const char *name, std::string &text)
{
    if (const json *member = find(name, &json::is_string)) {
        text = member->get<std::string>();
    }
}

const json &member_reader::elements(const char *name)
{
    static const json none = json::array();
    const json *member = find(name, &json::is_array);
    return member == nullptr ? none : *member;
}

void member_reader::reject(std::string message)
{
    if (!m_failure) {
        m_failure = error {error_code::invalid_message, std::move(message)};
    }
}

void member_reader::reject(error cause)
{
    if (!m_failure) {
        m_failure = std::move(cause);
    }
}

const std::optional<error> &member_reader::failure() const
{
    return m_failure;
}

const json *member_reader::find(const char *name, bool (json::*hasType)() const noexcept)
{
    if (m_failure) {
        return nullptr;
    }
    const auto found = m_object.find(name);
    if (found == m_object.end() || !((*found).*hasType)()) {
        reject(std::string("member '") + name + "' is missing or has the wrong type");
        return nullptr;
    }
    return &*found;
}

std::optional<std::int64_t> member_reader::integer(const char *name, std::int64_t minimum)
{
    const json *member = find(name, &json::is_number_integer);
    if (member == nullptr) {
        return std::nullopt;
    }
    const bool isTooLarge =
        member->is_number_unsigned() && member->get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (isTooLarge || member->get<std::int64_t>() < minimum) {
        reject(std::string("member '") + name + "' is out of range");
        return std::nullopt;
    }
    return member->get<std::int64_t>();
}

} // namespace burdockshelf
