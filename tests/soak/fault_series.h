#pragma once

#include "configuration_judge.h"
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
    fault_series(event_loop &loop,
                 soak_site &site,
                 soak_judge &judge,
                 notice_judge &notices,
                 configuration_judge &configurations,
                 random_source &random);

    /// Begins faults, with times between them that are multiplied by the spacing.
    void begin(std::int64_t spacing);
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
    void drainEndpoint();
    std::size_t indexOf(const soak_gateway &target);
    /// A gateway does not count as undisturbed for this long from now on.
    void noteGatewayFault(const soak_gateway &target, std::chrono::milliseconds time);
    void later(std::chrono::milliseconds time, std::function<void()> act);
    soak_gateway *pickRunning();
    /// Takes a gateway out of the checks on notices, because it was stopped or ended.
    void excuse(const soak_gateway &target);
    std::chrono::milliseconds randomTime(std::int64_t least, std::int64_t most);

    soak_site &m_site;
    soak_judge &m_judge;
    notice_judge &m_notices;
    configuration_judge &m_configurations;
    random_source &m_random;
    faulty_endpoints m_faultyEndpoints;
    std::vector<planned_act> m_planned;
    deadline m_nextFault;
    std::int64_t m_spacing = 1;
    bool m_isInjecting = false;
};

} // namespace burdockshelf
