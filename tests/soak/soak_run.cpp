#include "soak_run.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>
#include <set>
#include <utility>

#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;
using namespace std::chrono_literals;

constexpr milliseconds tickPause {2};
constexpr milliseconds requestPause {6};
// What callers tell the gateway, and how long they really wait for it.
constexpr milliseconds callerTime {3000};
constexpr milliseconds callerLimit {5000};
constexpr milliseconds graceTime {3000};
// After the end of the last fault, until everything has to work again.
constexpr milliseconds recoveryTime {5000};
constexpr milliseconds configurationTime {2000};
constexpr milliseconds startLimit {10000};
constexpr int statusUnauthorized = 401;

// Below the range from which the kernel takes ports for connections, which could take one between the check and its use.
constexpr std::uint16_t firstPort = 10000;
constexpr std::uint64_t portCount = 20000;

bool isFree(const socket_address &candidate)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(candidate.port);
    const bool isBound = ::bind(socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
    ::close(socket);
    return isBound;
}

/// A port that no other process uses and that was not given out before. Not from the seed, because several soaks run at once.
socket_address freeAddress()
{
    static random_source random;
    static std::set<std::uint16_t> given;
    socket_address candidate;
    do {
        candidate = {"127.0.0.1", static_cast<std::uint16_t>(firstPort + random.below(portCount))};
    } while (given.count(candidate.port) > 0 || !isFree(candidate));
    given.insert(candidate.port);
    return candidate;
}

} // namespace

soak_run::soak_run(const soak_plan &plan)
    : m_plan(plan)
    , m_random(plan.seed)
    , m_store(m_loop)
    , m_tick(m_loop, [this] { tick(); })
    , m_stop(m_loop, [this] { m_loop.stop(); })
{
    if (m_plan.logFolder.empty()) {
        m_plan.logFolder = m_scratch.path("");
    }
    const std::array<std::array<const char *, 3>, 6> endpoints = {{
        {"p1", "plain", ""},
        {"p2", "plain", ""},
        {"p3", "plain", ""},
        {"r1", "engine", "prefill"},
        {"d1", "engine", "decode"},
        {"d2", "engine", "decode"},
    }};
    for (const auto &[id, service, stage] : endpoints) {
        endpoint fresh {id, service, stage, std::make_unique<standin_backend>(m_loop, id), nullptr};
        fresh.link = std::make_unique<fault_proxy>(m_loop, fresh.backend->address());
        standin_backend *backend = fresh.backend.get();
        if (fresh.stage.empty()) {
            backend->setBehaviour([this, backend](const std::shared_ptr<http_exchange> &exchange) { answerPlain(*backend, exchange); });
        }
        publishEndpoint(fresh);
        m_endpoints.push_back(std::move(fresh));
    }
    m_store.put("keyed.op", "config", configuration(1, true));
}

soak_run::~soak_run() = default;

const soak_judge &soak_run::judge() const
{
    return m_judge;
}

std::size_t soak_run::requestCount() const
{
    return m_requests.size();
}

std::size_t soak_run::answeredCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_requests.begin(), m_requests.end(), [](const auto &entry) { return entry.second.status == 200; }));
}

outcome<void> soak_run::run()
{
    for (std::size_t i = 0; i < m_plan.gateways; ++i) {
        gateway fresh;
        fresh.name = "gateway-" + std::to_string(i);
        fresh.callers = freeAddress();
        fresh.metrics = freeAddress();
        fresh.storeLink = std::make_unique<fault_proxy>(m_loop, m_store.address());
        fresh.client = std::make_unique<http_client>(m_loop, fresh.callers);
        writeSettings(fresh);
        m_gateways.push_back(std::move(fresh));
        BOOST_OUTCOME_TRYV(startGateway(m_gateways.back()));
    }
    m_tick.start(deadline());
    BOOST_OUTCOME_TRYV(waitUntilServing());
    m_isSending = true;
    m_isFaulty = true;
    runLoopFor(m_plan.faultTime);
    m_isFaulty = false;
    runLoopFor(recoveryTime);
    BOOST_OUTCOME_TRYV(waitUntilServing());
    m_isSending = false;
    checkWithdrawnKey();
    checkMetrics();
    runLoopFor(callerLimit);
    for (const endpoint &one : m_endpoints) {
        for (const http_request &ran : one.backend->runs()) {
            m_judge.noteRun(std::string(ran.headers.value("X-Attempt-Id")));
        }
    }
    m_judge.judge(m_requests);
    return success();
}

