#pragma once

#include "gateway/gateway_messages.h"
#include "gateway/request_log.h"

#include <algorithm>
#include <map>
#include <memory>
#include <utility>

namespace burdockshelf
{

/// The body of a caller's request with its part of the account. The memory is released with the last connection that sends the body.
struct held_body
{
    std::string bytes;
    memory_charge memory;
};

/// A request in progress, with the state that only the dispatcher needs.
struct active_flow
{
    active_flow(flow_id number, http_request request, memory_charge memory, admitted_request admitted)
        : id(number)
        , original(std::move(request))
        , body(std::make_shared<const held_body>(held_body {std::exchange(original.body, {}), std::move(memory)}))
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

    /// Returns a stored response; an empty one with status 0 if there is none.
    http_response takeResponse(attempt_number number)
    {
        auto stored = responses.extract(number);
        return stored.empty() ? http_response {0, {}, {}} : std::move(stored.mapped());
    }

    flow_id id;
    /// The request without its body.
    http_request original;
    std::shared_ptr<const held_body> body;
    forward_flow flow;
    /// Heads of streams that have not been passed on yet, and the complete response that the flow is judging. A response that it does not
    /// pass on is not kept: one of every attempt would add up to many times the memory of a request.
    std::map<attempt_number, http_response> responses;
    std::map<attempt_number, start_attempt> sent;
    bool isCallerDisconnected = false;
    instant lastDataAt;
    request_summary end = {"unfinished"};
};

} // namespace burdockshelf
