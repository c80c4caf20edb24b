#pragma once

#include "core/outcome.h"
#include "http1/client_connection.h"
#include "runtime/timer.h"

#include <functional>
#include <memory>

namespace burdockshelf
{

/// Calls to the store on one connection, one at a time, each with a deadline. A connection on which a call failed is not used again,
/// because it may be silent for good. Owned by store_task.
class store_call
{
public:
    using handler = std::function<void(outcome<http_response>)>;

    store_call(event_loop &loop, const socket_address &store);
    ~store_call();
    store_call(const store_call &) = delete;
    store_call &operator=(const store_call &) = delete;

    bool isBusy() const;
    void begin(const http_request &request, deadline until, handler onDone);

private:
    void finish(outcome<http_response> result);
    void discardConnection();

    event_loop &m_loop;
    socket_address m_store;
    std::unique_ptr<client_connection> m_connection;
    std::unique_ptr<client_connection> m_discarded;
    http_response m_response;
    handler m_onDone;
    timer m_timeout;
    timer m_burial;
};

} // namespace burdockshelf