outcome<void> soak_run::startGateway(gateway &target)
{
    const std::string log = m_plan.logFolder + "/" + target.name;
    // The log of one gateway has no reader, as when a collector stands still.
    const bool isRead = target.name != "gateway-0";
    BOOST_OUTCOME_TRY(
        started,
        child_process::start(
            "burdockshelfd", {"--platform", "--settings", target.settingsFile}, log + ".errors", isRead ? log + ".log" : std::string()));
    target.process = std::move(started);
    target.state = process_state::running;
    return success();
}

void soak_run::writeSettings(gateway &target)
{
    target.settingsFile = m_scratch.path(target.name + ".json");
    std::ofstream(target.settingsFile) << nlohmann::json {
        {"instance", target.name},
        {"dataCentre", "z"},
        {"callerAddress", target.callers.toString()},
        {"readinessAddress", freeAddress().toString()},
        {"metricsAddress", target.metrics.toString()},
        {"storeAddress", target.storeLink->address().toString()},
        {"graceMs", graceTime.count()},
        {"configurationWithinMs", configurationTime.count()},
        {"repeatRatio", 0.2},
        {"repeatSlack", 50},
        {"quotaSlack", 190000},
        {"quotaOver", 0.1},
        {"quotaWindowMs", 8000},
        {"dutyTurnMs", 3000},
        {"prefillPercent", 0},
    };
}

std::string soak_run::configuration(int version, bool hasSecondKey) const
{
    const auto route = [](const char *name, const char *kind, const char *service, int attempts) {
        return nlohmann::json {{"name", name},
                               {"host", "127.0.0.1"},
                               {"path_prefix", std::string("/") + name + "/"},
                               {"kind", kind},
                               {"timeout_ms", 4000},
                               {"service", service},
                               {"max_attempts", attempts}};
    };
    const nlohmann::json keys = hasSecondKey ? nlohmann::json {"k1", "k2"} : nlohmann::json {"k1"};
    return nlohmann::json {
        {"version", version},
        {"routes", {route("safe", "safe", "plain", 2), route("unsafe", "unsafe", "plain", 1), route("text", "streaming", "engine", 1)}},
        {"services",
         {{{"name", "plain"}, {"max_conns", 100}},
          {{"name", "engine"}, {"max_conns", 100}, {"engine", {{"slots", 8}, {"kv_capacity", 40000}}}}}},
        {"tenants",
         {{{"name", "w"}, {"api_keys", keys}, {"unit", "tokens"}, {"plain_tokens", 200}, {"rate_per_s", 470000}, {"burst", 470000}}}},
    }
        .dump();
}

void soak_run::publishEndpoint(const endpoint &target)
{
    nlohmann::json entry = nlohmann::json::parse(target.backend->entry(target.service, "z", target.stage));
    entry["address"] = target.link->address().toString();
    m_store.put("keyed.servers", target.id, entry.dump());
}

outcome<void> soak_run::waitUntilServing()
{
    const deadline until = deadline::after(boot_clock::now(), startLimit);
    for (std::size_t i = 0; i < m_gateways.size(); ++i) {
        bool isServing = false;
        while (!isServing) {
            bool isEnded = false;
            sendTo(i, soak_kind::idempotent, "k1", [&](const soak_request &ended) {
                isServing = ended.status == 200;
                isEnded = true;
            });
            while (!isEnded) {
                runLoopFor(20ms);
            }
            if (until.hasPassed(boot_clock::now())) {
                m_judge.fail("recovery", m_gateways[i].name + " does not serve");
                break;
            }
        }
    }
    return success();
}

void soak_run::sendRequest()
{
    const std::size_t index = m_random.below(m_gateways.size());
    const auto kind = static_cast<soak_kind>(m_random.below(3));
    if (m_gateways[index].state != process_state::ending) {
        sendTo(index, kind, "k1", {});
    }
}

