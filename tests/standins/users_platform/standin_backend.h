#pragma once

#include "http/http_server.h"
#include "runtime/timer.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace burdockshelf
{

/// Simulated endpoint of the platform: a plain service or an engine with a stage. Records the requests that it receives; tests can replace
/// its responses.
class standin_backend
{
public:
    using request_handler = std::function<void(const std::shared_ptr<http_exchange> &)>;

    standin_backend(event_loop &loop, std::string id);

    const socket_address &address() const;
    /// Endpoint entry as a real endpoint writes it to the store.
    std::string entry(const std::string &service, const std::string &zone, const std::string &stage = {}) const;
    /// From now on, the entry shows a new process of this endpoint.
    void restart();
    /// Sets a handler that replaces the default response to requests, except for capacity reservations and prefill.
    void setRequestHandler(request_handler handler);
    /// Requests that this endpoint started to run; capacity reservations and prefill are not included.
    const std::vector<http_request> &runs() const;
    /// All requests received, including those that are not in runs().
    const std::vector<http_request> &calls() const;
    /// Returns the headers of a successful response of this endpoint, without a body.
    http_response success(const http_request &request) const;

private:
    void handleRequest(const std::shared_ptr<http_exchange> &exchange);
    void respondWithStream(http_exchange &exchange);

    std::string m_id;
    std::int64_t m_startTime = 1000;
    http_server m_server;
    socket_address m_address;
    request_handler m_requestHandler;
    std::vector<http_request> m_runs;
    std::vector<http_request> m_calls;
};

} // namespace burdockshelf
