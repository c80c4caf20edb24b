#pragma once

#include "gateway/gateway_messages.h"
#include "gateway/request_log.h"

#include <map>
#include <utility>

namespace burdockshelf
{

/// A request that the dispatcher works on, with what only the dispatcher needs of it.
struct active_flow
{
    active_flow(flow_id number, http_request request, admitted_request admitted)
        : id(number)
        , original(std::move(request))
        , flow(std::move(admitted))
    {
    }

    flow_id id;
    http_request original;
    forward_flow flow;
    /// Heads of answers that the flow has not decided on yet, and whole answers.
    std::map<attempt_number, http_response> answers;
    std::map<attempt_number, start_attempt> sent;
    bool isCallerDisconnected = false;
    instant lastPieceAt;
    request_end end = {"unfinished"};
};

} // namespace burdockshelf