void soak_run::sendTo(std::size_t index, soak_kind kind, const std::string &key, std::function<void(const soak_request &)> onEnd)
{
    static constexpr std::array<const char *, 3> paths = {"/safe/x", "/unsafe/x", "/text/x"};
    soak_request fresh;
    fresh.id = "q" + std::to_string(++m_lastRequest);
    fresh.kind = kind;
    fresh.gateway = index;
    fresh.sentAt = boot_clock::now();
    http_request request;
    request.method = kind == soak_kind::idempotent ? "GET" : "POST";
    request.target = paths.at(static_cast<std::size_t>(kind));
    request.headers = {
        {"X-Attempt-Id", fresh.id}, {"X-Deadline-Ms", std::to_string(callerTime.count())}, {"Authorization", "Bearer " + key}};
    if (kind == soak_kind::streaming) {
        request.headers.add("X-Token-Counts", "1000,50");
    }
    request.body = kind == soak_kind::idempotent ? "" : "content";
    http_call_handlers handlers;
    handlers.onDone = [this, id = fresh.id, onEnd = std::move(onEnd)](http_call_result result) {
        soak_request &ended = m_requests[id];
        ended.isEnded = true;
        ended.endedAt = boot_clock::now();
        if (result) {
            ended.status = result.value().status;
            ended.response = std::move(result.value());
        } else {
            ended.isTimedOut = result.error().cause.code == error_code::deadline_exceeded;
        }
        if (onEnd) {
            onEnd(ended);
        }
    };
    m_requests[fresh.id] = fresh;
    m_gateways[index].client->send(request, std::move(handlers), deadline::after(fresh.sentAt, callerLimit));
}

void soak_run::answerPlain(const standin_backend &backend, const std::shared_ptr<http_exchange> &exchange)
{
    http_response response = backend.success(exchange->request());
    response.body = "body of " + std::string(exchange->request().headers.value("X-Attempt-Id"));
    m_answers.push_back({deadline::after(boot_clock::now(), randomTime(1, 40)), exchange, std::move(response)});
}

void soak_run::tick()
{
    const instant now = boot_clock::now();
    m_tick.start(deadline::after(now, tickPause));
    for (std::size_t i = 0; i < m_planned.size();) {
        if (!m_planned[i].at.hasPassed(now)) {
            ++i;
            continue;
        }
        const auto act = std::move(m_planned[i].act);
        m_planned.erase(m_planned.begin() + static_cast<std::ptrdiff_t>(i));
        act();
    }
    for (pending_answer &answer : m_answers) {
        if (answer.due.hasPassed(now)) {
            answer.exchange->respond(answer.response);
            answer.exchange.reset();
        }
    }
    std::erase_if(m_answers, [](const pending_answer &answer) { return answer.exchange == nullptr; });
    if (m_isSending && m_nextRequest.hasPassed(now)) {
        m_nextRequest = deadline::after(now, requestPause);
        sendRequest();
    }
    if (m_isFaulty && m_nextFault.hasPassed(now)) {
        m_nextFault = deadline::after(now, randomTime(60, 500));
        injectFault();
    }
    watchProcesses();
}

void soak_run::runLoopFor(milliseconds time)
{
    m_stop.start(deadline::after(boot_clock::now(), time));
    m_loop.run();
}

void soak_run::injectFault()
{
    static constexpr std::array<fault_action, 9> actions = {
        &soak_run::failEndpointLink,
        &soak_run::failEndpointLink,
        &soak_run::failStoreLink,
        &soak_run::stopGateway,
        &soak_run::killGateway,
        &soak_run::endGateway,
        &soak_run::failStore,
        &soak_run::forgetHistory,
        &soak_run::flapEndpoint,
    };
    (this->*actions.at(m_random.below(actions.size())))();
}

void soak_run::failEndpointLink()
{
    const std::size_t index = m_random.below(m_endpoints.size());
    const auto fault = static_cast<link_fault>(1 + m_random.below(4));
    m_endpoints[index].link->setFault(fault, randomTime(5, 300));
    m_judge.noteFault("link of " + m_endpoints[index].id + ", kind " + std::to_string(static_cast<int>(fault)));
    later(randomTime(100, 2000), [this, index] { m_endpoints[index].link->setFault(link_fault::none); });
}

void soak_run::failStoreLink()
{
    const std::size_t index = m_random.below(m_gateways.size());
    const auto fault = static_cast<link_fault>(1 + m_random.below(4));
    m_gateways[index].storeLink->setFault(fault, randomTime(5, 600));
    m_judge.noteFault("store link of " + m_gateways[index].name + ", kind " + std::to_string(static_cast<int>(fault)));
    later(randomTime(100, 3000), [this, index] { m_gateways[index].storeLink->setFault(link_fault::none); });
}

void soak_run::stopGateway()
{
    gateway *target = pickRunning();
    if (target == nullptr) {
        return;
    }
    m_judge.noteFault("stop " + target->name);
    target->process.signal(SIGSTOP);
    target->state = process_state::stopped;
    target->disturbedSince = boot_clock::now();
    later(randomTime(50, 2500), [this, target] {
        target->process.signal(SIGCONT);
        target->state = process_state::running;
        m_judge.noteDisturbed(static_cast<std::size_t>(target - m_gateways.data()), target->disturbedSince, boot_clock::now());
    });
}

