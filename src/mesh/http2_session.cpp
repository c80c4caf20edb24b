#include "mesh/http2_session.h"

#include "mesh/native_address.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <glog/logging.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nghttp2/nghttp2.h>
#include <sys/socket.h>

namespace burdockshelf
{

namespace
{

// Size of the connection's flow control window, in stream windows.
constexpr std::size_t connectionWindowFactor = 4;

nghttp2_nv headerField(std::string_view name, std::string_view value)
{
    // nghttp2 copies name and value unless the flags say otherwise.
    return {reinterpret_cast<std::uint8_t *>(const_cast<char *>(name.data())),
            reinterpret_cast<std::uint8_t *>(const_cast<char *>(value.data())),
            name.size(),
            value.size(),
            NGHTTP2_NV_FLAG_NONE};
}

// Disables Nagle's algorithm: small messages must not wait for more bytes to fill a packet.
void setNoDelay(evutil_socket_t socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

error_code toErrorCode(std::uint32_t code)
{
    switch (code) {
    case NGHTTP2_REFUSED_STREAM:
        return error_code::connection_refused;
    case NGHTTP2_CANCEL:
        return error_code::cancelled;
    case NGHTTP2_ENHANCE_YOUR_CALM:
        return error_code::too_large;
    default:
        return error_code::connection_lost;
    }
}

} // namespace

/// A request and its response while they are in transit.
struct http2_session::stream
{
    std::string path;
    std::string kind;
    int status = 0;
    std::string input;
    std::string output;
    std::size_t sent = 0;
    std::size_t received = 0;
    bool isInputComplete = false;
};

/// Callbacks of nghttp2 and libevent.
struct http2_session::callbacks
{
    static int onBeginHeaders(nghttp2_session * /*session*/, const nghttp2_frame *frame, void *self)
    {
        auto *owner = static_cast<http2_session *>(self);
        if (owner->m_isServer && frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
            owner->m_streams[frame->hd.stream_id] = std::make_unique<stream>();
        }
        return 0;
    }

    static int onHeader(nghttp2_session * /*session*/,
                        const nghttp2_frame *frame,
                        const std::uint8_t *name,
                        std::size_t nameSize,
                        const std::uint8_t *value,
                        std::size_t valueSize,
                        std::uint8_t /*flags*/,
                        void *self)
    {
        stream *current = static_cast<http2_session *>(self)->findStream(frame->hd.stream_id);
        if (current == nullptr) {
            return 0;
        }
        const std::string_view nameText(reinterpret_cast<const char *>(name), nameSize);
        const std::string_view valueText(reinterpret_cast<const char *>(value), valueSize);
        if (nameText == ":path") {
            current->path = valueText;
        } else if (nameText == "kind") {
            current->kind = valueText;
        } else if (nameText == ":status") {
            std::from_chars(valueText.data(), valueText.data() + valueText.size(), current->status);
        }
        return 0;
    }

    static int
    onData(nghttp2_session * /*session*/, std::uint8_t /*flags*/, std::int32_t id, const std::uint8_t *bytes, std::size_t size, void *self)
    {
        static_cast<http2_session *>(self)->receiveBody(id, {reinterpret_cast<const char *>(bytes), size});
        return 0;
    }

    static int onFrame(nghttp2_session * /*session*/, const nghttp2_frame *frame, void *self)
    {
        auto *owner = static_cast<http2_session *>(self);
        const bool isAck = (frame->hd.flags & NGHTTP2_FLAG_ACK) != 0;
        if (frame->hd.type == NGHTTP2_PING && isAck && owner->m_handlers.onPong) {
            owner->m_handlers.onPong();
        }
        const bool isMessage = frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
        stream *current = owner->findStream(frame->hd.stream_id);
        if (!isMessage || current == nullptr || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0) {
            return 0;
        }
        current->isInputComplete = true;
        if (owner->m_isServer && owner->m_handlers.onRequest) {
            owner->m_handlers.onRequest(http2_stream_id(frame->hd.stream_id), {current->path, std::move(current->input)});
        }
        return 0;
    }

