#include "http/http_exchange.h"

#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace burdockshelf
{

namespace
{

std::string_view methodName(evhttp_cmd_type type)
{
    switch (type) {
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    case EVHTTP_REQ_OPTIONS:
        return "OPTIONS";
    default:
        return "GET";
    }
}

http_request readRequest(evhttp_request *handle)
{
    http_request request;
    request.method = std::string(methodName(evhttp_request_get_command(handle)));
    request.target = evhttp_request_get_uri(handle);
    const evkeyvalq *fields = evhttp_request_get_input_headers(handle);
    for (const evkeyval *field = fields->tqh_first; field != nullptr; field = field->next.tqe_next) {
        request.headers.add(field->key, field->value);
    }
    evbuffer *body = evhttp_request_get_input_buffer(handle);
    request.body.resize(evbuffer_get_length(body));
    evbuffer_remove(body, request.body.data(), request.body.size());
    return request;
}

void addHeaders(evhttp_request *handle, const http_headers &headers)
{
    evkeyvalq *fields = evhttp_request_get_output_headers(handle);
    for (const http_header &field : headers.fields()) {
        evhttp_add_header(fields, field.name.c_str(), field.value.c_str());
    }
}

} // namespace

std::shared_ptr<http_exchange> http_exchange::adopt(evhttp_request *handle)
{
    std::shared_ptr<http_exchange> exchange(new http_exchange(handle));
    exchange->m_self = exchange;
    evhttp_connection_set_closecb(exchange->m_connection, &http_exchange::onClose, exchange.get());
    evhttp_request_set_on_complete_cb(handle, &http_exchange::onComplete, exchange.get());
    // evhttp stops reading while a request is handled. Without this it would not detect a disconnect before the first byte of the response.
    bufferevent_enable(evhttp_connection_get_bufferevent(exchange->m_connection), EV_READ);
    return exchange;
}

http_exchange::http_exchange(evhttp_request *handle)
    : m_handle(handle)
    , m_connection(evhttp_request_get_connection(handle))
    , m_request(readRequest(handle))
{
}

http_exchange::~http_exchange() = default;

const http_request &http_exchange::request() const
{
    return m_request;
}

void http_exchange::respond(const http_response &response)
{
    if (m_handle == nullptr) {
        return;
    }
    addHeaders(m_handle, response.headers);
    evbuffer *body = evbuffer_new();
    evbuffer_add(body, response.body.data(), response.body.size());
    evhttp_request *handle = std::exchange(m_handle, nullptr);
    evhttp_send_reply(handle, response.status, nullptr, body);
    evbuffer_free(body);
}

void http_exchange::startStream(int status, const http_headers &headers)
{
    if (m_handle == nullptr) {
        return;
    }
    addHeaders(m_handle, headers);
    evhttp_send_reply_start(m_handle, status, nullptr);
}

void http_exchange::sendData(std::string_view bytes)
{
    if (m_handle == nullptr || bytes.empty()) {
        return;
    }
    evbuffer *chunk = evbuffer_new();
    evbuffer_add(chunk, bytes.data(), bytes.size());
    evhttp_send_reply_chunk(m_handle, chunk);
    evbuffer_free(chunk);
}

void http_exchange::endStream()
{
    if (m_handle == nullptr) {
        return;
    }
    evhttp_send_reply_end(std::exchange(m_handle, nullptr));
}

void http_exchange::abort()
{
    if (m_isClosed) {
        return;
    }
    m_onClosed = nullptr;
    evhttp_connection_free(m_connection);
}

void http_exchange::setOnClosed(std::function<void()> handler)
{
    m_onClosed = std::move(handler);
}

bool http_exchange::isClosed() const
{
    return m_isClosed;
}

std::size_t http_exchange::pendingBytes() const
{
    if (m_isClosed) {
        return 0;
    }
    return evbuffer_get_length(bufferevent_get_output(evhttp_connection_get_bufferevent(m_connection)));
}

void http_exchange::onClose(evhttp_connection * /*connection*/, void *self)
{
    auto *exchange = static_cast<http_exchange *>(self);
    const auto notify = std::exchange(exchange->m_onClosed, nullptr);
    const std::shared_ptr<http_exchange> alive = exchange->m_self;
    // If the client disconnects while its request is handled, evhttp detaches the request and does not free it.
    if (exchange->m_handle != nullptr && evhttp_request_get_connection(exchange->m_handle) == nullptr) {
        evhttp_request_free(exchange->m_handle);
    }
    exchange->release();
    if (notify) {
        notify();
    }
}

void http_exchange::onComplete(evhttp_request * /*handle*/, void *self)
{
    auto *exchange = static_cast<http_exchange *>(self);
    evhttp_connection_set_closecb(exchange->m_connection, nullptr, nullptr);
    const std::shared_ptr<http_exchange> alive = exchange->m_self;
    exchange->release();
}

void http_exchange::release()
{
    m_isClosed = true;
    m_handle = nullptr;
    m_onClosed = nullptr;
    m_self.reset();
}

} // namespace burdockshelf
