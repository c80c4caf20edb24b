#include "site/site.h"

#include "burdockshelfctl/blocking_http.h"
#include "wire/sse_parser.h"

#include <cstdlib>
#include <fstream>
#include <optional>
#include <utility>

#include <boost/outcome/try.hpp>
#include <nlohmann/json.hpp>

namespace burdockshelf
{

namespace
{

using namespace std::chrono_literals;
using json = nlohmann::json;

constexpr auto startLimit = 20s;
constexpr auto toolLimit = 60s;
constexpr auto callLimit = 60s;
constexpr auto pollPause = 100ms;

http_request jsonPost(const std::string &target, const std::string &key, const std::string &body)
{
    http_request request = {"POST", target, {{"Content-Type", "application/json"}}, body};
    if (!key.empty()) {
        request.headers.add("Authorization", "Bearer " + key);
    }
    return request;
}

} // namespace

std::string completionBody(const std::string &prompt, int maxTokens, bool isStream)
{
    return json {{"model", "model"}, {"prompt", prompt}, {"max_tokens", maxTokens}, {"stream", isStream}}.dump();
}

site::site(event_loop &loop, site_plan plan)
    : m_loop(loop)
    , m_plan(std::move(plan))
{
    std::string name = (std::filesystem::temp_directory_path() / "burdockshelf-site-XXXXXX").string();
    m_folder = mkdtemp(name.data());
}

site::~site()
{
    m_instances.clear();
    m_endpoints.clear();
    m_platform.kill();
    std::error_code ignored;
    if (std::getenv("BURDOCKSHELF_KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(m_folder, ignored);
    }
}

outcome<void> site::start()
{
    BOOST_OUTCOME_TRYV(startPlatform());
    BOOST_OUTCOME_TRYV(startEndpoints());
    BOOST_OUTCOME_TRYV(publishConfiguration());
    BOOST_OUTCOME_TRYV(startInstances());
    for (const workspace_plan &workspace : m_plan.workspaces) {
        BOOST_OUTCOME_TRY(key, grantKey(workspace.name));
        m_keys.emplace_back(workspace.name, key);
    }
    return success();
}

outcome<void> site::waitUntilServing(std::chrono::milliseconds limit)
{
    const deadline until = deadline::after(boot_clock::now(), limit);
    for (site_instance &instance : m_instances) {
        std::string last;
        while (true) {
            const streamed_answer answer = complete(instance, m_keys.front().second, "Are you ready?", 1);
            if (answer.isWhole) {
                break;
            }
            if (until.hasPassed(boot_clock::now())) {
                return failure(error_code::deadline_exceeded,
                               instance.name + " does not serve: " + std::to_string(answer.status) + " " + answer.refusalBody);
            }
            pause(pollPause);
        }
    }
    return success();
}

outcome<std::string> site::tool(std::vector<std::string> arguments)
{
    arguments.insert(arguments.end(), {"--platform", m_platformAddress.toString()});
    BOOST_OUTCOME_TRY(process, child_process::start("burdockshelfctl", arguments, file("tool.err")));
    int status = 0;
    BOOST_OUTCOME_TRY(output, process.readAll(toolLimit, status));
    if (status != 0) {
        return failure(error_code::conflict, "burdockshelfctl " + arguments.front() + " ended with " + std::to_string(status));
    }
    return output;
}

outcome<std::string> site::grantKey(const std::string &workspace)
{
    BOOST_OUTCOME_TRY(output, tool({"key", "grant", workspace}));
    const auto begin = output.find("bsk_");
    const auto end = output.find_first_of(" \n\"", begin);
    if (begin == std::string::npos) {
        return failure(error_code::invalid_message, "the tool has printed no key");
    }
    return output.substr(begin, end - begin);
}

outcome<void> site::restart(site_instance &instance)
{
    instance.process.kill();
    return startDaemon(instance);
}

streamed_answer site::complete(site_instance &at, const std::string &key, const std::string &prompt, int maxTokens)
{
    streamed_answer answer;
    bool isDone = false;
    sse_parser parser(byte_count(1024 * 1024));
    http_call_handlers handlers;
    handlers.onHeaders = [&](const http_response &response) {
        answer.status = response.status;
        answer.servedBy = std::string(response.headers.value("X-Served-By"));
    };
    handlers.onData = [&](std::string_view bytes) {
        if (answer.status != 200) {
            answer.refusalBody += bytes;
            return;
        }
        const auto events = parser.feed(bytes);
        if (!events) {
            return;
        }
        for (const sse_event &event : events.value()) {
            if (event.data == "[DONE]") {
                answer.isWhole = true;
                continue;
            }
            const json document = json::parse(event.data, nullptr, false);
            ++answer.events;
            if (document.is_object() && !document.value("choices", json::array()).empty()) {
                answer.text += document["choices"][0].value("text", "");
            }
        }
    };
    handlers.onDone = [&](const http_call_result &result) {
        isDone = true;
        answer.isWhole = answer.isWhole && result.has_value();
        m_loop.stop();
    };
    at.client->send(jsonPost("/v1/completions", key, completionBody(prompt, maxTokens, true)),
                    std::move(handlers),
                    deadline::after(boot_clock::now(), callLimit));
    while (!isDone) {
        m_loop.run();
    }
    return answer;
}

http_call_result
site::call(site_instance &at, const std::string &key, const std::string &path, const std::string &idempotencyKey, const std::string &body)
{
    http_request request = jsonPost(path, key, body);
    if (!idempotencyKey.empty()) {
        request.headers.add("Idempotency-Key", idempotencyKey);
    }
    return callAndWait(m_loop, at.callers, request, callLimit);
}

outcome<std::string> site::fetch(const socket_address &at, const std::string &target)
{
    const http_call_result result = callAndWait(m_loop, at, {"GET", target, {}, {}}, callLimit);
    if (!result) {
        return result.error().cause;
    }
    return result.value().body;
}

outcome<std::string> site::post(const socket_address &at, const std::string &target, const std::string &body)
{
    const http_call_result result = callAndWait(m_loop, at, jsonPost(target, {}, body), callLimit);
    if (!result) {
        return result.error().cause;
    }
    if (result.value().status != 200) {
        return failure(error_code::invalid_argument, target + " answered " + std::to_string(result.value().status));
    }
    return result.value().body;
}

void site::pause(std::chrono::milliseconds span)
{
    pauseFor(m_loop, span);
}

const std::string &site::keyOf(const std::string &workspace) const
{
    static const std::string none;
    for (const auto &[name, key] : m_keys) {
        if (name == workspace) {
            return key;
        }
    }
    return none;
}

workspace_plan site::planOf(const std::string &workspace) const
{
    for (const workspace_plan &plan : m_plan.workspaces) {
        if (plan.name == workspace) {
            return plan;
        }
    }
    return {workspace, 0, 0};
}

std::deque<site_instance> &site::instances()
{
    return m_instances;
}

std::deque<site_endpoint> &site::endpoints()
{
    return m_endpoints;
}

child_process &site::platform()
{
    return m_platform;
}

const socket_address &site::platformAddress() const
{
    return m_platformAddress;
}

std::string site::folder() const
{
    return m_folder.string();
}

outcome<void> site::startPlatform()
{
    BOOST_OUTCOME_TRY(process, child_process::start("standin_platform", {"--listen", "127.0.0.1:0"}, file("platform.err")));
    m_platform = std::move(process);
    BOOST_OUTCOME_TRY(address, m_platform.readAddress("listening", startLimit));
    m_platformAddress = address;
    return success();
}

outcome<void> site::startEndpoints()
{
    for (const data_centre_plan &at : m_plan.dataCentres) {
        for (int i = 1; i <= at.prefill; ++i) {
            BOOST_OUTCOME_TRYV(startEndpoint(at, "prefill", i));
        }
        for (int i = 1; i <= at.decode; ++i) {
            BOOST_OUTCOME_TRYV(startEndpoint(at, "decode", i));
        }
        for (int i = 1; i <= at.services; ++i) {
            BOOST_OUTCOME_TRYV(startEndpoint(at, "plain", i));
        }
    }
    return success();
}

outcome<void> site::startEndpoint(const data_centre_plan &at, const std::string &role, int number)
{
    site_endpoint endpoint;
    endpoint.name = at.name + "-" + role + "-" + std::to_string(number);
    endpoint.dataCentre = at.name;
    endpoint.role = role;
    const bool isPlain = role == "plain";
    std::vector<std::string> arguments = {"--listen", "127.0.0.1:0", "--name", endpoint.name};
    if (!isPlain) {
        arguments.insert(arguments.end(), {"--role", role, "--model", "model"});
        arguments.insert(arguments.end(), m_plan.engineArguments.begin(), m_plan.engineArguments.end());
    }
    BOOST_OUTCOME_TRY(process,
                      child_process::start(isPlain ? "standin_service" : "standin_engine", arguments, file(endpoint.name + ".err")));
    endpoint.process = std::move(process);
    BOOST_OUTCOME_TRY(address, endpoint.process.readAddress("listening", startLimit));
    endpoint.address = address;
    m_endpoints.push_back(std::move(endpoint));
    return success();
}

outcome<void> site::startInstances()
{
    for (const data_centre_plan &at : m_plan.dataCentres) {
        for (int i = 1; i <= at.instances; ++i) {
            site_instance &instance = m_instances.emplace_back();
            instance.name = at.name + "-" + std::to_string(i);
            instance.dataCentre = at.name;
            BOOST_OUTCOME_TRYV(startDaemon(instance));
        }
    }
    return success();
}

outcome<void> site::startDaemon(site_instance &instance)
{
    BOOST_OUTCOME_TRYV(write(instance.name + ".json", settingsText(instance)));
    BOOST_OUTCOME_TRY(process,
                      child_process::start("burdockshelfd", {"--settings", file(instance.name + ".json")}, file(instance.name + ".err")));
    instance.process = std::move(process);
    BOOST_OUTCOME_TRY(operators, instance.process.readAddress("operators", startLimit));
    BOOST_OUTCOME_TRY(callers, instance.process.readAddress("callers", startLimit));
    instance.operators = operators;
    instance.callers = callers;
    instance.client = std::make_unique<http_client>(m_loop, callers);
    return success();
}

outcome<void> site::publishConfiguration()
{
    BOOST_OUTCOME_TRYV(write("answers.json", answersText()));
    BOOST_OUTCOME_TRYV(tool({"generate", "--answers", file("answers.json"), "--to", file("configuration.json")}));
    BOOST_OUTCOME_TRYV(tool({"publish", file("configuration.json")}));
    return success();
}

std::string site::answersText() const
{
    json answers;
    answers["urgency_classes"] = json::array({{{"name", "urgent"},
                                               {"priority", 0},
                                               {"first_token_within_ms", 1200},
                                               {"between_tokens_within_ms", 28},
                                               {"wait_at_most_ms", 10000}},
                                              {{"name", "patient"},
                                               {"priority", 10},
                                               {"first_token_within_ms", 10000},
                                               {"between_tokens_within_ms", 60},
                                               {"wait_at_most_ms", 60000}}});
    for (const data_centre_plan &at : m_plan.dataCentres) {
        answers["data_centres"].push_back({{"name", at.name}, {"region", "bench"}});
    }
    for (const workspace_plan &workspace : m_plan.workspaces) {
        answers["workspaces"].push_back(
            {{"name", workspace.name}, {"tokens_per_second", workspace.tokensPerSecond}, {"burst_tokens", workspace.burstTokens}});
    }
    answers["services"] = json::array({{{"name", "model"},
                                        {"kind", "model"},
                                        {"calls_may_be_repeated", true},
                                        {"open_to_all", false},
                                        {"urgency_class", "urgent"},
                                        {"prompt_bytes_per_token", m_plan.promptBytesPerToken}},
                                       {{"name", "booking"},
                                        {"kind", "plain"},
                                        {"path_prefix", "/booking"},
                                        {"calls_may_be_repeated", false},
                                        {"open_to_all", false},
                                        {"urgency_class", "urgent"},
                                        {"call_cost_tokens", 50}}});
    for (const site_endpoint &endpoint : m_endpoints) {
        answers["endpoints"].push_back({{"name", endpoint.name},
                                        {"service", endpoint.role == "plain" ? "booking" : "model"},
                                        {"data_centre", endpoint.dataCentre},
                                        {"role", endpoint.role},
                                        {"address", endpoint.address.toString()},
                                        {"slots", 20},
                                        {"checks_fencing", true}});
    }
    return answers.dump(2);
}

std::string site::settingsText(const site_instance &instance) const
{
    json settings = {{"instance", instance.name},
                     {"data_centre", instance.dataCentre},
                     {"platform", m_platformAddress.toString()},
                     {"listen", {{"callers", "127.0.0.1:0"}, {"operators", "127.0.0.1:0"}, {"mesh", "127.0.0.1:0"}}},
                     {"shutdown_grace_ms", 200},
                     {"instance_list_interval_ms", 300}};
    for (const std::string &member : m_plan.settingsMembers) {
        settings.update(json::parse("{" + member + "}"));
    }
    return settings.dump(2);
}

std::string site::file(const std::string &name) const
{
    return (m_folder / name).string();
}

outcome<void> site::write(const std::string &name, const std::string &text) const
{
    std::ofstream stream(file(name), std::ios::trunc);
    stream << text;
    if (!stream.flush()) {
        return failure(error_code::unavailable, "cannot write " + file(name));
    }
    return success();
}

} // namespace burdockshelf
