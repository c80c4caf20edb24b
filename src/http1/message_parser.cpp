#include "http1/message_parser.h"

#include "http/field_syntax.h"
#include "http/response_syntax.h"

#include <algorithm>
#include <utility>

#include <http_parser.h>

namespace burdockshelf
{

namespace
{

// A line's colon and its end, which the parser does not report.
constexpr std::size_t lineOverhead = 3;
// A list of fields grows by doubling, so half of it may be unused.
constexpr std::int64_t fieldCost = 2 * sizeof(http_header);

} // namespace

struct message_parser::engine
{
    http_parser parser = {};
    /// Decides what a response is, ahead of http_parser, which accepts more.
    response_syntax syntax;
    http_parser_settings callbacks = {};
    message_handler &handler;
    std::int64_t maxHead;
    parse_state state = parse_state::reading;
    bool isBetween = true;
    bool hasNoBody = false;
    bool readsRequests;
    std::int64_t headBytes = 0;
    std::int64_t headCost = 0;
    std::string target;
    std::string field;
    std::string value;
    bool isInValue = false;
    http_headers headers;

    engine(direction reads, byte_count limit, message_handler &to)
        : handler(to)
        , maxHead(limit.value())
        , readsRequests(reads == direction::requests)
    {
        http_parser_init(&parser, readsRequests ? HTTP_REQUEST : HTTP_RESPONSE);
        parser.data = this;
        http_parser_settings_init(&callbacks);
        callbacks.on_message_begin = [](http_parser *at) {
            return of(at).begin();
        };
        callbacks.on_url = [](http_parser *at, const char *text, std::size_t size) {
            return of(at).addTarget(text, size);
        };
        callbacks.on_header_field = [](http_parser *at, const char *text, std::size_t size) {
            return of(at).addField(text, size);
        };
        callbacks.on_header_value = [](http_parser *at, const char *text, std::size_t size) {
            return of(at).addValue(text, size);
        };
        callbacks.on_headers_complete = [](http_parser *at) {
            return of(at).finishHead();
        };
        callbacks.on_body = [](http_parser *at, const char *text, std::size_t size) {
            of(at).handler.onBody({text, size});
            return 0;
        };
        callbacks.on_message_complete = [](http_parser *at) {
            return of(at).finishMessage();
        };
    }

    static engine &of(http_parser *at)
    {
        return *static_cast<engine *>(at->data);
    }

    int begin()
    {
        isBetween = false;
        headBytes = 0;
        headCost = 0;
        target.clear();
        field.clear();
        value.clear();
        isInValue = false;
        headers = {};
        return 0;
    }

    int countHeadBytes(std::size_t size)
    {
        headBytes += static_cast<std::int64_t>(size);
        headCost += static_cast<std::int64_t>(size);
        // Callers are promised a limit in bytes; what a server sends is bounded by the memory that it takes.
        if ((readsRequests ? headBytes : headCost) > maxHead) {
            state = parse_state::head_too_large;
            return 1;
        }
        return 0;
    }

    int addTarget(const char *text, std::size_t size)
    {
        target.append(text, size);
        return countHeadBytes(size);
    }

    int addField(const char *text, std::size_t size)
    {
        flushField();
        // http_parser accepts blanks. One before the colon makes receivers disagree on the name of the field. A piece of a name may be
        // empty.
        if (readsRequests && size > 0 && !isToken({text, size})) {
            state = parse_state::broken;
            return 1;
        }
        field.append(text, size);
        return countHeadBytes(size);
    }

    int addValue(const char *text, std::size_t size)
    {
        const std::size_t overhead = isInValue ? 0 : lineOverhead;
        headCost += isInValue ? 0 : fieldCost;
        isInValue = true;
        value.append(text, size);
        return countHeadBytes(size + overhead);
    }

    // Trailer fields arrive after the head has been passed on, and are dropped.
    void flushField()
    {
        if (isInValue) {
            headers.add(std::move(field), std::move(value));
            field.clear();
            value.clear();
            isInValue = false;
        }
    }

