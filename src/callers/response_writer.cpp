#include "callers/response_writer.h"

#include "wire/completion_codec.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <strings.h>
#include <utility>

namespace burdockshelf
{

namespace
{

// About 4,000 events, far more than a caller that still reads its response leaves unread.
constexpr std::size_t maxPendingBytes = 1024 * 1024;

// Header fields that describe the connection to the endpoint; they are not passed on to the caller.
constexpr std::array<std::string_view, 7> connectionHeaders = {
    "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Upgrade", "Trailer", "TE"};

bool isConnectionHeader(std::string_view name)
{
    return std::any_of(connectionHeaders.begin(), connectionHeaders.end(), [name](std::string_view other) {
        return name.size() == other.size() && strncasecmp(name.data(), other.data(), name.size()) == 0;
    });
}

} // namespace

response_writer::response_writer(std::shared_ptr<http_exchange> exchange, request_id request, std::optional<model_request> model)
    : m_exchange(std::move(exchange))
    , m_request(std::move(request))
    , m_model(std::move(model))
{
}

bool response_writer::write(const caller_response &part)
{
    return std::visit([this](const auto &typed) { return writePart(typed); }, part);
}

bool response_writer::isCongested() const
{
    return m_exchange->pendingBytes() > maxPendingBytes;
}

const std::shared_ptr<http_exchange> &response_writer::exchange() const
{
    return m_exchange;
}

void response_writer::closeAfterResponse()
{
    m_closesAfterResponse = true;
}

bool response_writer::writePart(const model_started &part)
{
    m_servedBy = part.prefill.value() + ", " + part.decode.value();
    if (m_model && m_model->isStream && !m_isStreaming) {
        m_isStreaming = true;
        http_headers headers = {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-store"}};
        headers.add("X-Request-Id", m_request.value());
        headers.add("X-Served-By", m_servedBy);
        if (m_closesAfterResponse) {
            headers.add("Connection", "close");
        }
        m_exchange->startStream(200, headers);
    }
    return false;
}

bool response_writer::writePart(const model_event &part)
{
    if (m_isStreaming) {
        m_exchange->sendData(encodeStreamEvent(part.data));
    } else {
        m_text += part.text;
    }
    return false;
}

bool response_writer::writePart(const model_finished &part)
{
    if (m_isStreaming) {
        m_exchange->sendData(streamEndEvent());
        m_exchange->endStream();
        return true;
    }
    http_response response;
    response.headers.add("Content-Type", "application/json");
    response.headers.add("X-Served-By", m_servedBy);
    response.body = encodeCompletion(*m_model, m_request, m_text, part.usage, part.finishReason);
    respond(std::move(response));
    return true;
}

bool response_writer::writePart(const plain_response &part)
{
    http_response response;
    response.status = part.response.status;
    for (const http_header &field : part.response.headers.fields()) {
        if (!isConnectionHeader(field.name)) {
            response.headers.add(field.name, field.value);
        }
    }
    response.headers.add("X-Served-By", part.endpoint.value());
    response.body = part.response.body;
    respond(std::move(response));
    return true;
}

bool response_writer::writePart(const refusal &part)
{
    if (m_isStreaming) {
        m_exchange->abort();
        return true;
    }
    http_response response;
    response.status = part.status;
    response.headers.add("Content-Type", "application/json");
    if (part.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*part.retryAfter);
        response.headers.add("Retry-After", std::to_string(std::max<std::int64_t>(seconds.count(), 1)));
    }
    response.body = encodeErrorResponse({part.cause, part.isNotExecuted, part.isEarlierOutcomeUnknown});
    respond(std::move(response));
    return true;
}

void response_writer::respond(http_response response)
{
    response.headers.add("X-Request-Id", m_request.value());
    if (m_closesAfterResponse) {
        response.headers.add("Connection", "close");
    }
    m_exchange->respond(response);
}

} // namespace burdockshelf
