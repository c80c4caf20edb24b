#pragma once

#include "load/load_plan.h"
#include "load/offered_allowance.h"
#include "load/request_record.h"

#include "core/random_source.h"
#include "http/http_client.h"
#include "runtime/timer.h"
#include "site/site.h"

#include <deque>
#include <memory>
#include <vector>

namespace burdockshelf
{

/// Sends requests at planned times to random instances, whatever the answers do, and records what became of each.
class open_loop_load
{
public:
    open_loop_load(event_loop &loop, site &deployment, const load_plan &plan, std::uint64_t seed);

    /// Runs the loop for the planned duration and until all requests have ended or the limit has passed.
    const std::deque<request_record> &run(std::chrono::milliseconds limitAfterEnd);
    /// Uses the present address of an instance that was started again.
    void reconnect(std::size_t instance);

private:
    struct open_request;

    void planArrivals();
    void sendDue();
    void send(request_record &record);
    std::string promptFor(const request_record &record);
    void receiveBytes(open_request &request, std::string_view bytes);
    void noteToken(open_request &request);
    void finish(open_request &request, const http_call_result &result);
    boot_clock::duration sinceStart() const;

    event_loop &m_loop;
    site &m_site;
    const load_plan &m_plan;
    random_source m_random;
    std::vector<std::unique_ptr<http_client>> m_clients;
    /// Clients of ended processes; their calls still have to end.
    std::vector<std::unique_ptr<http_client>> m_formerClients;
    std::vector<offered_allowance> m_allowances;
    std::deque<request_record> m_records;
    std::size_t m_sent = 0;
    std::size_t m_ended = 0;
    timer m_arrival;
    timer m_limit;
    instant m_start;
};

} // namespace burdockshelf
