#include "wire/json_reader.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <optional>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>

namespace burdockshelf
{

namespace
{

using json = nlohmann::json;

// Longer values are truncated in error messages.
constexpr std::size_t maxShownCharacters = 60;

std::string describe(const json &value)
{
    if (value.is_object()) {
        return "an object";
    }
    if (value.is_array()) {
        return "an array";
    }
    std::string shown = value.dump(-1, ' ', true, json::error_handler_t::replace);
    if (shown.size() > maxShownCharacters) {
        shown = shown.substr(0, maxShownCharacters) + "...";
    }
    return shown;
}

std::string escapePointer(std::string_view key)
{
    std::string escaped;
    for (const char character : key) {
        if (character == '~') {
            escaped += "~0";
        } else if (character == '/') {
            escaped += "~1";
        } else {
            escaped += character;
        }
    }
    return escaped;
}

std::string describeRange(number_range range)
{
    if (range.most == std::numeric_limits<std::int64_t>::max()) {
        return "a whole number from " + std::to_string(range.least);
    }
    return "a whole number from " + std::to_string(range.least) + " to " + std::to_string(range.most);
}

bool isInRange(const json &value, number_range range)
{
    if (value.is_number_unsigned()) {
        const auto number = value.get<std::uint64_t>();
        const auto most = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
        return number <= most && static_cast<std::int64_t>(number) >= range.least && static_cast<std::int64_t>(number) <= range.most;
    }
    if (!value.is_number_integer()) {
        return false;
    }
    const auto number = value.get<std::int64_t>();
    return number >= range.least && number <= range.most;
}

const json &emptyObject()
{
    static const json empty = json::object();
    return empty;
}

} // namespace

/// A JSON object with a reader, and the keys that were looked up in it, whether or not they exist.
struct json_reader::node
{
    const json *value;
    std::string pointer;
    std::set<std::string, std::less<>> requestedKeys;
};

struct json_reader::document
{
    json root;
    error_code code = error_code::invalid_message;
    std::optional<error> firstError;
    std::deque<node> nodes;

    node *addNode(const json *value, std::string pointer)
    {
        nodes.push_back({value, std::move(pointer), {}});
        return &nodes.back();
    }

