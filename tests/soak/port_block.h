#pragma once

#include "core/socket_address.h"

#include <cstdint>

namespace burdockshelf
{

/// A block of consecutive loopback ports that no other block uses, in this or another process: holds a socket on the first port of the
/// block. A port that was only found to be free can be taken by another process before it is used.
class port_block
{
public:
    port_block();
    ~port_block();
    port_block(const port_block &) = delete;
    port_block &operator=(const port_block &) = delete;

    /// The next port of the block that is free.
    socket_address next();

private:
    std::uint16_t m_last = 0;
    int m_guard = -1;
};

} // namespace burdockshelf
