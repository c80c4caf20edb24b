#pragma once

#include "gateway/endpoint_client_task.h"

namespace burdockshelf
{

/// An attempt and its connection.
struct endpoint_client_task::call
{
    open_attempt command;
    std::unique_ptr<client_connection> connection;
    deadline connectDeadline;
    /// When a call that nothing waits for is ended; all others are ended by the dispatcher.
    deadline endAt = deadline::never();
    http_response response;
    /// Memory that the buffered response takes, as counted in the sum of all calls.
    std::size_t heldBytes = 0;
    std::size_t headBytes = 0;
    response_facts facts;
    bool hasHead = false;
    bool hasBody = false;
    bool endsAtConnectionClose = false;
    bool isRelayed = false;
    bool isFireAndForget = false;
};

} // namespace burdockshelf