    static int onFrameNotSent(nghttp2_session * /*session*/, const nghttp2_frame *frame, int /*code*/, void *self)
    {
        if (frame->hd.type == NGHTTP2_HEADERS) {
            static_cast<http2_session *>(self)->endStream(frame->hd.stream_id, NGHTTP2_REFUSED_STREAM);
        }
        return 0;
    }

    static int onStreamClose(nghttp2_session * /*session*/, std::int32_t id, std::uint32_t code, void *self)
    {
        static_cast<http2_session *>(self)->endStream(id, code);
        return 0;
    }

    static ssize_t readOutput(nghttp2_session * /*session*/,
                              std::int32_t id,
                              std::uint8_t *buffer,
                              std::size_t size,
                              std::uint32_t *flags,
                              nghttp2_data_source * /*source*/,
                              void *self)
    {
        stream *current = static_cast<http2_session *>(self)->findStream(id);
        if (current == nullptr) {
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        }
        const std::size_t count = std::min(size, current->output.size() - current->sent);
        std::copy_n(current->output.data() + current->sent, count, buffer);
        current->sent += count;
        if (current->sent == current->output.size()) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        }
        return static_cast<ssize_t>(count);
    }

    static void onReadable(bufferevent * /*connection*/, void *self)
    {
        static_cast<http2_session *>(self)->receive();
    }

    static void onWritable(bufferevent * /*connection*/, void *self)
    {
        static_cast<http2_session *>(self)->flush();
    }

    static void onEvent(bufferevent *connection, short what, void *self)
    {
        auto *owner = static_cast<http2_session *>(self);
        if ((what & BEV_EVENT_CONNECTED) != 0) {
            setNoDelay(bufferevent_getfd(connection));
            owner->beginSession();
            if (owner->m_handlers.onConnected) {
                owner->m_handlers.onConnected();
            }
            owner->flush();
        } else if ((what & BEV_EVENT_TIMEOUT) != 0) {
            owner->close({error_code::deadline_exceeded, "no data arrived within the idle timeout"});
        } else if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            const auto code = owner->m_isUp ? error_code::connection_lost : error_code::connection_refused;
            owner->close({code, owner->m_isUp ? "the connection was closed" : "the connection was refused"});
        }
    }
};

http2_session::http2_session(event_loop &loop, const socket_address &server, const http2_limits &limits, http2_handlers handlers)
    : http2_session(loop, -1, false, limits, std::move(handlers))
{
    native_address target(server);
    // A failed connect is reported to onEvent(); a connect that hangs is detected by the owner's connect timeout.
    bufferevent_socket_connect(m_connection.get(), target.data(), target.size());
}

http2_session::http2_session(event_loop &loop, int acceptedSocket, const http2_limits &limits, http2_handlers handlers)
    : http2_session(loop, acceptedSocket, true, limits, std::move(handlers))
{
    setNoDelay(acceptedSocket);
    beginSession();
    flush();
}

http2_session::http2_session(event_loop &loop, int socket, bool isServer, const http2_limits &limits, http2_handlers handlers)
    : m_limits(limits)
    , m_handlers(std::move(handlers))
    , m_isServer(isServer)
    , m_connection(bufferevent_socket_new(loop.base(), socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS))
{
    CHECK(m_connection) << "mesh: cannot create a bufferevent.";
    bufferevent_setcb(m_connection.get(), &callbacks::onReadable, &callbacks::onWritable, &callbacks::onEvent, this);
    if (m_limits.silence.count() > 0) {
        timeval silence = {};
        silence.tv_sec = m_limits.silence.count() / 1000;
        silence.tv_usec = m_limits.silence.count() % 1000 * 1000;
        bufferevent_set_timeouts(m_connection.get(), &silence, nullptr);
    }
    bufferevent_enable(m_connection.get(), EV_READ | EV_WRITE);
}

http2_session::~http2_session() = default;

