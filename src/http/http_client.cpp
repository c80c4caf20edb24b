#include "http/http_client.h"

#include "http/response_syntax.h"

#include <algorithm>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glog/logging.h>

namespace burdockshelf
{

namespace
{

constexpr std::size_t maxIdleConnections = 64;
constexpr std::int64_t maxHeadBytes = 64 * 1024;
// Sound servers send one interim response before the final one.
constexpr int maxInterimResponses = 8;
constexpr int statusContinue = 100;
constexpr int firstFinalStatus = 200;
// Bytes of responses that all calls of a client may hold.
constexpr std::size_t maxHeldBytes = 32 * 1024 * 1024;

struct method_name
{
    std::string_view name;
    evhttp_cmd_type type;
};

constexpr method_name methods[] = {
    {"GET", EVHTTP_REQ_GET},
    {"POST", EVHTTP_REQ_POST},
    {"PUT", EVHTTP_REQ_PUT},
    {"DELETE", EVHTTP_REQ_DELETE},
    {"HEAD", EVHTTP_REQ_HEAD},
    {"PATCH", EVHTTP_REQ_PATCH},
    {"OPTIONS", EVHTTP_REQ_OPTIONS},
};

evhttp_cmd_type methodType(std::string_view name)
{
    for (const method_name &method : methods) {
        if (method.name == name) {
            return method.type;
        }
    }
    return EVHTTP_REQ_GET;
}

http_response readHeaders(evhttp_request *request)
{
    http_response response;
    response.status = evhttp_request_get_response_code(request);
    const evkeyvalq *fields = evhttp_request_get_input_headers(request);
    for (const evkeyval *field = fields->tqh_first; field != nullptr; field = field->next.tqe_next) {
        response.headers.add(field->key, field->value);
    }
    return response;
}

// The last bytes of a buffer.
std::string copyEnd(evbuffer *buffer, std::size_t size)
{
    std::string bytes(size, '\0');
    evbuffer_ptr from = {};
    evbuffer_ptr_set(buffer, &from, evbuffer_get_length(buffer) - size, EVBUFFER_PTR_SET);
    evbuffer_copyout_from(buffer, &from, bytes.data(), size);
    return bytes;
}

std::string drain(evbuffer *buffer)
{
    std::string bytes(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, bytes.data(), bytes.size());
    return bytes;
}

} // namespace

/// A connection to the server, used by at most one call at a time.
struct http_client::connection
{
    evhttp_connection *handle = nullptr;
    bool hasSent = false;
    bool isClosed = false;
    call *user = nullptr;

    connection(event_loop &loop, const socket_address &server)
        : handle(evhttp_connection_base_new(loop.base(), nullptr, server.ip.c_str(), server.port))
    {
        evhttp_connection_set_retries(handle, 0);
        evhttp_connection_set_closecb(handle, &connection::onClose, this);
        evhttp_connection_set_max_headers_size(handle, maxHeadBytes);
        bufferevent *stream = evhttp_connection_get_bufferevent(handle);
        evbuffer_add_cb(bufferevent_get_output(stream), &connection::onOutput, this);
        evbuffer_add_cb(bufferevent_get_input(stream), &connection::onInput, this);
    }

    ~connection()
    {
        evhttp_connection_set_closecb(handle, nullptr, nullptr);
        evhttp_connection_free(handle);
    }

    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    // evhttp keeps bytes that arrived after a response, and would take them for the next one.
    bool isReusable() const
    {
        return !isClosed && evbuffer_get_length(bufferevent_get_input(evhttp_connection_get_bufferevent(handle))) == 0;
    }

    static void onClose(evhttp_connection * /*handle*/, void *self)
    {
        static_cast<connection *>(self)->isClosed = true;
    }

    static void onInput(evbuffer *buffer, const evbuffer_cb_info *info, void *self);

    // evhttp writes the request only after the connection is established, so without output nothing can have reached the server.
    static void onOutput(evbuffer * /*buffer*/, const evbuffer_cb_info *info, void *self)
    {
        if (info->n_added > 0) {
            static_cast<connection *>(self)->hasSent = true;
        }
    }
};

/// Why a response is not used, although evhttp accepts it or still reads it.
enum class http_client::rejection
{
    none,
    too_large,
    invalid,
};

/// A running call. evhttp's callbacks receive its address, so it must live until the evhttp request has been freed.
struct http_client::call
{
    http_client *client = nullptr;
    http_call_id id;
    http_call_handlers handlers;
    std::unique_ptr<connection> connectionInUse;
    evhttp_request *request = nullptr;
    std::unique_ptr<timer> expiry;
    response_syntax syntax;
    int interimResponses = 0;
    std::size_t heldBytes = 0;
    rejection rejected = rejection::none;

    http_call_error makeError(error_code code, std::string message) const
    {
        return {{code, std::move(message)}, !connectionInUse->hasSent};
    }

