#include "http/http_message.h"

#include "http/field_syntax.h"

#include <algorithm>
#include <initializer_list>

namespace burdockshelf
{

http_headers::http_headers(std::initializer_list<http_header> fields)
    : m_fields(fields)
{
}

void http_headers::add(std::string name, std::string value)
{
    m_fields.push_back({std::move(name), std::move(value)});
}

void http_headers::remove(std::string_view name)
{
    std::erase_if(m_fields, [name](const http_header &field) { return isSameIgnoringCase(field.name, name); });
}

bool http_headers::has(std::string_view name) const
{
    return std::any_of(m_fields.begin(), m_fields.end(), [name](const http_header &field) { return isSameIgnoringCase(field.name, name); });
}

std::string_view http_headers::value(std::string_view name) const
{
    for (const http_header &field : m_fields) {
        if (isSameIgnoringCase(field.name, name)) {
            return field.value;
        }
    }
    return {};
}

const std::vector<http_header> &http_headers::fields() const
{
    return m_fields;
}

std::string_view http_request::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::string_view http_request::query() const
{
    const auto questionMark = target.find('?');
    return questionMark == std::string::npos ? std::string_view() : std::string_view(target).substr(questionMark + 1);
}

} // namespace burdockshelf
