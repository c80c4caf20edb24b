#include "deployment.h"

#include <algorithm>

#include <boost/outcome/try.hpp>

namespace burdockshelf
{

namespace
{

using namespace std::chrono_literals;
using json = nlohmann::json;

constexpr auto startLimit = 60s;
constexpr auto conditionLimit = 20s;
constexpr auto askInterval = 20ms;
// Longer than any test: what the engines hold must be given back by the daemons, not by the engines' own limit.
constexpr const char *engineResumeTime = "600000";

site_plan testPlan()
{
    site_plan plan = site_plan::small();
    // Far above what the tests use: a fresh instance begins with an empty bucket.
    plan.workspaces.front() = {"dispatch", 400000, 800000};
    plan.workspaces.push_back({"metered", 400, 800});
    plan.engineArguments = {"--warm", "--resume-ms", engineResumeTime};
    plan.settingsMembers = {
        "\"lease_ms\": " + std::to_string(deployment::lease.count()), "\"heartbeat_interval_ms\": 200", "\"heartbeat_timeout_ms\": 1000"};
    return plan;
}

json parsed(const outcome<std::string> &text)
{
    const json document = json::parse(text ? text.value() : "{}", nullptr, false);
    return document.is_object() ? document : json::object();
}

} // namespace

deployment::deployment()
    : m_site(m_loop, testPlan())
{
}

outcome<void> deployment::start()
{
    BOOST_OUTCOME_TRYV(m_site.start());
    BOOST_OUTCOME_TRYV(m_site.waitUntilServing(startLimit));
    if (!waitFor([this] { return areRostersWhole(); })) {
        return failure(error_code::deadline_exceeded, "the rosters are not whole: " + statusOf(instance(0)).dump());
    }
    // Owners act a lease and a margin after they have read the roster; no status shows that.
    m_site.pause(2 * lease);
    return success();
}

bool deployment::waitFor(const std::function<bool()> &condition)
{
    const deadline until = deadline::after(boot_clock::now(), conditionLimit);
    while (!condition()) {
        if (until.hasPassed(boot_clock::now())) {
            return false;
        }
        m_site.pause(askInterval);
    }
    return true;
}

bool deployment::waitUntilDone(const std::vector<std::unique_ptr<caller>> &callers)
{
    return waitFor([&] { return std::all_of(callers.begin(), callers.end(), [](const auto &each) { return each->isDone(); }); });
}

std::unique_ptr<caller> deployment::callerAt(const site_instance &instance, const std::string &key)
{
    return std::make_unique<caller>(m_loop, instance.callers, key.empty() ? this->key() : key);
}

const std::string &deployment::key() const
{
    return m_site.keyOf("dispatch");
}

json deployment::stateOf(const site_endpoint &endpoint)
{
    return parsed(m_site.fetch(endpoint.address, "/control/state"));
}

json deployment::statusOf(const site_instance &instance)
{
    return parsed(m_site.fetch(instance.operators, "/status"));
}

void deployment::control(const std::string &role, const json &change)
{
    for (const site_endpoint &endpoint : m_site.endpoints()) {
        if (endpoint.role == role) {
            m_site.post(endpoint.address, "/control", change.dump()).value();
        }
    }
}

void deployment::controlPlatform(const json &change)
{
    m_site.post(m_site.platformAddress(), "/control", change.dump()).value();
}

int deployment::runningRequests()
{
    int count = 0;
    for (const site_endpoint &endpoint : m_site.endpoints()) {
        count += static_cast<int>(stateOf(endpoint).value("running", json::array()).size());
    }
    return count;
}

int deployment::runningDecodes()
{
    int count = 0;
    for (const site_endpoint &endpoint : m_site.endpoints()) {
        for (const json &each : stateOf(endpoint).value("running", json::array())) {
            count += each.value("is_running", false) && !each.value("is_prefill", true) ? 1 : 0;
        }
    }
    return count;
}

int deployment::heldBlocks()
{
    int count = 0;
    for (const site_endpoint &endpoint : m_site.endpoints()) {
        count += stateOf(endpoint).value("kv_blocks", 0);
    }
    return count;
}

int deployment::engineCount(const std::string &name)
{
    int count = 0;
    for (const site_endpoint &endpoint : m_site.endpoints()) {
        count += stateOf(endpoint).value("counts", json::object()).value(name, 0);
    }
    return count;
}

int deployment::executions(const std::string &idempotencyKey)
{
    int count = 0;
    for (const site_endpoint &endpoint : m_site.endpoints()) {
        count += stateOf(endpoint).value("by_key", json::object()).value(idempotencyKey, 0);
    }
    return count;
}

int deployment::requestsReceived(const std::string &dataCentre)
{
    int count = 0;
    for (const site_endpoint &endpoint : m_site.endpoints()) {
        if (endpoint.dataCentre != dataCentre) {
            continue;
        }
        const json state = stateOf(endpoint);
        const json counts = state.value("counts", json::object());
        count += counts.value("prefills", 0) + counts.value("decodes", 0);
        const json calls = state.value("by_path", json::object());
        for (const json &number : calls) {
            count += number.get<int>();
        }
    }
    return count;
}

bool deployment::doesServe(site_instance &instance)
{
    const streamed_answer answer = m_site.complete(instance, key(), "Are you there?", 2);
    m_lastAnswer = instance.name + " answered " + std::to_string(answer.status) + " " + answer.refusalBody;
    return answer.isWhole;
}

const std::string &deployment::lastAnswer() const
{
    return m_lastAnswer;
}

bool deployment::doAllServe()
{
    return std::all_of(
        m_site.instances().begin(), m_site.instances().end(), [this](site_instance &instance) { return doesServe(instance); });
}

bool deployment::areRostersWhole()
{
    return std::all_of(m_site.instances().begin(), m_site.instances().end(), [this](const site_instance &instance) {
        const json status = statusOf(instance);
        const json roster = status.value("roster", json::object());
        return roster.value("members", json::array()).size() == 2 && roster.value("authority_left_ms", 0) > 0;
    });
}

outcome<void> deployment::restartEndpoint(site_endpoint &endpoint)
{
    endpoint.process.kill();
    const std::vector<std::string> arguments = {"--listen",
                                                endpoint.address.toString(),
                                                "--name",
                                                endpoint.name,
                                                "--role",
                                                endpoint.role,
                                                "--model",
                                                "model",
                                                "--warm",
                                                "--resume-ms",
                                                engineResumeTime};
    BOOST_OUTCOME_TRY(process, child_process::start("standin_engine", arguments, m_site.folder() + "/" + endpoint.name + ".err"));
    endpoint.process = std::move(process);
    BOOST_OUTCOME_TRYV(endpoint.process.readAddress("listening", startLimit));
    return success();
}

std::vector<std::string> deployment::waitArguments(const site_instance *except)
{
    std::vector<std::string> arguments = {"--wait"};
    for (const site_instance &instance : m_site.instances()) {
        if (&instance != except) {
            arguments.insert(arguments.end(), {"--instance", instance.operators.toString()});
        }
    }
    return arguments;
}

site &deployment::processes()
{
    return m_site;
}

event_loop &deployment::loop()
{
    return m_loop;
}

site_instance &deployment::instance(std::size_t index)
{
    return m_site.instances().at(index);
}

} // namespace burdockshelf
