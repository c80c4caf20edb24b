#pragma once

#include "core/outcome.h"
#include "core/socket_address.h"
#include "http/http_client.h"
#include "runtime/event_loop.h"
#include "site/child_process.h"
#include "site/site_plan.h"

#include <chrono>
#include <deque>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace burdockshelf
{

/// A daemon of the site.
struct site_instance
{
    std::string name;
    std::string dataCentre;
    child_process process;
    socket_address callers;
    socket_address operators;
    std::unique_ptr<http_client> client;
};

/// A stand-in of an engine or a plain service.
struct site_endpoint
{
    std::string name;
    std::string dataCentre;
    /// prefill, decode or plain.
    std::string role;
    child_process process;
    socket_address address;
};

/// A model's answer as the caller saw it.
struct streamed_answer
{
    int status = 0;
    std::string text;
    std::string servedBy;
    std::string refusalBody;
    int events = 0;
    /// True when the stream ended with its end mark.
    bool isWhole = false;
};

/// Everything that a deployment on loopback needs, as separate processes: the platform's stand-in, engines, services, daemons, with the
/// configuration made by the operators' tool. All of it ends with the object.
class site
{
public:
    site(event_loop &loop, site_plan plan);
    ~site();
    site(const site &) = delete;
    site &operator=(const site &) = delete;

    /// Starts all processes, publishes the configuration and grants each workspace a key.
    outcome<void> start();
    /// Waits until every instance serves a model request of the first workspace.
    outcome<void> waitUntilServing(std::chrono::milliseconds limit);

    /// Runs the operators' tool against the site's platform and returns its standard output; an exit status other than 0 is an error.
    outcome<std::string> tool(std::vector<std::string> arguments);
    outcome<std::string> grantKey(const std::string &workspace);
    /// Starts the daemon of an instance again, as a new incarnation.
    outcome<void> restart(site_instance &instance);

    /// Sends a streaming completion and runs the loop until it has ended.
    streamed_answer complete(site_instance &at, const std::string &key, const std::string &prompt, int maxTokens);
    /// Calls a path of the plain service; an empty idempotency key sends none.
    http_call_result
    call(site_instance &at, const std::string &key, const std::string &path, const std::string &idempotencyKey, const std::string &body);
    /// GET or POST at any address of the site.
    outcome<std::string> fetch(const socket_address &at, const std::string &target);
    outcome<std::string> post(const socket_address &at, const std::string &target, const std::string &body);
    /// Runs the loop for a while.
    void pause(std::chrono::milliseconds span);

    const std::string &keyOf(const std::string &workspace) const;
    /// The plan of a workspace; one without rate when it is not in the plan.
    workspace_plan planOf(const std::string &workspace) const;
    std::deque<site_instance> &instances();
    std::deque<site_endpoint> &endpoints();
    child_process &platform();
    const socket_address &platformAddress() const;
    std::string folder() const;

private:
    outcome<void> startPlatform();
    outcome<void> startEndpoints();
    outcome<void> startEndpoint(const data_centre_plan &at, const std::string &role, int number);
    outcome<void> startInstances();
    outcome<void> startDaemon(site_instance &instance);
    outcome<void> publishConfiguration();
    std::string answersText() const;
    std::string settingsText(const site_instance &instance) const;
    std::string file(const std::string &name) const;
    outcome<void> write(const std::string &name, const std::string &text) const;

    event_loop &m_loop;
    site_plan m_plan;
    std::filesystem::path m_folder;
    child_process m_platform;
    socket_address m_platformAddress;
    std::deque<site_endpoint> m_endpoints;
    std::deque<site_instance> m_instances;
    std::vector<std::pair<std::string, std::string>> m_keys;
};

/// The JSON body of a streaming completion.
std::string completionBody(const std::string &prompt, int maxTokens, bool isStream);

} // namespace burdockshelf
