#include "soak_run.h"

#include <algorithm>
#include <array>
#include <utility>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;
using namespace std::chrono_literals;

constexpr milliseconds tickPause {2};
constexpr milliseconds requestPause {6};
constexpr milliseconds movedRequestPause {15};
// The operator changes the configuration after a time between these, in milliseconds.
constexpr std::int64_t leastChangePause = 1000;
constexpr std::uint64_t changePauseSpread = 2001;
constexpr std::uint64_t versionStepSpread = 9;
// Requests use this many of the newest keys.
constexpr std::size_t usedKeys = 4;
// What callers tell the gateway, and how long they really wait for it.
constexpr milliseconds callerTime {3000};
constexpr milliseconds callerLimit {5000};
// After the end of the last fault, until everything has to work again.
constexpr milliseconds recoveryTime {5000};
// Longest time that an endpoint works on a plain request, in milliseconds.
constexpr std::uint64_t mostWork = 40;
constexpr milliseconds startLimit {10000};
constexpr int statusUnauthorized = 401;

} // namespace

soak_run::soak_run(const soak_plan &plan)
    : m_plan(plan)
    , m_random(plan.seed)
    , m_site(m_loop,
             m_plan,
             [this](const standin_backend &backend, const std::shared_ptr<http_exchange> &exchange) { answerPlain(backend, exchange); })
    , m_faults(m_loop, m_site, m_judge, m_notices, m_configurations, m_random)
    , m_tick(m_loop, [this] { tick(); })
    , m_stop(m_loop, [this] { m_loop.stop(); })
{
}

soak_run::~soak_run() = default;

void soak_run::noteCall(const soak_endpoint &endpoint, const http_request &call)
{
    // Reservations and releases name no request, so it is not known which gateway has sent them.
    const auto found = m_requests.find(std::string(call.headers.value("X-Attempt-Id")));
    if (found == m_requests.end()) {
        return;
    }
    const instant now = boot_clock::now();
    const soak_request &request = found->second;
    m_notices.noteCall(endpoint.id, request.gateway, request.id, request.sentAt, now);
    const std::optional<std::string> &pause = endpoint.backend->pause();
    m_configurations.noteCall(endpoint, request, !pause, now);
    if (pause && !endpoint.link->hasFault() && pause->find_first_not_of("0123456789.") == std::string::npos) {
        const std::chrono::duration<double> time(std::stod(*pause));
        m_notices.notePause(endpoint.id, request.gateway, deadline::after(now, std::chrono::duration_cast<milliseconds>(time)), now);
    }
}

void soak_run::noteAnswer(const soak_request &ended)
{
    static constexpr std::string_view sealPrefix = "seal-of-";
    const std::string_view seal = ended.response.headers.value("X-Server-Seal");
    if (ended.response.headers.has("Server-Leaving") && seal.starts_with(sealPrefix)) {
        m_notices.noteLeavingAnswer(std::string(seal.substr(sealPrefix.size())), ended.gateway, ended.id, ended.endedAt);
    }
}

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

std::size_t soak_run::judgedCount() const
{
    return m_configurations.judgedCount();
}

outcome<void> soak_run::run()
{
    BOOST_OUTCOME_TRYV(m_site.start(m_plan.gateways));
    for (const soak_endpoint &one : m_site.endpoints()) {
        one.backend->setCallObserver([this, &one](const http_request &call) { noteCall(one, call); });
    }
    m_tick.start(deadline());
    BOOST_OUTCOME_TRYV(waitUntilServing());
    m_configurations.noteConfiguration(m_site.configuration(), boot_clock::now());
    m_movedKeys = m_site.configuration().movedKeys;
    m_isSending = true;
    m_faults.begin(m_plan.faultSpacing);
    runLoopFor(m_plan.faultTime);
    m_faults.end();
    runLoopFor(recoveryTime);
    BOOST_OUTCOME_TRYV(waitUntilServing());
    m_isSending = false;
    checkWithdrawnKey();
    checkMetrics();
    runLoopFor(callerLimit);
    for (const soak_endpoint &one : m_site.endpoints()) {
        for (const http_request &ran : one.backend->runs()) {
            m_judge.noteRun(std::string(ran.headers.value("X-Attempt-Id")));
        }
    }
    m_judge.judge(m_requests);
    for (const std::string &finding : m_notices.takeFindings()) {
        m_judge.fail("endpoints that leave or pause get no requests", finding);
    }
    for (const std::string &finding : m_configurations.judge(m_requests)) {
        m_judge.fail("what the store has acknowledged is in force", finding);
    }
    return success();
}

outcome<void> soak_run::waitUntilServing()
{
    const deadline until = deadline::after(boot_clock::now(), startLimit);
    for (std::size_t i = 0; i < m_site.gateways().size(); ++i) {
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
                m_judge.fail("recovery", m_site.gateways()[i].name + " does not serve");
                break;
            }
        }
    }
    return success();
}

