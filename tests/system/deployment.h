#pragma once

#include "caller.h"

#include "core/outcome.h"
#include "runtime/event_loop.h"
#include "site/site.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace burdockshelf
{

/// A running site of two data centres, and what the tests ask of it. The tests share one, because its start takes seconds; a test puts back
/// what it has changed, and one that has failed has it replaced.
class deployment
{
public:
    /// The lease of the daemons.
    static constexpr std::chrono::milliseconds lease {1500};

    deployment();

    outcome<void> start();
    /// Runs the loop until the condition holds. False when it does not hold within a generous limit.
    bool waitFor(const std::function<bool()> &condition);
    bool waitUntilDone(const std::vector<std::unique_ptr<caller>> &callers);

    std::unique_ptr<caller> callerAt(const site_instance &instance, const std::string &key = {});
    const std::string &key() const;

    /// GET /control/state of an endpoint; an empty object when it does not answer.
    nlohmann::json stateOf(const site_endpoint &endpoint);
    /// GET /status of an instance.
    nlohmann::json statusOf(const site_instance &instance);
    void control(const std::string &role, const nlohmann::json &change);
    void controlPlatform(const nlohmann::json &change);
    /// Requests that the engines run, those of them that decode, and blocks that are held.
    int runningRequests();
    int runningDecodes();
    int heldBlocks();
    /// A figure of the counts of all engines, for example "aborted".
    int engineCount(const std::string &name);
    /// Executions of an idempotency key by all services.
    int executions(const std::string &idempotencyKey);
    /// Requests that the endpoints of a data centre have received.
    int requestsReceived(const std::string &dataCentre);
    /// True when an instance answers a model request in whole. What it answered last is kept for the message of a failed check.
    bool doesServe(site_instance &instance);
    const std::string &lastAnswer() const;
    bool doAllServe();
    /// True when every instance is a member of its data centre's roster and may decide.
    bool areRostersWhole();
    /// Starts an endpoint's stand-in again at its address.
    outcome<void> restartEndpoint(site_endpoint &endpoint);
    /// The --wait and --instance arguments for all instances but one.
    std::vector<std::string> waitArguments(const site_instance *except = nullptr);

    site &processes();
    event_loop &loop();
    site_instance &instance(std::size_t index);

private:
    event_loop m_loop;
    site m_site;
    std::string m_lastAnswer;
};

} // namespace burdockshelf