    http_call_error makeRejectionError() const
    {
        if (rejected == rejection::too_large) {
            return makeError(error_code::too_large, client->m_server.toString() + " sent a response that is too large");
        }
        return makeError(error_code::connection_lost, client->m_server.toString() + " sent a response that is not valid");
    }

    // Checks bytes before evhttp parses them, which accepts more than a response.
    void check(std::string_view bytes)
    {
        bytes.remove_prefix(syntax.take(bytes));
        while (!bytes.empty() && syntax.isComplete() && syntax.isInterim()) {
            syntax.begin();
            bytes.remove_prefix(syntax.take(bytes));
        }
        if (syntax.isBroken()) {
            client->rejectResponse(*this, syntax.isLineTooLong() ? rejection::too_large : rejection::invalid);
        }
    }

    // evhttp takes an interim response other than 100 for the final one.
    bool isWhole(evhttp_request *ended) const
    {
        const bool isFinal = evhttp_request_get_response_code(ended) >= firstFinalStatus;
        return isFinal && (syntax.isComplete() || syntax.isBodyWithoutLength());
    }

    static int onHeaders(evhttp_request *request, void *self)
    {
        auto *current = static_cast<call *>(self);
        if (current->rejected != rejection::none) {
            return -1;
        }
        // evhttp adds the fields of every interim response to those of the final one.
        if (evhttp_request_get_response_code(request) == statusContinue && ++current->interimResponses > maxInterimResponses) {
            current->rejected = rejection::too_large;
            return -1;
        }
        if (current->handlers.onHeaders) {
            const auto notify = current->handlers.onHeaders;
            notify(readHeaders(request));
        }
        return 0;
    }

    static void onChunk(evhttp_request *request, void *self)
    {
        auto *current = static_cast<call *>(self);
        const std::string bytes = drain(evhttp_request_get_input_buffer(request));
        if (current->rejected == rejection::none) {
            const auto notify = current->handlers.onData;
            notify(bytes);
        }
    }

    static void onError(evhttp_request_error cause, void *self)
    {
        auto *current = static_cast<call *>(self);
        if (current->rejected == rejection::none && cause == EVREQ_HTTP_DATA_TOO_LONG) {
            current->rejected = rejection::too_large;
        }
    }

    static void onDone(evhttp_request *request, void *self)
    {
        auto *current = static_cast<call *>(self);
        current->request = nullptr;
        if (current->rejected != rejection::none) {
            current->client->finishCall(current->id, current->makeRejectionError(), false);
            return;
        }
        const bool hasFailed = request == nullptr || evhttp_request_get_response_code(request) == 0;
        if (hasFailed) {
            const bool isNotSent = !current->connectionInUse->hasSent;
            const auto code = isNotSent ? error_code::connection_refused : error_code::connection_lost;
            const std::string text =
                current->client->m_server.toString() + (isNotSent ? " refused the connection" : " closed the connection");
            current->client->finishCall(current->id, current->makeError(code, text), false);
            return;
        }
        if (!current->isWhole(request)) {
            current->rejected = rejection::invalid;
            current->client->finishCall(current->id, current->makeRejectionError(), false);
            return;
        }
        http_response response = readHeaders(request);
        response.body = drain(evhttp_request_get_input_buffer(request));
        const bool isKeepAlive =
            !response.headers.has("Connection") || strcasecmp(std::string(response.headers.value("Connection")).c_str(), "close") != 0;
        current->client->finishCall(current->id, std::move(response), isKeepAlive);
    }
};

// Bytes wait here until evhttp can use them: a line until its end, and a chunk or a body with a length until it is complete.
void http_client::connection::onInput(evbuffer *buffer, const evbuffer_cb_info *info, void *self)
{
    call *target = static_cast<connection *>(self)->user;
    // evhttp empties the buffer when a request has failed, after it has freed the request.
    if (info->n_added == 0 || target == nullptr || target->request == nullptr) {
        return;
    }
    target->check(copyEnd(buffer, info->n_added));
    const std::size_t waiting = evbuffer_get_length(buffer);
    target->client->accountFor(*target, waiting + evbuffer_get_length(evhttp_request_get_input_buffer(target->request)));
    if (waiting > static_cast<std::size_t>(maxHeadBytes + target->handlers.maxBody.value())) {
        target->client->rejectResponse(*target, rejection::too_large);
    }
}

http_client::http_client(event_loop &loop, socket_address server)
    : m_loop(loop)
    , m_server(std::move(server))
    , m_discardTimer(loop, [this] { m_discarded.clear(); })
{
}

http_client::~http_client()
{
    while (!m_calls.empty()) {
        cancel(m_calls.begin()->first);
    }
    m_discarded.clear();
}

http_call_id http_client::send(const http_request &request, http_call_handlers handlers, deadline until)
{
    m_lastCallId += http_call_id(1);
    const http_call_id id = m_lastCallId;
    auto started = std::make_unique<call>();
    started->client = this;
    started->id = id;
    started->handlers = std::move(handlers);
    started->connectionInUse = acquireConnection();
    started->syntax.setNoBody(request.method == "HEAD");
    started->request = evhttp_request_new(&call::onDone, started.get());
    evhttp_request_set_header_cb(started->request, &call::onHeaders);
    evhttp_request_set_error_cb(started->request, &call::onError);
    started->connectionInUse->user = started.get();
    // The body of a stream is used as it arrives.
    const ev_ssize_t maxBody = started->handlers.onData ? -1 : static_cast<ev_ssize_t>(started->handlers.maxBody.value());
    evhttp_connection_set_max_body_size(started->connectionInUse->handle, maxBody);
    if (started->handlers.onData) {
        evhttp_request_set_chunked_cb(started->request, &call::onChunk);
    }
    evkeyvalq *fields = evhttp_request_get_output_headers(started->request);
    evhttp_add_header(fields, "Host", m_server.toString().c_str());
    for (const http_header &field : request.headers.fields()) {
        evhttp_add_header(fields, field.name.c_str(), field.value.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(started->request), request.body.data(), request.body.size());
    started->expiry = std::make_unique<timer>(m_loop, [this, id] {
        const auto found = m_calls.find(id);
        if (found == m_calls.end()) {
            return;
        }
        const call &target = *found->second;
        finishCall(id,
                   target.rejected != rejection::none
                       ? target.makeRejectionError()
                       : target.makeError(error_code::deadline_exceeded, m_server.toString() + " did not answer in time"),
                   false);
    });
    started->expiry->start(until);
    call &entry = *started;
    m_calls.emplace(id, std::move(started));
    const int result =
        evhttp_make_request(entry.connectionInUse->handle, entry.request, methodType(request.method), request.target.c_str());
    if (result != 0 && m_calls.contains(id)) {
        // evhttp has freed the request. The error is reported from the event loop, after send() has returned the id to the caller.
        entry.request = nullptr;
        entry.expiry = std::make_unique<timer>(m_loop, [this, id] {
            finishCall(id, m_calls.at(id)->makeError(error_code::connection_refused, m_server.toString() + " cannot be reached"), false);
        });
        entry.expiry->start(deadline());
    }
    return id;
}

void http_client::cancel(http_call_id call)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end()) {
        return;
    }
    accountFor(*found->second, 0);
    found->second->connectionInUse->user = nullptr;
    if (found->second->request != nullptr) {
        evhttp_cancel_request(found->second->request);
    }
    // evhttp_cancel_request() has reset the connection. The connection object is freed from the event loop.
    discard(std::move(found->second->connectionInUse));
    m_calls.erase(found);
}

