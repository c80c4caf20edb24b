#pragma once

#include "core/boot_clock.h"
#include "soak_judge.h"
#include "soak_site.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace burdockshelf
{

/// Checks that what the store has acknowledged is in force in time: configurations by the requests on the route that moves, and entries of
/// endpoints that leave. Does not judge a gateway that was disturbed, or any while the store fails.
class configuration_judge
{
public:
    /// The store has acknowledged a configuration.
    void noteConfiguration(const soak_configuration &stored, instant now);
    /// The store has acknowledged that an endpoint leaves, or that it is back.
    void noteLeaving(const std::string &endpoint, instant now);
    void noteReturn(const std::string &endpoint);

    /// The store, a gateway with its link to the store, or the link of an endpoint is not in order in this time. A restarted gateway may
    /// go back to an older version.
    void noteStoreFault(instant from, instant to);
    void noteGatewayFault(std::size_t gateway, instant from, instant to);
    void noteRestart(std::size_t gateway, instant now);
    void noteEndpointFault(const std::string &endpoint, instant from, instant to);

    /// A request has reached an endpoint, which runs it unless it turns it away.
    void noteCall(const soak_endpoint &endpoint, const soak_request &request, bool isRun, instant now);

    /// Judges the requests that have ended, and returns the broken promises, one line each.
    std::vector<std::string> judge(const std::map<std::string, soak_request> &requests);
    /// How many runs and refusals were held against a version that binds.
    std::size_t judgedCount() const;

private:
    struct period
    {
        instant from;
        instant to;
    };

    struct stored_configuration
    {
        soak_configuration value;
        instant at;
    };

    /// What a gateway did with a request: refused it, or had it run by a service.
    struct handling
    {
        const soak_request *request = nullptr;
        /// Empty for a refusal.
        std::string service;
        instant at;
    };

    struct late_call
    {
        std::string endpoint;
        std::string request;
        std::size_t gateway = 0;
        instant leftAt;
        instant at;
    };

    static bool overlaps(const std::vector<period> &periods, instant from, instant to);
    /// The bound that holds from a time on; none where nothing is judged.
    std::optional<instant> binding(std::size_t gateway, instant sentAt, instant endedAt) const;
    static bool allows(const soak_configuration &version, const handling &seen);
    void judgeAge(const handling &seen);
    void judgeRegress(const handling &seen);
    void judgeCall(const late_call &call);
    std::string describe(const handling &seen) const;

    std::vector<stored_configuration> m_configurations;
    std::vector<period> m_storeFaults;
    std::map<std::size_t, std::vector<period>> m_gatewayFaults;
    std::map<std::size_t, std::vector<instant>> m_restarts;
    std::map<std::string, std::vector<period>> m_endpointFaults;
    std::map<std::string, instant> m_leavingSince;
    std::map<std::string, std::vector<handling>> m_runs;
    std::vector<late_call> m_lateCalls;
    /// The newest version whose effect a gateway has shown, since its last restart.
    struct shown_version
    {
        std::int64_t version = 0;
        instant at;
    };
    std::map<std::size_t, shown_version> m_shown;
    std::size_t m_judged = 0;
    std::vector<std::string> m_findings;
};

} // namespace burdockshelf