outcome<http2_stream_id> http2_session::sendRequest(http2_request request)
{
    if (!m_isUp || m_isClosed || nghttp2_session_check_request_allowed(m_session.get()) == 0) {
        return failure(error_code::connection_refused, "the connection accepts no requests");
    }
    if (m_streams.size() >= m_limits.streams) {
        return failure(error_code::overloaded, "too many requests are open on the connection");
    }
    const std::array fields = {headerField(":method", "POST"),
                               headerField(":scheme", "http"),
                               headerField(":authority", "mesh"),
                               headerField(":path", request.path)};
    nghttp2_data_provider provider = {};
    provider.read_callback = &callbacks::readOutput;
    const std::int32_t id = nghttp2_submit_request(m_session.get(), nullptr, fields.data(), fields.size(), &provider, nullptr);
    if (id < 0) {
        return failure(error_code::connection_refused, nghttp2_strerror(id));
    }
    m_streams[id] = std::make_unique<stream>();
    m_streams[id]->output = std::move(request.body);
    flush();
    return http2_stream_id(id);
}

void http2_session::respond(http2_stream_id id, http2_response response)
{
    const auto number = static_cast<std::int32_t>(id.value());
    stream *current = findStream(number);
    if (m_isClosed || current == nullptr) {
        return;
    }
    const std::string status = std::to_string(response.status);
    const std::array fields = {headerField(":status", status), headerField("kind", response.kind)};
    current->output = std::move(response.body);
    nghttp2_data_provider provider = {};
    provider.read_callback = &callbacks::readOutput;
    if (nghttp2_submit_response(m_session.get(), number, fields.data(), fields.size(), &provider) != 0) {
        reset(number, NGHTTP2_INTERNAL_ERROR);
    }
    flush();
}

void http2_session::cancel(http2_stream_id id)
{
    const auto number = static_cast<std::int32_t>(id.value());
    if (m_isClosed || removeStream(number) == nullptr) {
        return;
    }
    reset(number, NGHTTP2_CANCEL);
    flush();
}

void http2_session::ping()
{
    if (m_isUp && !m_isClosed) {
        nghttp2_submit_ping(m_session.get(), NGHTTP2_FLAG_NONE, nullptr);
        flush();
    }
}

void http2_session::shutDown()
{
    if (m_isClosed) {
        return;
    }
    if (!m_isUp) {
        close({error_code::cancelled, "the session was shut down before the connection was established"});
        return;
    }
    const std::int32_t last = nghttp2_session_get_last_proc_stream_id(m_session.get());
    nghttp2_submit_goaway(m_session.get(), NGHTTP2_FLAG_NONE, last, NGHTTP2_NO_ERROR, nullptr, 0);
    flush();
}

bool http2_session::isClosed() const
{
    return m_isClosed;
}

void http2_session::beginSession()
{
    nghttp2_session_callbacks *functions = nullptr;
    CHECK_EQ(nghttp2_session_callbacks_new(&functions), 0);
    nghttp2_session_callbacks_set_on_begin_headers_callback(functions, &callbacks::onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(functions, &callbacks::onHeader);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(functions, &callbacks::onData);
    nghttp2_session_callbacks_set_on_frame_recv_callback(functions, &callbacks::onFrame);
    nghttp2_session_callbacks_set_on_frame_not_send_callback(functions, &callbacks::onFrameNotSent);
    nghttp2_session_callbacks_set_on_stream_close_callback(functions, &callbacks::onStreamClose);
    nghttp2_session *session = nullptr;
    const auto createSession = m_isServer ? &nghttp2_session_server_new : &nghttp2_session_client_new;
    CHECK_EQ(createSession(&session, functions, this), 0);
    nghttp2_session_callbacks_del(functions);
    m_session.reset(session);
    const auto window = static_cast<std::uint32_t>(m_limits.window.value());
    const std::array settings = {nghttp2_settings_entry {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, m_limits.streams},
                                 nghttp2_settings_entry {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, window},
                                 nghttp2_settings_entry {NGHTTP2_SETTINGS_ENABLE_PUSH, 0}};
    // ENABLE_PUSH is the last entry, because a server must not send it.
    nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, settings.data(), m_isServer ? settings.size() - 1 : settings.size());
    nghttp2_session_set_local_window_size(session, NGHTTP2_FLAG_NONE, 0, static_cast<std::int32_t>(window * connectionWindowFactor));
    m_isUp = true;
}

