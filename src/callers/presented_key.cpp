#include "callers/presented_key.h"

#include <string_view>
#include <strings.h>

namespace burdockshelf
{

namespace
{

constexpr std::string_view bearerPrefix = "Bearer ";
constexpr std::string_view keyParameter = "api_key";

std::string bearerToken(std::string_view authorization)
{
    const bool isBearer =
        authorization.size() > bearerPrefix.size() && strncasecmp(authorization.data(), bearerPrefix.data(), bearerPrefix.size()) == 0;
    return isBearer ? std::string(authorization.substr(bearerPrefix.size())) : std::string();
}

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool isEscape = text[i] == '%' && i + 2 < text.size() && isxdigit(static_cast<unsigned char>(text[i + 1])) != 0
            && isxdigit(static_cast<unsigned char>(text[i + 2])) != 0;
        if (isEscape) {
            decoded.push_back(static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16)));
            i += 2;
        } else {
            decoded.push_back(text[i]);
        }
    }
    return decoded;
}

// Removes every query parameter of that name, even where the name is percent-encoded, and returns the value of the first.
std::string extractQueryParameter(http_request &request, std::string_view name)
{
    const std::string_view query = request.query();
    std::string value;
    std::string rest;
    bool isFound = false;
    std::size_t begin = 0;
    while (begin < query.size()) {
        const std::size_t end = std::min(query.find('&', begin), query.size());
        const std::string_view parameter = query.substr(begin, end - begin);
        const std::size_t equals = std::min(parameter.find('='), parameter.size());
        if (percentDecode(parameter.substr(0, equals)) == name) {
            if (!isFound && equals < parameter.size()) {
                value = percentDecode(parameter.substr(equals + 1));
            }
            isFound = true;
        } else {
            rest += rest.empty() ? "" : "&";
            rest += parameter;
        }
        begin = end + 1;
    }
    if (isFound) {
        request.target = std::string(request.path()) + (rest.empty() ? "" : "?" + rest);
    }
    return value;
}

std::string cookieValue(std::string_view cookies, std::string_view name)
{
    std::size_t begin = 0;
    while (begin < cookies.size()) {
        const std::size_t end = std::min(cookies.find(';', begin), cookies.size());
        std::string_view cookie = cookies.substr(begin, end - begin);
        while (!cookie.empty() && cookie.front() == ' ') {
            cookie.remove_prefix(1);
        }
        if (cookie.size() > name.size() && cookie.substr(0, name.size()) == name && cookie[name.size()] == '=') {
            return std::string(cookie.substr(name.size() + 1));
        }
        begin = end + 1;
    }
    return {};
}

} // namespace

std::string extractPresentedKey(http_request &request)
{
    std::string key = bearerToken(request.headers.value("Authorization"));
    if (key.empty()) {
        key = std::string(request.headers.value("X-Api-Key"));
    }
    std::string fromQuery = extractQueryParameter(request, keyParameter);
    if (key.empty()) {
        key = std::move(fromQuery);
    }
    if (key.empty()) {
        key = cookieValue(request.headers.value("Cookie"), keyParameter);
    }
    for (const char *name : {"Authorization", "X-Api-Key", "Cookie", "Proxy-Authorization"}) {
        request.headers.remove(name);
    }
    return key;
}

} // namespace burdockshelf
