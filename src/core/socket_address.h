#pragma once

#include "core/outcome.h"

#include <compare>
#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>

namespace burdockshelf
{

/// An IP number and a TCP port. Port 0 asks the kernel for a free one when listening.
struct socket_address
{
    std::string ip;
    std::uint16_t port = 0;

    /// Reads "127.0.0.1:8080" or "[::1]:8080". Host names are refused: instances talk by IP numbers.
    static outcome<socket_address> parse(std::string_view text);

    std::string toString() const;

    friend auto operator<=>(const socket_address &, const socket_address &) = default;
};

std::ostream &operator<<(std::ostream &stream, const socket_address &address);

} // namespace burdockshelf
