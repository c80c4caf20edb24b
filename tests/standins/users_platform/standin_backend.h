#pragma once

#include "http/http_server.h"
#include "runtime/timer.h"

#include <cstdint>
#include <functional>
#include <optional>
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
    using call_observer = std::function<void(const http_request &)>;

    standin_backend(event_loop &loop, std::string id);

    const socket_address &address() const;
    /// Endpoint entry as a real endpoint writes it to the store.
    std::string entry(const std::string &service, const std::string &zone, const std::string &stage = {}) const;
    /// From now on, all responses of this process say that it leaves. Its entry is not changed.
    void setLeaving();
    /// From now on, turns all requests away with 503 and this Retry-After; without a value, serves again.
    void setPause(std::optional<std::string> retryAfter);
    /// Becomes a new process under the same id and address, which neither leaves nor pauses.
    void restart();
    /// The value of Retry-After with which requests are turned away at present; unset while the endpoint serves.
    const std::optional<std::string> &pause() const;
    /// Sets a function that is told of every request before it is answered.
    void setCallObserver(call_observer observer);
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
    void respond(http_exchange &exchange, http_response response) const;
    void respondWithStream(http_exchange &exchange);

    std::string m_id;
    http_server m_server;
    socket_address m_address;
    request_handler m_requestHandler;
    call_observer m_callObserver;
    std::vector<http_request> m_runs;
    std::vector<http_request> m_calls;
    int m_startTime = 1000;
    bool m_isLeaving = false;
    std::optional<std::string> m_pause;
};

} // namespace burdockshelf
