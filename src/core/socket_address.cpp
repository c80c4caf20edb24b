#include "core/socket_address.h"

#include <arpa/inet.h>
#include <charconv>

namespace burdockshelf
{

namespace
{

bool isIpAddress(const std::string &text)
{
    in6_addr parsed = {};
    return inet_pton(AF_INET, text.c_str(), &parsed) == 1 || inet_pton(AF_INET6, text.c_str(), &parsed) == 1;
}

} // namespace

outcome<socket_address> socket_address::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return failure(error_code::invalid_argument, "'" + std::string(text) + "' is not of the form ip:port");
    }
    std::string_view host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    socket_address address;
    address.ip = std::string(host);
    if (!isIpAddress(address.ip)) {
        return failure(error_code::invalid_argument, "'" + address.ip + "' is not an IP address");
    }
    const std::string_view digits = text.substr(colon + 1);
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), address.port);
    if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size()) {
        return failure(error_code::invalid_argument, "'" + std::string(digits) + "' is not a port from 0 to 65535");
    }
    return address;
}

std::string socket_address::toString() const
{
    const bool isVersion6 = ip.find(':') != std::string::npos;
    return (isVersion6 ? "[" + ip + "]" : ip) + ":" + std::to_string(port);
}

std::ostream &operator<<(std::ostream &stream, const socket_address &address)
{
    return stream << address.toString();
}

} // namespace burdockshelf
