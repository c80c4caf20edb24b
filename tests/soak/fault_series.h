#pragma once

#include "core/random_source.h"
#include "faulty_endpoints.h"
#include "notice_judge.h"
#include "soak_judge.h"
#include "soak_site.h"

#include <functional>
#include <vector>

namespace burdockshelf
{

/// Faults in series that overlap: links that fail, processes that are stopped, killed and ended, a store that fails,
/// endpoints that write bytes without end or earlier refusals once more, odd entries. What they are follows
/// the random numbers; each ends by itself.
class fault_series
{
public:
    fault_series(event_loop &loop, soak_site &site, soak_judge &judge, notice_judge &notices, random_source &random);

    void begin();
    /// Begins no further fault; those under way still end.
    void end();
    /// To be called every few milliseconds.
    void advance(instant now);

private:
    using fault_action = void (fault_series::*)();

    struct planned_act
    {
        deadline at;
        std::function<void()> act;
    };

    void injectFault();
    void failEndpointLink();
    void failStoreLink();
    void stopGateway();
    void killGateway();
    void endGateway();
    void failStore();
    void discardHistory();
    void flapEndpoint();
    void listEndlessEndpoint();
    void listRepeatingEndpoint();
    void putOddEntry();
    void announceLeaving();
    void pauseEndpoint();
    void later(std::chrono::milliseconds time, std::function<void()> act);
    soak_gateway *pickRunning();
    /// Takes a gateway out of the checks on notices, because it was stopped or ended.
    void excuse(const soak_gateway &target);
    std::chrono::milliseconds randomTime(std::int64_t least, std::int64_t most);

    soak_site &m_site;
    soak_judge &m_judge;
    notice_judge &m_notices;
    random_source &m_random;
    faulty_endpoints m_faultyEndpoints;
    std::vector<planned_act> m_planned;
    deadline m_nextFault;
    bool m_isInjecting = false;
};

} // namespace burdockshelf