    int finishHead()
    {
        flushField();
        message_framing framing;
        framing.keepAlive = http_should_keep_alive(&parser) != 0;
        framing.isChunked = (parser.flags & F_CHUNKED) != 0;
        if (!framing.isChunked && (parser.flags & F_CONTENTLENGTH) != 0) {
            framing.contentLength = static_cast<std::int64_t>(parser.content_length);
        }
        if (readsRequests) {
            http_request head;
            head.method = http_method_str(static_cast<http_method>(parser.method));
            head.target = std::move(target);
            head.headers = std::move(headers);
            handler.onRequestHead(std::move(head), framing);
            return 0;
        }
        const bool isBodiless = hasNoBody || parser.status_code < 200 || parser.status_code == 204 || parser.status_code == 304;
        framing.endsAtConnectionClose = !isBodiless && !framing.isChunked && framing.contentLength < 0;
        framing.contentLength = isBodiless ? 0 : framing.contentLength;
        http_response head;
        head.status = static_cast<int>(parser.status_code);
        head.headers = std::move(headers);
        handler.onResponseHead(std::move(head), framing);
        // Tells http_parser to read no body, which it would do for a 204 or 304 that states a length.
        return isBodiless ? 1 : 0;
    }

    // Passes on what may be parsed of the bytes; nothing of what breaks the syntax is acted on.
    std::string_view soundPartOf(std::string_view bytes)
    {
        if (readsRequests) {
            return bytes;
        }
        const std::size_t sound = syntax.take(bytes);
        if (syntax.isBroken()) {
            state = parse_state::broken;
            return {};
        }
        return bytes.substr(0, sound);
    }

    int finishMessage()
    {
        state = parse_state::complete;
        isBetween = true;
        http_parser_pause(&parser, 1);
        handler.onComplete();
        return 0;
    }
};

message_parser::message_parser(direction reads, byte_count maxHead, message_handler &handler)
    : m_engine(std::make_unique<engine>(reads, maxHead, handler))
{
}

message_parser::~message_parser() = default;

std::size_t message_parser::take(std::string_view bytes)
{
    engine &self = *m_engine;
    if (self.state != parse_state::reading || bytes.empty()) {
        return 0;
    }
    const std::string_view sound = self.soundPartOf(bytes);
    if (self.state == parse_state::broken) {
        return 0;
    }
    const std::size_t taken = http_parser_execute(&self.parser, &self.callbacks, sound.data(), sound.size());
    if (self.state == parse_state::complete) {
        return taken;
    }
    // Both must find the end at the same place.
    if (self.syntax.isComplete() && self.state == parse_state::reading) {
        self.state = parse_state::broken;
    }
    // An upgrade would switch to another protocol. No code here offers one.
    if (HTTP_PARSER_ERRNO(&self.parser) != HPE_OK || self.parser.upgrade != 0) {
        if (self.state == parse_state::reading) {
            self.state = parse_state::broken;
        }
    }
    return taken;
}

void message_parser::finishInput()
{
    engine &self = *m_engine;
    if (self.state == parse_state::reading && !self.isBetween) {
        http_parser_execute(&self.parser, &self.callbacks, nullptr, 0);
        if (self.state == parse_state::reading) {
            self.state = parse_state::broken;
        }
    }
}

void message_parser::resume()
{
    if (m_engine->state == parse_state::complete) {
        m_engine->state = parse_state::reading;
        m_engine->syntax.begin();
        http_parser_pause(&m_engine->parser, 0);
    }
}

void message_parser::setNoBody(bool hasNoBody)
{
    m_engine->hasNoBody = hasNoBody;
    m_engine->syntax.setNoBody(hasNoBody);
}

void message_parser::setMaxHead(byte_count maxHead)
{
    m_engine->maxHead = maxHead.value();
}

parse_state message_parser::state() const
{
    return m_engine->state;
}

bool message_parser::isBetweenMessages() const
{
    return m_engine->isBetween;
}

byte_count message_parser::headCost() const
{
    return byte_count(m_engine->headCost);
}

} // namespace burdockshelf
