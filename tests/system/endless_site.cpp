#include "endless_site.h"

#include "process_watch.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <utility>

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

namespace burdockshelf
{

namespace
{

using namespace std::chrono_literals;

// A sound response to any of the calls has less than a tenth of this.
constexpr std::size_t maxFaultBytes = 4 * 1024 * 1024;
constexpr auto waitLimit = 20s;
constexpr auto pollInterval = 20ms;
constexpr int statusOk = 200;
// Several entries with one address, so that the gateway has endpoints left to send to after each fault.
constexpr int plainEntries = 80;
constexpr int decodeEntries = 12;
// Stands, at its beginning, for the head of a sound response to the request.
constexpr std::string_view headMark = "HEAD";
// Stands for the id of the request.
constexpr std::string_view idMark = "{id}";

std::string configuration()
{
    return R"({"version":3,"routes":[
 {"name":"safe","host":"127.0.0.1","path_prefix":"/safe/","kind":"safe","timeout_ms":5000,"service":"plain","max_attempts":2},
 {"name":"unsafe","host":"127.0.0.1","path_prefix":"/unsafe/","kind":"unsafe","timeout_ms":5000,"service":"plain","max_attempts":1},
 {"name":"events","host":"127.0.0.1","path_prefix":"/events/","kind":"streaming","timeout_ms":5000,"service":"plain","max_attempts":1},
 {"name":"text","host":"127.0.0.1","path_prefix":"/text/","kind":"streaming","timeout_ms":5000,"service":"engine","max_attempts":1}],
 "services":[{"name":"plain","max_conns":800},
  {"name":"engine","max_conns":800,"engine":{"slots":512,"kv_capacity":4000000,"switch_s":1.0}}],
 "tenants":[{"name":"w","api_keys":["k1"],"unit":"tokens","plain_tokens":200,"rate_per_s":4700000,"burst":4700000}]})";
}

std::string withLength(const std::string &body)
{
    return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A head of a response to the request, without the blank line at its end.
std::string headFor(const http_request &request)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + std::string(request.headers.value("X-Attempt-Id")) + "\r\nX-Server-Seal: seal\r\n";
}

} // namespace

endless_site::endless_site(std::int64_t prefillPercent)
    : m_store(m_loop)
    , m_storeFront(m_loop)
    , m_plain(m_loop)
    , m_prefill(m_loop)
    , m_decode(m_loop)
    , m_storeClient(m_loop, m_store.address())
    , m_pauseEnd(m_loop, [this] { m_loop.stop(); })
    , m_callers(m_ports.next())
    , m_peers(m_ports.next())
    , m_settingsFile(m_scratch.path("settings.json"))
{
    // The gateway closes connections on which a fault is still being sent.
    std::signal(SIGPIPE, SIG_IGN);
    m_store.put("keyed.op", "config", configuration());
    for (int i = 0; i < plainEntries; ++i) {
        publish(m_plain, "p" + std::to_string(i), "plain", "");
    }
    publish(m_prefill, "r", "engine", "prefill");
    for (int i = 0; i < decodeEntries; ++i) {
        publish(m_decode, "d" + std::to_string(i), "engine", "decode");
    }
    for (scripted_endpoint *endpoint : {&m_plain, &m_prefill, &m_decode}) {
        endpoint->setRequestHandler([this](scripted_connection &from, const http_request &request) { respond(from, request); });
    }
    m_storeFront.setRequestHandler([this](scripted_connection &from, const http_request &request) { passOnToStore(from, request); });
    std::ofstream(m_settingsFile) << nlohmann::json {
        {"instance", "gateway"},
        {"dataCentre", "z"},
        {"callerAddress", m_callers.toString()},
        {"readinessAddress", m_ports.next().toString()},
        {"metricsAddress", m_ports.next().toString()},
        {"storeAddress", m_storeFront.address().toString()},
        {"peerAddress", m_peers.toString()},
        {"configurationWithinMs", 2000},
        {"silenceWithinMs", 3000},
        {"drainWithinMs", 2000},
        {"quotaParts", 4},
        {"memoryMb", machineMemoryMb},
        {"repeatSlack", 1000},
        {"dutyTurnMs", 100},
        {"prefillPercent", prefillPercent},
    };
}

bool endless_site::start()
{
    auto started = child_process::start(
        "burdockshelfd", {"--platform", "--settings", m_settingsFile}, m_scratch.path("errors"), m_scratch.path("log"));
    if (!started) {
        return false;
    }
    m_gateway = std::move(started).value();
    return isAnswered();
}

void endless_site::publish(const scripted_endpoint &endpoint, const std::string &id, const std::string &service, const std::string &stage)
{
    nlohmann::json entry = nlohmann::json::parse(endpoint.entry(service, "z", stage));
    entry["slots"] = 512;
    m_store.put("keyed.servers", id, entry.dump());
}

void endless_site::setFaults(fault_choice endpoints, fault_choice storeCalls)
{
    m_endpointFaults = std::move(endpoints);
    m_storeFaults = std::move(storeCalls);
}

void endless_site::setUploadHandler(std::size_t afterBytes, const scripted_endpoint::request_handler &handler)
{
    for (scripted_endpoint *endpoint : {&m_plain, &m_prefill, &m_decode}) {
        endpoint->setUploadHandler(afterBytes, [this, handler](scripted_connection &from, const http_request &request) {
            if (isPrefill(request)) {
                respond(from, request);
                return;
            }
            m_runs.emplace_back(request.headers.value("X-Attempt-Id"));
            handler(from, request);
        });
    }
}

