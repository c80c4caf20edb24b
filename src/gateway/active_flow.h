#pragma once

#include "gateway/gateway_messages.h"
#include "gateway/request_log.h"

#include <algorithm>
#include <map>
#include <utility>

namespace burdockshelf
{

/// A request in progress, with the state that only the dispatcher needs.
struct active_flow
{
    active_flow(flow_id number, http_request request, admitted_request admitted)
        : id(number)
        , original(std::move(request))
        , flow(std::move(admitted))
    {
    }

    /// True if an attempt with the id of the request was sent to the address. Calls for reservations carry no id.
    bool hasSentRequestTo(const socket_address &address) const
    {
        return std::any_of(sent.begin(), sent.end(), [&](const auto &attempt) {
            return attempt.second.attemptKind != attempt_kind::reserve && attempt.second.address == address;
        });
    }

    flow_id id;
    http_request original;
    forward_flow flow;
    /// Response heads that the flow has not processed yet, and complete buffered responses.
    std::map<attempt_number, http_response> responses;
    std::map<attempt_number, start_attempt> sent;
    bool isCallerDisconnected = false;
    instant lastDataAt;
    request_summary end = {"unfinished"};
};

} // namespace burdockshelf
