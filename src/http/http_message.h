#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace burdockshelf
{

struct http_header
{
    std::string name;
    std::string value;
};

/// Header fields in the order in which they were added. Names are case-insensitive.
class http_headers
{
public:
    http_headers() = default;
    http_headers(std::initializer_list<http_header> fields);

    void add(std::string name, std::string value);
    void remove(std::string_view name);
    bool has(std::string_view name) const;
    /// Returns the value of the first field with that name, or an empty string if there is none.
    std::string_view value(std::string_view name) const;
    const std::vector<http_header> &fields() const;

private:
    std::vector<http_header> m_fields;
};

struct http_request
{
    std::string method = "GET";
    /// Path and query exactly as in the request line.
    std::string target = "/";
    http_headers headers;
    std::string body;

    /// The target without its query.
    std::string_view path() const;
    /// The part of the target after the '?', or an empty string if there is none.
    std::string_view query() const;
};

struct http_response
{
    int status = 200;
    http_headers headers;
    std::string body;
};

} // namespace burdockshelf
