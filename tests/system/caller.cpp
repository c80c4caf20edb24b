#include "caller.h"

#include "site/site.h"

#include <nlohmann/json.hpp>

namespace burdockshelf
{

namespace
{

constexpr auto callLimit = std::chrono::seconds(60);

} // namespace

caller::caller(event_loop &loop, const socket_address &server, std::string key)
    : m_client(loop, server)
    , m_key(std::move(key))
{
}

void caller::startStream(const std::string &prompt, int maxTokens)
{
    start("/v1/completions", {}, completionBody(prompt, maxTokens, true), true);
}

void caller::startCompletion(const std::string &prompt, int maxTokens)
{
    start("/v1/completions", {}, completionBody(prompt, maxTokens, false), false);
}

void caller::startCall(const std::string &path, const std::string &idempotencyKey, const std::string &body)
{
    start(path, idempotencyKey, body, false);
}

void caller::leave()
{
    m_client.cancel(m_call);
    m_isDone = true;
}

bool caller::isDone() const
{
    return m_isDone;
}

bool caller::isWhole() const
{
    return m_hasEnded && m_status == 200 && (!m_isStream || m_hasEndMark);
}

int caller::status() const
{
    return m_status;
}

int caller::events() const
{
    return m_events;
}

const std::string &caller::text() const
{
    return m_text;
}

const std::string &caller::body() const
{
    return m_body;
}

std::string caller::description() const
{
    return m_client.server().toString() + " status " + std::to_string(m_status) + ", " + std::to_string(m_events) + " events"
        + (m_isDone ? "" : ", running") + (m_hasEndMark ? ", end mark" : "") + " " + m_body + m_failure;
}

instant caller::sentAt() const
{
    return m_sentAt;
}

instant caller::doneAt() const
{
    return m_doneAt;
}

void caller::start(const std::string &path, const std::string &idempotencyKey, const std::string &body, bool isStream)
{
    m_isStream = isStream;
    m_isDone = m_hasEnded = m_hasEndMark = false;
    m_status = m_events = 0;
    m_text.clear();
    m_body.clear();
    m_failure.clear();
    m_parser.emplace(byte_count(1024 * 1024));
    m_sentAt = boot_clock::now();
    http_request request = {"POST", path, {{"Content-Type", "application/json"}, {"Authorization", "Bearer " + m_key}}, body};
    if (!idempotencyKey.empty()) {
        request.headers.add("Idempotency-Key", idempotencyKey);
    }
    http_call_handlers handlers;
    handlers.onHeaders = [this](const http_response &response) {
        m_status = response.status;
    };
    handlers.onData = [this](std::string_view bytes) {
        takeData(bytes);
    };
    handlers.onDone = [this](const http_call_result &result) {
        m_isDone = true;
        m_hasEnded = result.has_value();
        m_doneAt = boot_clock::now();
        m_failure = result ? std::string() : result.error().cause.message;
    };
    m_call = m_client.send(request, std::move(handlers), deadline::after(m_sentAt, callLimit));
}

void caller::takeData(std::string_view bytes)
{
    if (!m_isStream || m_status != 200) {
        m_body += bytes;
        return;
    }
    const auto events = m_parser->feed(bytes);
    if (!events) {
        m_failure = events.error().message;
        return;
    }
    for (const sse_event &event : events.value()) {
        takeEvent(event.data);
    }
}

void caller::takeEvent(const std::string &data)
{
    if (data == "[DONE]") {
        m_hasEndMark = true;
        return;
    }
    ++m_events;
    const auto document = nlohmann::json::parse(data, nullptr, false);
    if (document.is_object() && !document.value("choices", nlohmann::json::array()).empty()) {
        m_text += document["choices"][0].value("text", "");
    }
}

} // namespace burdockshelf