void soak_run::killGateway()
{
    gateway *target = pickRunning();
    if (target == nullptr) {
        return;
    }
    m_judge.noteFault("kill " + target->name);
    target->process.kill();
    target->state = process_state::ending;
    target->disturbedSince = boot_clock::now();
    later(randomTime(20, 800), [this, target] {
        const auto started = startGateway(*target);
        if (!started) {
            m_judge.fail("start", started.error().message);
        }
        m_judge.noteDisturbed(static_cast<std::size_t>(target - m_gateways.data()), target->disturbedSince, boot_clock::now());
    });
}

void soak_run::endGateway()
{
    gateway *target = pickRunning();
    if (target == nullptr) {
        return;
    }
    m_judge.noteFault("end " + target->name);
    target->process.signal(SIGTERM);
    target->state = process_state::ending;
    target->disturbedSince = boot_clock::now();
    later(graceTime + 100ms, [this, target] {
        const auto ended = target->process.wait(0ms);
        if (!ended) {
            m_judge.fail("ends within its grace", target->name);
            target->process.kill();
        } else if (ended.value() != 0) {
            m_judge.fail("ends with status 0", target->name + " ended with " + std::to_string(ended.value()));
        }
        const auto started = startGateway(*target);
        if (!started) {
            m_judge.fail("start", started.error().message);
        }
        m_judge.noteDisturbed(static_cast<std::size_t>(target - m_gateways.data()), target->disturbedSince, boot_clock::now());
    });
}

void soak_run::failStore()
{
    const auto mood = m_random.below(2) == 0 ? standin_store::mood::refusing : standin_store::mood::silent;
    m_store.setMood(mood);
    m_judge.noteFault("store, mood " + std::to_string(static_cast<int>(mood)));
    later(randomTime(100, 2500), [this] { m_store.setMood(standin_store::mood::serving); });
}

void soak_run::forgetHistory()
{
    m_judge.noteFault("history of the endpoints is gone");
    m_store.forgetHistory("keyed.servers");
}

void soak_run::flapEndpoint()
{
    const std::size_t index = m_random.below(m_endpoints.size());
    if (!std::exchange(m_endpoints[index].isListed, false)) {
        return;
    }
    m_judge.noteFault("entry of " + m_endpoints[index].id + " is dropped");
    m_store.drop("keyed.servers", m_endpoints[index].id);
    later(randomTime(100, 1500), [this, index] {
        m_endpoints[index].isListed = true;
        publishEndpoint(m_endpoints[index]);
    });
}

void soak_run::later(milliseconds time, std::function<void()> act)
{
    m_planned.push_back({deadline::after(boot_clock::now(), time), std::move(act)});
}

soak_run::gateway *soak_run::pickRunning()
{
    gateway &target = m_gateways[m_random.below(m_gateways.size())];
    return target.state == process_state::running ? &target : nullptr;
}

milliseconds soak_run::randomTime(std::int64_t least, std::int64_t most)
{
    return milliseconds(least + static_cast<std::int64_t>(m_random.below(static_cast<std::uint64_t>(most - least + 1))));
}

void soak_run::watchProcesses()
{
    for (gateway &one : m_gateways) {
        if (one.state == process_state::running && one.process.hasEnded()) {
            m_judge.fail("no process ends by itself", one.name);
            one.state = process_state::ending;
        }
    }
}

void soak_run::checkWithdrawnKey()
{
    m_store.put("keyed.op", "config", configuration(2, false));
    runLoopFor(configurationTime);
    std::size_t ended = 0;
    for (std::size_t i = 0; i < m_gateways.size(); ++i) {
        sendTo(i, soak_kind::idempotent, "k2", [&, i](const soak_request &request) {
            ++ended;
            if (request.status != statusUnauthorized) {
                m_judge.fail("withdrawn keys stop working", m_gateways[i].name + " answered " + std::to_string(request.status));
            }
        });
    }
    while (ended < m_gateways.size()) {
        runLoopFor(20ms);
    }
}

void soak_run::checkMetrics()
{
    http_client scraper(m_loop, m_gateways.front().metrics);
    http_request request;
    request.method = "GET";
    request.target = "/metrics";
    http_call_handlers handlers;
    handlers.onDone = [this](http_call_result result) {
        const std::string text = result ? result.value().body : std::string();
        if (text.find("\nburdockshelf_requests_total{") == std::string::npos) {
            m_judge.fail("metrics have the names of the operations page", text.substr(0, 200));
        }
        m_loop.stop();
    };
    scraper.send(request, std::move(handlers), deadline::after(boot_clock::now(), callerLimit));
    m_loop.run();
}

} // namespace burdockshelf