void http2_session::receive()
{
    if (m_isClosed || !m_isUp) {
        return;
    }
    evbuffer *input = bufferevent_get_input(m_connection.get());
    m_isInNghttp2 = true;
    while (!m_isClosed && evbuffer_get_length(input) > 0) {
        const std::size_t size = evbuffer_get_contiguous_space(input);
        const auto consumed = nghttp2_session_mem_recv(m_session.get(), evbuffer_pullup(input, static_cast<ev_ssize_t>(size)), size);
        if (consumed < 0) {
            m_isInNghttp2 = false;
            close({error_code::invalid_message, nghttp2_strerror(static_cast<int>(consumed))});
            return;
        }
        evbuffer_drain(input, static_cast<std::size_t>(consumed));
    }
    m_isInNghttp2 = false;
    flush();
}

// Does nothing inside a callback of nghttp2, which must not call nghttp2 to send or receive; frames submitted there are sent when the
// outermost receive() or flush() call is done.
void http2_session::flush()
{
    if (m_isInNghttp2 || m_isClosed || !m_isUp) {
        return;
    }
    evbuffer *output = bufferevent_get_output(m_connection.get());
    m_isInNghttp2 = true;
    while (evbuffer_get_length(output) < static_cast<std::size_t>(m_limits.unsent.value())) {
        const std::uint8_t *bytes = nullptr;
        const auto size = nghttp2_session_mem_send(m_session.get(), &bytes);
        if (size <= 0) {
            break;
        }
        evbuffer_add(output, bytes, static_cast<std::size_t>(size));
    }
    m_isInNghttp2 = false;
    const bool isDone = nghttp2_session_want_read(m_session.get()) == 0 && nghttp2_session_want_write(m_session.get()) == 0;
    if (isDone && evbuffer_get_length(output) == 0) {
        close({error_code::connection_lost, "the connection was shut down"});
    }
}

void http2_session::close(error cause)
{
    if (m_isClosed) {
        return;
    }
    m_isClosed = true;
    bufferevent_disable(m_connection.get(), EV_READ | EV_WRITE);
    if (m_handlers.onClosed) {
        m_handlers.onClosed(std::move(cause));
    }
}

void http2_session::endStream(std::int32_t id, std::uint32_t code)
{
    const std::unique_ptr<stream> ended = removeStream(id);
    if (ended == nullptr || m_isServer || !m_handlers.onResponse) {
        return;
    }
    if (code == NGHTTP2_NO_ERROR && ended->isInputComplete) {
        m_handlers.onResponse(http2_stream_id(id), http2_response {ended->status, std::move(ended->kind), std::move(ended->input)});
        return;
    }
    m_handlers.onResponse(http2_stream_id(id), failure(toErrorCode(code), "the stream ended without a complete response"));
}

void http2_session::receiveBody(std::int32_t id, std::string_view bytes)
{
    stream *current = findStream(id);
    if (current == nullptr) {
        return;
    }
    const bool isTooLarge = current->input.size() + bytes.size() > static_cast<std::size_t>(m_limits.body.value())
        || m_receivedBytes + bytes.size() > static_cast<std::size_t>(m_limits.received.value());
    if (isTooLarge) {
        endStream(id, NGHTTP2_ENHANCE_YOUR_CALM);
        reset(id, NGHTTP2_ENHANCE_YOUR_CALM);
        return;
    }
    current->input += bytes;
    current->received += bytes.size();
    m_receivedBytes += bytes.size();
}

void http2_session::reset(std::int32_t id, std::uint32_t code)
{
    nghttp2_submit_rst_stream(m_session.get(), NGHTTP2_FLAG_NONE, id, code);
}

std::unique_ptr<http2_session::stream> http2_session::removeStream(std::int32_t id)
{
    const auto found = m_streams.find(id);
    if (found == m_streams.end()) {
        return nullptr;
    }
    std::unique_ptr<stream> removed = std::move(found->second);
    m_streams.erase(found);
    m_receivedBytes -= removed->received;
    return removed;
}

http2_session::stream *http2_session::findStream(std::int32_t id)
{
    const auto found = m_streams.find(id);
    return found == m_streams.end() ? nullptr : found->second.get();
}

void http2_session::bufferevent_deleter::operator()(bufferevent *handle) const
{
    bufferevent_free(handle);
}

void http2_session::session_deleter::operator()(nghttp2_session *handle) const
{
    nghttp2_session_del(handle);
}

} // namespace burdockshelf