void soak_run::sendRequest()
{
    const std::size_t index = m_random.below(m_site.gateways().size());
    const auto kind = static_cast<soak_kind>(m_random.below(3));
    if (m_site.gateways()[index].state != gateway_state::ending) {
        sendTo(index, kind, "k1", {});
    }
}

void soak_run::sendMovedRequest()
{
    const std::size_t index = m_random.below(m_site.gateways().size());
    const std::size_t age = m_random.below(std::min(usedKeys, m_movedKeys.size()));
    if (m_site.gateways()[index].state != gateway_state::ending) {
        sendTo(index, soak_kind::moved, m_movedKeys.at(m_movedKeys.size() - 1 - age), {});
    }
}

void soak_run::changeConfiguration()
{
    soak_configuration next = m_site.configuration();
    next.version += 1 + static_cast<std::int64_t>(m_random.below(versionStepSpread));
    const std::uint64_t change = m_random.below(3);
    if (change != 0) {
        next.movedService = next.movedService == "plain" ? "plain2" : "plain";
    }
    if (change != 1) {
        m_movedKeys.push_back("moved-" + std::to_string(next.version));
        // The key before stays beside the new one at times.
        next.movedKeys =
            m_random.below(2) == 0 ? std::vector {m_movedKeys.back()} : std::vector {next.movedKeys.back(), m_movedKeys.back()};
    }
    m_site.publishConfiguration(next);
    m_configurations.noteConfiguration(next, boot_clock::now());
}

void soak_run::sendTo(std::size_t index, soak_kind kind, const std::string &key, std::function<void(const soak_request &)> onEnd)
{
    static constexpr std::array<const char *, 4> paths = {"/safe/x", "/unsafe/x", "/text/x", "/moved/x"};
    const bool isGet = kind == soak_kind::idempotent || kind == soak_kind::moved;
    soak_request fresh;
    fresh.id = "q" + std::to_string(++m_lastRequest);
    fresh.kind = kind;
    fresh.gateway = index;
    fresh.key = key;
    fresh.sentAt = boot_clock::now();
    http_request request;
    request.method = isGet ? "GET" : "POST";
    request.target = paths.at(static_cast<std::size_t>(kind));
    request.headers = {
        {"X-Attempt-Id", fresh.id}, {"X-Deadline-Ms", std::to_string(callerTime.count())}, {"Authorization", "Bearer " + key}};
    if (kind == soak_kind::streaming) {
        request.headers.add("X-Token-Counts", "1000,50");
    }
    request.body = isGet ? "" : "content";
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
        noteAnswer(ended);
        if (onEnd) {
            onEnd(ended);
        }
    };
    m_requests[fresh.id] = fresh;
    m_site.gateways()[index].client->send(request, std::move(handlers), deadline::after(fresh.sentAt, callerLimit));
}

void soak_run::answerPlain(const standin_backend &backend, const std::shared_ptr<http_exchange> &exchange)
{
    http_response response = backend.success(exchange->request());
    response.body = "body of " + std::string(exchange->request().headers.value("X-Attempt-Id"));
    m_answers.push_back({deadline::after(boot_clock::now(), milliseconds(1 + static_cast<std::int64_t>(m_random.below(mostWork)))),
                         exchange,
                         std::move(response)});
}

void soak_run::tick()
{
    const instant now = boot_clock::now();
    m_tick.start(deadline::after(now, tickPause));
    m_faults.advance(now);
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
    if (m_isSending && m_nextMovedRequest.hasPassed(now)) {
        m_nextMovedRequest = deadline::after(now, movedRequestPause);
        sendMovedRequest();
    }
    if (m_isSending && m_nextChange.hasPassed(now)) {
        m_nextChange = deadline::after(now, milliseconds(leastChangePause + static_cast<std::int64_t>(m_random.below(changePauseSpread))));
        changeConfiguration();
    }
    watchProcesses();
}

void soak_run::runLoopFor(milliseconds time)
{
    m_stop.start(deadline::after(boot_clock::now(), time));
    m_loop.run();
}

void soak_run::watchProcesses()
{
    for (soak_gateway &one : m_site.gateways()) {
        if (one.state == gateway_state::running && one.process.hasEnded()) {
            m_judge.fail("no process ends by itself", one.name);
            one.state = gateway_state::ending;
        }
    }
}

void soak_run::checkWithdrawnKey()
{
    m_site.withdrawSecondKey();
    runLoopFor(soak_site::configurationTime);
    std::size_t ended = 0;
    for (std::size_t i = 0; i < m_site.gateways().size(); ++i) {
        sendTo(i, soak_kind::idempotent, "k2", [&, i](const soak_request &request) {
            ++ended;
            if (request.status != statusUnauthorized) {
                m_judge.fail("withdrawn keys stop working", m_site.gateways()[i].name + " answered " + std::to_string(request.status));
            }
        });
    }
    while (ended < m_site.gateways().size()) {
        runLoopFor(20ms);
    }
}

void soak_run::checkMetrics()
{
    http_client scraper(m_loop, m_site.gateways().front().metrics);
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
