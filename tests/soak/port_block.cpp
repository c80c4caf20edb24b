#include "soak/port_block.h"

#include "core/random_source.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace burdockshelf
{

namespace
{

// Below the range from which the kernel takes ports for connections, which could take one between the check and its use.
constexpr std::uint16_t firstPort = 10000;
constexpr std::uint16_t portsPerBlock = 64;
constexpr std::uint16_t blockCount = 300;

/// Returns a socket that is bound to the port, or -1 if the port is in use.
int bindPort(std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    if (::bind(socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0) {
        return socket;
    }
    ::close(socket);
    return -1;
}

} // namespace

port_block::port_block()
{
    // Not from the seed of a soak, because several soaks with one seed may run at once.
    random_source random;
    while (m_guard < 0) {
        m_last = static_cast<std::uint16_t>(firstPort + portsPerBlock * random.below(blockCount));
        m_guard = bindPort(m_last);
    }
}

port_block::~port_block()
{
    ::close(m_guard);
}

socket_address port_block::next()
{
    int socket = -1;
    while (socket < 0) {
        ++m_last;
        socket = bindPort(m_last);
    }
    ::close(socket);
    return {"127.0.0.1", m_last};
}

} // namespace burdockshelf
