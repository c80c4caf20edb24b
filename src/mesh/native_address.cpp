#include "mesh/native_address.h"

#include <array>

#include <arpa/inet.h>
#include <netinet/in.h>

namespace burdockshelf
{

native_address::native_address(const socket_address &address)
{
    auto *ipv4 = reinterpret_cast<sockaddr_in *>(&m_storage);
    if (inet_pton(AF_INET, address.ip.c_str(), &ipv4->sin_addr) == 1) {
        ipv4->sin_family = AF_INET;
        ipv4->sin_port = htons(address.port);
        m_size = sizeof *ipv4;
        return;
    }
    auto *ipv6 = reinterpret_cast<sockaddr_in6 *>(&m_storage);
    inet_pton(AF_INET6, address.ip.c_str(), &ipv6->sin6_addr);
    ipv6->sin6_family = AF_INET6;
    ipv6->sin6_port = htons(address.port);
    m_size = sizeof *ipv6;
}

const sockaddr *native_address::data() const
{
    return reinterpret_cast<const sockaddr *>(&m_storage);
}

sockaddr *native_address::data()
{
    return reinterpret_cast<sockaddr *>(&m_storage);
}

int native_address::size() const
{
    return m_size;
}

socket_address native_address::toSocketAddress(const sockaddr *address)
{
    std::array<char, INET6_ADDRSTRLEN> text = {};
    if (address->sa_family == AF_INET6) {
        const auto *ipv6 = reinterpret_cast<const sockaddr_in6 *>(address);
        inet_ntop(AF_INET6, &ipv6->sin6_addr, text.data(), text.size());
        return {text.data(), ntohs(ipv6->sin6_port)};
    }
    const auto *ipv4 = reinterpret_cast<const sockaddr_in *>(address);
    inet_ntop(AF_INET, &ipv4->sin_addr, text.data(), text.size());
    return {text.data(), ntohs(ipv4->sin_port)};
}

socket_address native_address::ofSocket(int socket)
{
    sockaddr_storage bound = {};
    socklen_t size = sizeof bound;
    getsockname(socket, reinterpret_cast<sockaddr *>(&bound), &size);
    return toSocketAddress(reinterpret_cast<const sockaddr *>(&bound));
}

} // namespace burdockshelf
