#pragma once

#include "core/socket_address.h"

#include <sys/socket.h>

namespace burdockshelf
{

/// A socket address as a sockaddr, for system calls and libevent.
class native_address
{
public:
    explicit native_address(const socket_address &address);

    const sockaddr *data() const;
    sockaddr *data();
    int size() const;

    static socket_address toSocketAddress(const sockaddr *address);
    /// Returns the local address of a socket.
    static socket_address ofSocket(int socket);

private:
    sockaddr_storage m_storage = {};
    int m_size = 0;
};

} // namespace burdockshelf
