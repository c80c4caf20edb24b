#include "wire/json_writer.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace burdockshelf
{

namespace
{

using json = nlohmann::json;

json &member(void *object, std::string_view key)
{
    return (*static_cast<json *>(object))[std::string(key)];
}

} // namespace

struct json_writer::document
{
    json root = json::object();
};

json_writer::json_writer()
    : m_document(std::make_shared<document>())
    , m_value(&m_document->root)
{
}

json_writer::json_writer(std::shared_ptr<document> shared, void *value)
    : m_document(std::move(shared))
    , m_value(value)
{
}

void json_writer::set(std::string_view key, std::string_view value)
{
    member(m_value, key) = std::string(value);
}

void json_writer::set(std::string_view key, const char *value)
{
    member(m_value, key) = value;
}

void json_writer::set(std::string_view key, bool value)
{
    member(m_value, key) = value;
}

void json_writer::setNull(std::string_view key)
{
    member(m_value, key) = nullptr;
}

json_writer json_writer::object(std::string_view key)
{
    json &value = member(m_value, key);
    value = json::object();
    return json_writer(m_document, &value);
}

void json_writer::array(std::string_view key)
{
    member(m_value, key) = json::array();
}

json_writer json_writer::append(std::string_view key)
{
    json &values = member(m_value, key);
    values.push_back(json::object());
    return json_writer(m_document, &values.back());
}

void json_writer::appendText(std::string_view key, std::string_view value)
{
    member(m_value, key).push_back(std::string(value));
}

std::string json_writer::toString() const
{
    return m_document->root.dump(-1, ' ', false, json::error_handler_t::replace);
}

void json_writer::setInteger(std::string_view key, std::int64_t value)
{
    member(m_value, key) = value;
}

} // namespace burdockshelf