    void keepFirstError(const std::string &pointer, const std::string &found, std::string_view allowed)
    {
        if (!firstError) {
            firstError = error {code, pointer + ": found " + found + ", allowed: " + std::string(allowed)};
        }
    }
};

json_reader::json_reader(std::shared_ptr<document> shared, node *self)
    : m_document(std::move(shared))
    , m_node(self)
{
}

json_reader::~json_reader() = default;

outcome<json_reader> json_reader::parse(std::string_view text, error_code code, const json_limits &limits)
{
    if (!isWithin(text, limits)) {
        return failure(code,
                       "the document: found more than " + std::to_string(limits.nesting) + " levels of nesting or "
                           + std::to_string(limits.memory.value()) + " bytes once parsed, allowed: less");
    }
    auto shared = std::make_shared<document>();
    shared->code = code;
    shared->root = json::parse(text, nullptr, false);
    if (shared->root.is_discarded()) {
        return failure(code, "the document: found text that is not JSON, allowed: an object");
    }
    if (!shared->root.is_object()) {
        return failure(code, "the document: found " + describe(shared->root) + ", allowed: an object");
    }
    node *root = shared->addNode(&shared->root, "");
    return json_reader(std::move(shared), root);
}

bool json_reader::has(std::string_view key) const
{
    return find(key) != nullptr;
}

bool json_reader::isNull(std::string_view key) const
{
    const auto *value = static_cast<const json *>(find(key));
    return value != nullptr && value->is_null();
}

std::vector<std::string> json_reader::names() const
{
    std::vector<std::string> names;
    for (const auto &member : m_node->value->items()) {
        names.push_back(member.key());
    }
    return names;
}

std::string json_reader::text(std::string_view key)
{
    const auto *value = static_cast<const json *>(require(key));
    if (value == nullptr) {
        return {};
    }
    if (!value->is_string()) {
        reject(key, "a string");
        return {};
    }
    return value->get<std::string>();
}

std::string json_reader::textOr(std::string_view key, std::string_view fallback)
{
    return has(key) ? text(key) : std::string(fallback);
}

std::string json_reader::nonEmptyText(std::string_view key)
{
    std::string value = text(key);
    if (value.empty()) {
        reject(key, "a non-empty string");
    }
    return value;
}

std::int64_t json_reader::integer(std::string_view key, number_range range)
{
    const auto *value = static_cast<const json *>(require(key));
    if (value == nullptr) {
        return range.least;
    }
    if (!isInRange(*value, range)) {
        reject(key, describeRange(range));
        return range.least;
    }
    return value->get<std::int64_t>();
}

std::optional<double> json_reader::number(std::string_view key, double least, double most, std::string_view expected)
{
    const auto *value = static_cast<const json *>(require(key));
    if (value == nullptr) {
        return std::nullopt;
    }
    const double read = value->is_number() ? value->get<double>() : std::numeric_limits<double>::quiet_NaN();
    if (!(read >= least && read <= most)) {
        reject(key, expected);
        return std::nullopt;
    }
    return read;
}

double json_reader::fraction(std::string_view key)
{
    return number(key, 0.0, 1.0, "a number from 0 to 1").value_or(0.0);
}

double json_reader::factor(std::string_view key, double most)
{
    return number(key, 1.0, most, "a number from 1 to " + std::to_string(most)).value_or(1.0);
}

std::optional<double> json_reader::clampedNumber(std::string_view key, number_range range)
{
    const auto *value = static_cast<const json *>(find(key));
    const bool isUnset = value == nullptr || value->is_null() || (value->is_boolean() && !value->get<bool>());
    if (isUnset) {
        return std::nullopt;
    }
    const auto read = number(key, 0.0, std::numeric_limits<double>::max(), "a number from 0, or nothing");
    if (!read) {
        return std::nullopt;
    }
    return std::clamp(*read, static_cast<double>(range.least), static_cast<double>(range.most));
}

std::chrono::milliseconds json_reader::seconds(std::string_view key, number_range range)
{
    constexpr double millisecondsPerSecond = 1000.0;
    const double least = static_cast<double>(range.least) / millisecondsPerSecond;
    const double most = static_cast<double>(range.most) / millisecondsPerSecond;
    const auto read = number(key, least, most, "a number of seconds from " + std::to_string(least) + " to " + std::to_string(most));
    const double milliseconds = read ? *read * millisecondsPerSecond : static_cast<double>(range.least);
    return std::chrono::milliseconds(std::llround(milliseconds));
}

std::int64_t json_reader::integerOr(std::string_view key, std::int64_t fallback, number_range range)
{
    return has(key) ? integer(key, range) : fallback;
}

bool json_reader::boolean(std::string_view key)
{
    const auto *value = static_cast<const json *>(require(key));
    if (value == nullptr) {
        return false;
    }
    if (!value->is_boolean()) {
        reject(key, "true or false");
        return false;
    }
    return value->get<bool>();
}

bool json_reader::booleanOr(std::string_view key, bool fallback)
{
    return has(key) ? boolean(key) : fallback;
}

json_reader json_reader::object(std::string_view key)
{
    const auto *value = static_cast<const json *>(require(key));
    if (value != nullptr && !value->is_object()) {
        reject(key, "an object");
        value = nullptr;
    }
    return json_reader(m_document, m_document->addNode(value == nullptr ? &emptyObject() : value, pointer(key)));
}

std::vector<json_reader> json_reader::objects(std::string_view key)
{
    std::vector<json_reader> readers;
    const auto *value = static_cast<const json *>(require(key));
    if (value == nullptr) {
        return readers;
    }
    if (!value->is_array()) {
        reject(key, "an array of objects");
        return readers;
    }
    for (std::size_t i = 0; i < value->size(); ++i) {
        const json &element = (*value)[i];
        const std::string elementPointer = pointer(key) + "/" + std::to_string(i);
        if (!element.is_object()) {
            m_document->keepFirstError(elementPointer, describe(element), "an object");
            return readers;
        }
        readers.push_back(json_reader(m_document, m_document->addNode(&element, elementPointer)));
    }
    return readers;
}

std::vector<std::string> json_reader::texts(std::string_view key)
{
    std::vector<std::string> texts;
    const auto *value = static_cast<const json *>(require(key));
    if (value == nullptr) {
        return texts;
    }
    if (!value->is_array()) {
        reject(key, "an array of strings");
        return texts;
    }
    for (std::size_t i = 0; i < value->size(); ++i) {
        const json &element = (*value)[i];
        if (!element.is_string()) {
            m_document->keepFirstError(pointer(key) + "/" + std::to_string(i), describe(element), "a string");
            return texts;
        }
        texts.push_back(element.get<std::string>());
    }
    return texts;
}

void json_reader::reject(std::string_view key, std::string_view allowed)
{
    const auto *value = static_cast<const json *>(find(key));
    m_document->keepFirstError(pointer(key), value == nullptr ? "nothing" : describe(*value), allowed);
}

std::string json_reader::pointer(std::string_view key) const
{
    return m_node->pointer + "/" + escapePointer(key);
}

outcome<void> json_reader::result() const
{
    if (m_document->firstError) {
        return *m_document->firstError;
    }
    return success();
}

outcome<void> json_reader::finish() const
{
    for (const node &visited : m_document->nodes) {
        if (m_document->firstError) {
            break;
        }
        for (const auto &member : visited.value->items()) {
            if (!visited.requestedKeys.contains(member.key())) {
                std::string allowed = "only";
                for (const std::string &name : visited.requestedKeys) {
                    allowed += " " + name;
                }
                m_document->keepFirstError(visited.pointer + "/" + escapePointer(member.key()), "an unknown key", allowed);
            }
        }
    }
    return result();
}

const void *json_reader::find(std::string_view key) const
{
    const auto found = m_node->value->find(key);
    m_node->requestedKeys.emplace(key);
    return found == m_node->value->end() ? nullptr : &*found;
}

const void *json_reader::require(std::string_view key)
{
    const void *value = find(key);
    if (value == nullptr) {
        m_document->keepFirstError(pointer(key), "nothing", "a value");
    }
    return value;
}

} // namespace burdockshelf