void endless_site::respond(scripted_connection &from, const http_request &request)
{
    if (request.headers.has("X-Attempt-Id") && !request.headers.has("X-Stage")) {
        m_runs.emplace_back(request.headers.value("X-Attempt-Id"));
    }
    if (const faulty_response *fault = m_endpointFaults ? m_endpointFaults(request) : nullptr) {
        sendFault(from, request, *fault);
    } else if (request.path() == "/hold-take") {
        from.write(headFor(request) + withLength(R"({"hold":"room"})"));
    } else if (request.headers.value("X-Stage") == "prefill") {
        from.write(headFor(request) + withLength(R"({"kv_handle":"handle","tokens":10,"version":1})"));
    } else if (request.path() == "/report") {
        from.write(headFor(request) + withLength(R"({"stage":"decode","models":[],"busy":false,"sequence":0})"));
    } else if (request.path() == "/order") {
        from.write("HTTP/1.1 202 Accepted\r\n" + withLength("{}"));
    } else {
        from.write(headFor(request) + withLength("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
    }
}

void endless_site::sendFault(scripted_connection &from, const http_request &request, const faulty_response &fault)
{
    ++m_sentFaults[fault.name];
    std::string start = fault.start;
    if (start.starts_with(headMark)) {
        start.replace(0, headMark.size(), headFor(request));
    } else if (const auto at = start.find(idMark); at != std::string::npos) {
        start.replace(at, idMark.size(), request.headers.value("X-Attempt-Id"));
    }
    from.write(start);
    if (!fault.piece.empty()) {
        m_endlessConnections.push_back(&from);
        from.writeEndlessly(fault.piece, maxFaultBytes);
    }
}

void endless_site::passOnToStore(scripted_connection &from, const http_request &request)
{
    if (const faulty_response *fault = m_storeFaults ? m_storeFaults(request) : nullptr) {
        sendFault(from, request, *fault);
        return;
    }
    http_request call = request;
    call.headers.remove("Host");
    call.headers.remove("Content-Length");
    http_call_handlers handlers;
    handlers.onDone = [&from](const http_call_result &result) {
        if (result) {
            from.write("HTTP/1.1 " + std::to_string(result.value().status) + " Answer\r\n" + withLength(result.value().body));
        }
    };
    m_storeClient.send(call, std::move(handlers), deadline::after(boot_clock::now(), waitLimit));
}

raw_caller &endless_site::send(const std::string &method, const std::string &target, const std::string &idStart)
{
    return send(method, target, idStart, 1);
}

raw_caller &endless_site::send(const std::string &method, const std::string &target, const std::string &idStart, std::size_t bodyBytes)
{
    return sendFramed(method, target, idStart, "Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'x'));
}

raw_caller &endless_site::sendInChunks(const std::string &method, const std::string &target, const std::string &idStart, std::size_t chunks)
{
    const std::string chunk = "4000\r\n" + std::string(chunkBytes, 'x') + "\r\n";
    std::string framed = "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t i = 0; i < chunks; ++i) {
        framed += chunk;
    }
    return sendFramed(method, target, idStart, framed + "0\r\n\r\n");
}

raw_caller &
endless_site::sendFramed(const std::string &method, const std::string &target, const std::string &idStart, const std::string &framedBody)
{
    raw_caller &caller = m_requests.emplace_back(m_loop, m_callers);
    caller.send(method + " " + target + " HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt-Id: " + idStart + std::to_string(++m_lastRequest)
                + "\r\nX-Deadline-Ms: 4000\r\nAuthorization: Bearer k1\r\n"
                + (target.starts_with("/text/") ? "X-Token-Counts: 100,50\r\n" : "") + framedBody);
    return caller;
}

void endless_site::leave()
{
    m_requests.clear();
}

bool endless_site::waitFor(const std::function<bool()> &condition)
{
    const deadline until = deadline::after(boot_clock::now(), waitLimit);
    while (!condition()) {
        if (until.hasPassed(boot_clock::now())) {
            return false;
        }
        m_pauseEnd.start(deadline::after(boot_clock::now(), pollInterval));
        m_loop.run();
    }
    return true;
}

bool endless_site::areAllAnswered() const
{
    return std::all_of(m_requests.begin(), m_requests.end(), [](const raw_caller &each) { return each.isDone(); });
}

std::size_t endless_site::runCount(const std::string &idStart) const
{
    return static_cast<std::size_t>(
        std::count_if(m_runs.begin(), m_runs.end(), [&](const std::string &each) { return each.starts_with(idStart); }));
}

bool endless_site::hasRunWithIdStart(const std::string &idStart) const
{
    return runCount(idStart) > 0;
}

bool endless_site::areFaultyConnectionsClosed() const
{
    return std::all_of(
        m_endlessConnections.begin(), m_endlessConnections.end(), [](const scripted_connection *each) { return each->hasEnded(); });
}

const std::map<std::string, int> &endless_site::sentFaults() const
{
    return m_sentFaults;
}

bool endless_site::isAnswered()
{
    raw_caller *ordinary = nullptr;
    return waitFor([&] {
        if (ordinary != nullptr && ordinary->status() == statusOk && ordinary->isComplete()) {
            return true;
        }
        if (ordinary == nullptr || ordinary->isDone()) {
            ordinary = &send("GET", "/safe/ordinary", "ordinary");
        }
        return false;
    });
}

void endless_site::checkItStands()
{
    CHECK_TRUE(isAnswered());
    CHECK_FALSE(m_gateway.hasEnded());
    const std::int64_t peak = process_watch(m_gateway.pid()).peakResidentKb();
    CHECK_TEXT(peak > 0 && peak <= machineMemoryMb * 1024, ("resident memory: " + std::to_string(peak) + " KB").c_str());
}

event_loop &endless_site::loop()
{
    return m_loop;
}

standin_store &endless_site::store()
{
    return m_store;
}

const socket_address &endless_site::peerAddress() const
{
    return m_peers;
}

} // namespace burdockshelf
