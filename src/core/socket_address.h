#pragma once

#include "core/outcome.h"

#include <compare>
#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>

namespace burdockshelf
{

/// An IP address and a TCP port. When listening, port 0 makes the kernel choose a free port.
struct socket_address
{
    std::string ip;
    std::uint16_t port = 0;

    /// Parses "127.0.0.1:8080" or "[::1]:8080". Rejects host names, since instances connect to each other by IP address.
    static outcome<socket_address> parse(std::string_view text);

    std::string toString() const;

    friend auto operator<=>(const socket_address &, const socket_address &) = default;
};

std::ostream &operator<<(std::ostream &stream, const socket_address &address);

} // namespace burdockshelf
