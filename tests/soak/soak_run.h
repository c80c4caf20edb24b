#pragma once

#include "configuration_judge.h"
#include "core/random_source.h"
#include "fault_series.h"
#include "notice_judge.h"
#include "soak_judge.h"
#include "soak_site.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace burdockshelf
{

/// Sends requests to the gateways of a site while faults are injected, and has the promises judged. Everything that is random follows the
/// seed; the timing of the processes does not.
class soak_run
{
public:
    explicit soak_run(const soak_plan &plan);
    ~soak_run();

    outcome<void> run();
    const soak_judge &judge() const;
    std::size_t requestCount() const;
    std::size_t answeredCount() const;
    /// Requests that were held against a configuration that had to be in force.
    std::size_t judgedCount() const;

private:
    struct pending_answer
    {
        deadline due;
        std::shared_ptr<http_exchange> exchange;
        http_response response;
    };

    outcome<void> waitUntilServing();
    void sendRequest();
    /// Sends a request on the route that moves, with a present or an earlier key.
    void sendMovedRequest();
    /// The operator replaces the keys of the route that moves, moves it, or both.
    void changeConfiguration();
    void sendTo(std::size_t index, soak_kind kind, const std::string &key, std::function<void(const soak_request &)> onEnd);
    void noteCall(const soak_endpoint &endpoint, const http_request &call);
    void noteAnswer(const soak_request &ended);
    void answerPlain(const standin_backend &backend, const std::shared_ptr<http_exchange> &exchange);
    void tick();
    void runLoopFor(std::chrono::milliseconds time);

    void watchProcesses();
    void checkWithdrawnKey();
    void checkMetrics();

    soak_plan m_plan;
    random_source m_random;
    soak_judge m_judge;
    notice_judge m_notices;
    configuration_judge m_configurations;
    event_loop m_loop;
    soak_site m_site;
    fault_series m_faults;
    std::map<std::string, soak_request> m_requests;
    std::vector<pending_answer> m_answers;
    std::int64_t m_lastRequest = 0;
    bool m_isSending = false;
    deadline m_nextRequest;
    deadline m_nextMovedRequest;
    deadline m_nextChange;
    /// Keys that the route that moves has had.
    std::vector<std::string> m_movedKeys;
    timer m_tick;
    timer m_stop;
};

} // namespace burdockshelf
