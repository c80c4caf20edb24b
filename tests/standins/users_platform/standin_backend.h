#pragma once

#include "http/http_server.h"
#include "runtime/timer.h"

#include <functional>
#include <string>
#include <vector>

namespace burdockshelf
{

/// A back end of the platform: a plain service or an engine with a stage. Notes what it ran; tests replace what it answers.
class standin_backend
{
public:
    using behaviour = std::function<void(const std::shared_ptr<http_exchange> &)>;

    standin_backend(event_loop &loop, std::string id);

    const socket_address &address() const;
    /// The entry as the back end writes it into the store.
    std::string entry(const std::string &service, const std::string &zone, const std::string &stage = {}) const;
    /// Used for requests in place of the usual answer.
    void setBehaviour(behaviour answer);
    /// Requests that began to run here.
    const std::vector<http_request> &runs() const;
    /// All calls, those that are no runs included.
    const std::vector<http_request> &calls() const;
    /// The head of a success as this back end gives it.
    http_response success(const http_request &request) const;

private:
    void answer(const std::shared_ptr<http_exchange> &exchange);
    void answerStream(http_exchange &exchange);

    std::string m_id;
    http_server m_server;
    socket_address m_address;
    behaviour m_behaviour;
    std::vector<http_request> m_runs;
    std::vector<http_request> m_calls;
};

} // namespace burdockshelf
