#pragma once

#include "fault_proxy.h"
#include "http/http_client.h"
#include "site/child_process.h"
#include "soak/port_block.h"
#include "standins/users_platform/standin_backend.h"
#include "standins/users_platform/standin_store.h"
#include "support/scratch_folder.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace burdockshelf
{

struct soak_plan
{
    std::uint64_t seed = 1;
    std::chrono::seconds faultTime {10};
    std::size_t gateways = 3;
    /// Factor of the time between faults. With more time, more gateways count as undisturbed beside others that are not.
    std::int64_t faultSpacing = 1;
    /// Empty for a folder that is removed at the end.
    std::string logFolder;
};

/// What of the operator's configuration changes during a soak.
struct soak_configuration
{
    std::int64_t version = 1;
    bool hasSecondKey = true;
    /// The service and the keys of the route that moves.
    std::string movedService = "plain";
    std::vector<std::string> movedKeys = {"moved-0"};
};

/// An endpoint behind a link that can fail.
struct soak_endpoint
{
    std::string id;
    std::string service;
    std::string stage;
    std::unique_ptr<standin_backend> backend;
    std::unique_ptr<fault_proxy> link;
    bool isListed = true;
};

enum class gateway_state
{
    running,
    stopped,
    ending,
};

/// A gateway as a process, and the way to it.
struct soak_gateway
{
    std::string name;
    socket_address callers;
    socket_address metrics;
    socket_address readiness;
    socket_address peers;
    std::string settingsFile;
    std::unique_ptr<fault_proxy> storeLink;
    child_process process;
    gateway_state state = gateway_state::running;
    std::unique_ptr<http_client> client;
    instant disturbedSince;
};

/// What the soak runs: the users' store and back ends as stand-ins on its own loop, and gateways as processes.
class soak_site
{
public:
    /// How long a gateway has from SIGTERM until its end.
    static constexpr std::chrono::milliseconds graceTime {3000};
    /// Within this time a change of the operator is in force.
    static constexpr std::chrono::milliseconds configurationTime {2000};
    /// Within this time nothing more is sent to an endpoint that leaves.
    static constexpr std::chrono::milliseconds drainTime {2000};

    using plain_answer = std::function<void(const standin_backend &, const std::shared_ptr<http_exchange> &)>;

    soak_site(event_loop &loop, const soak_plan &plan, const plain_answer &plainAnswer);

    outcome<void> start(std::size_t gateways);
    /// Starts a gateway's process, at first or again.
    outcome<void> startGateway(soak_gateway &target);
    void publishEndpoint(const soak_endpoint &target, const std::string &state = "ready");
    const soak_configuration &configuration() const;
    void publishConfiguration(soak_configuration next);
    /// Takes the key "k2" out of the configuration.
    void withdrawSecondKey();
    /// Writes a configuration of this version, with or without the key "k2". The site starts with version 1, which has it.
    void configure(std::int64_t version, bool hasSecondKey);

    standin_store &store();
    std::vector<soak_endpoint> &endpoints();
    std::vector<soak_gateway> &gateways();

private:
    void writeSettings(soak_gateway &target);

    event_loop &m_loop;
    scratch_folder m_scratch;
    port_block m_ports;
    std::string m_logFolder;
    standin_store m_store;
    soak_configuration m_configuration;
    std::vector<soak_endpoint> m_endpoints;
    std::vector<soak_gateway> m_gateways;
};

} // namespace burdockshelf
