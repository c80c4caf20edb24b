#pragma once

#include "core/outcome.h"
#include "core/socket_address.h"
#include "core/units.h"
#include "http/http_exchange.h"
#include "runtime/event_loop.h"

#include <functional>
#include <memory>

struct evhttp;
struct evhttp_bound_socket;

namespace burdockshelf
{

struct http_server_limits
{
    byte_count headers {16 * 1024};
    byte_count body {4 * 1024 * 1024};
};

/// HTTP/1.1 server for one address, based on evhttp. evhttp itself rejects requests that exceed the limits. Owned by one task; destruction
/// closes all connections.
class http_server
{
public:
    using handler = std::function<void(std::shared_ptr<http_exchange>)>;

    http_server(event_loop &loop, http_server_limits limits, handler onRequest);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /// Starts listening and returns the bound address, with the port that the kernel chose if the requested port was 0.
    outcome<socket_address> listen(const socket_address &address);
    /// Stops accepting connections. Open connections are kept.
    void stopAccepting();

private:
    struct server_deleter
    {
        void operator()(evhttp *server) const;
    };

    static void onRequest(struct evhttp_request *handle, void *self);

    handler m_onRequest;
    std::unique_ptr<evhttp, server_deleter> m_server;
    evhttp_bound_socket *m_socket = nullptr;
};

} // namespace burdockshelf