void http_client::extend(http_call_id call, deadline until)
{
    const auto found = m_calls.find(call);
    if (found != m_calls.end() && found->second->rejected == rejection::none) {
        found->second->expiry->start(until);
    }
}

const socket_address &http_client::server() const
{
    return m_server;
}

std::size_t http_client::activeCalls() const
{
    return m_calls.size();
}

std::unique_ptr<http_client::connection> http_client::acquireConnection()
{
    while (!m_idle.empty()) {
        std::unique_ptr<connection> candidate = std::move(m_idle.back());
        m_idle.pop_back();
        if (candidate->isReusable()) {
            candidate->hasSent = false;
            return candidate;
        }
        discard(std::move(candidate));
    }
    return std::make_unique<connection>(m_loop, m_server);
}

void http_client::finishCall(http_call_id id, http_call_result result, bool keepConnection)
{
    const auto found = m_calls.find(id);
    CHECK(found != m_calls.end()) << "http: a call was completed twice.";
    std::unique_ptr<call> ended = std::move(found->second);
    m_calls.erase(found);
    accountFor(*ended, 0);
    ended->connectionInUse->user = nullptr;
    if (ended->request != nullptr) {
        evhttp_cancel_request(ended->request);
    }
    if (keepConnection && ended->connectionInUse->isReusable() && m_idle.size() < maxIdleConnections) {
        m_idle.push_back(std::move(ended->connectionInUse));
    } else {
        discard(std::move(ended->connectionInUse));
    }
    ended->handlers.onDone(std::move(result));
}

void http_client::accountFor(call &target, std::size_t held)
{
    m_heldBytes = m_heldBytes - target.heldBytes + held;
    target.heldBytes = held;
    if (m_heldBytes <= maxHeldBytes) {
        return;
    }
    const auto largest = std::max_element(m_calls.begin(), m_calls.end(), [](const auto &left, const auto &right) {
        return left.second->heldBytes < right.second->heldBytes;
    });
    rejectResponse(*largest->second, rejection::too_large);
}

// Runs inside evhttp, so the call ends from the event loop.
void http_client::rejectResponse(call &target, rejection why)
{
    if (target.rejected == rejection::none) {
        target.rejected = why;
        target.expiry->start(deadline());
    }
}

void http_client::discard(std::unique_ptr<connection> unwanted)
{
    m_discarded.push_back(std::move(unwanted));
    m_discardTimer.start(deadline());
}

} // namespace burdockshelf
