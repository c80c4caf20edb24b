#pragma once

#include "core/outcome.h"
#include "core/socket_address.h"
#include "http/http_client.h"
#include "runtime/event_loop.h"

#include <string>
#include <vector>

namespace burdockshelf
{

/// Sends one request and runs the loop until it is answered or the time is over.
http_call_result callAndWait(event_loop &loop, const socket_address &server, const http_request &request, boot_clock::duration limit);

/// What one of several servers answered to a GET; an answer other than 200 is an error.
struct fetched_body
{
    socket_address server;
    outcome<std::string> body;
};

/// Asks all servers at once and runs the loop until each has answered or the time is over. In the order of the servers.
std::vector<fetched_body>
fetchFromAll(event_loop &loop, const std::vector<socket_address> &servers, const std::string &target, boot_clock::duration limit);

/// Runs the loop for a while, without using the processor.
void pauseFor(event_loop &loop, boot_clock::duration span);

} // namespace burdockshelf
