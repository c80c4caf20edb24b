#include "standins/users_platform/standin_backend.h"

#include "standins/users_platform/endpoint_entry_text.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace burdockshelf
{

namespace
{

constexpr int eventCount = 3;

http_response jsonResponse(const nlohmann::json &body)
{
    http_response response;
    response.headers.add("Content-Type", "application/json");
    response.body = body.dump();
    return response;
}

void addLeaving(http_headers &headers, bool isLeaving)
{
    if (isLeaving) {
        headers.add("Server-Leaving", "1");
    }
}

} // namespace

standin_backend::standin_backend(event_loop &loop, std::string id)
    : m_id(std::move(id))
    , m_server(loop, {}, [this](const std::shared_ptr<http_exchange> &exchange) { handleRequest(exchange); })
    , m_address(m_server.listen({"127.0.0.1", 0}).value())
{
}

const socket_address &standin_backend::address() const
{
    return m_address;
}

std::string standin_backend::entry(const std::string &service, const std::string &zone, const std::string &stage) const
{
    return endpointEntryText(m_address, m_startTime, service, zone, stage);
}

void standin_backend::setLeaving()
{
    m_isLeaving = true;
}

void standin_backend::setPause(std::optional<std::string> retryAfter)
{
    m_pause = std::move(retryAfter);
}

const std::optional<std::string> &standin_backend::pause() const
{
    return m_pause;
}

void standin_backend::setCallObserver(call_observer observer)
{
    m_callObserver = std::move(observer);
}

void standin_backend::restart()
{
    ++m_startTime;
    m_isLeaving = false;
    m_pause.reset();
}

void standin_backend::setRequestHandler(request_handler handler)
{
    m_requestHandler = std::move(handler);
}

const std::vector<http_request> &standin_backend::runs() const
{
    return m_runs;
}

const std::vector<http_request> &standin_backend::calls() const
{
    return m_calls;
}

http_response standin_backend::success(const http_request &request) const
{
    http_response response;
    response.headers.add("X-Attempt-Id", std::string(request.headers.value("X-Attempt-Id")));
    response.headers.add("X-Server-Seal", "seal-of-" + m_id);
    addLeaving(response.headers, m_isLeaving);
    return response;
}

void standin_backend::handleRequest(const std::shared_ptr<http_exchange> &exchange)
{
    const http_request &request = exchange->request();
    m_calls.push_back(request);
    if (m_callObserver) {
        m_callObserver(request);
    }
    if (m_pause) {
        http_response response;
        response.status = 503;
        response.headers = {{"X-Not-Executed", "1"}, {"Retry-After", *m_pause}};
        response.headers.add("X-Attempt-Id", std::string(request.headers.value("X-Attempt-Id")));
        respond(*exchange, std::move(response));
        return;
    }
    if (request.path() == "/hold-take") {
        respond(*exchange, jsonResponse({{"hold", "room-1"}}));
        return;
    }
    if (request.method == "DELETE") {
        respond(*exchange, {});
        return;
    }
    if (request.headers.value("X-Stage") == "prefill") {
        http_response response = jsonResponse({{"kv_handle", "handle-1"}, {"tokens", 10}, {"version", 1}});
        response.headers.add("X-Attempt-Id", std::string(request.headers.value("X-Attempt-Id")));
        respond(*exchange, std::move(response));
        return;
    }
    m_runs.push_back(request);
    if (m_requestHandler) {
        m_requestHandler(exchange);
        return;
    }
    if (request.headers.has("X-Token-Counts")) {
        respondWithStream(*exchange);
        return;
    }
    http_response response = success(request);
    response.body = "body of " + m_id;
    exchange->respond(response);
}

void standin_backend::respond(http_exchange &exchange, http_response response) const
{
    addLeaving(response.headers, m_isLeaving);
    exchange.respond(response);
}

void standin_backend::respondWithStream(http_exchange &exchange)
{
    http_headers headers = success(exchange.request()).headers;
    headers.add("Content-Type", "text/event-stream");
    exchange.startStream(200, headers);
    for (int id = 1; id <= eventCount; ++id) {
        exchange.sendData("id: " + std::to_string(id) + "\ndata: piece\n\n");
    }
    exchange.endStream();
}

} // namespace burdockshelf
