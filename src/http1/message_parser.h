#pragma once

#include "core/units.h"
#include "http/http_message.h"

#include <memory>
#include <string>
#include <string_view>

namespace burdockshelf
{

/// Framing of an HTTP/1.1 message, as specified by its head.
struct message_framing
{
    bool keepAlive = true;
    bool isChunked = false;
    /// Length of the body in bytes; negative if the head does not specify one. 0 for a response that has no body whatever its head says.
    std::int64_t contentLength = -1;
    /// True for a response without a length, whose body extends to the end of the connection.
    bool endsAtConnectionClose = false;
};

/// Receives the parsed parts of messages. The functions must not destroy the parser.
class message_handler
{
public:
    virtual ~message_handler() = default;

    virtual void onRequestHead(http_request && /*head*/, const message_framing & /*framing*/)
    {
    }

    virtual void onResponseHead(http_response && /*head*/, const message_framing & /*framing*/)
    {
    }

    virtual void onBody(std::string_view bytes) = 0;
    /// Called when a message is complete. The parser stops after it until resume() is called.
    virtual void onComplete() = 0;
};

enum class parse_state
{
    /// All bytes were consumed and more are expected.
    reading,
    /// Stopped after a complete message.
    complete,
    /// The bytes are not a valid HTTP/1.1 message, or the head exceeds the built-in limit of http_parser.
    broken,
    /// The head of the message exceeds the size limit.
    head_too_large,
};

/// Parses HTTP/1.1 requests or responses from a byte stream with the http_parser library. Conflicting lengths and unknown transfer
/// encodings are errors, to prevent request smuggling. Responses are parsed as far as response_syntax lets them through.
class message_parser
{
public:
    enum class direction
    {
        requests,
        responses,
    };

    /// The limit applies to the bytes of a request's head, and to the memory that a response's head takes.
    message_parser(direction reads, byte_count maxHead, message_handler &handler);
    ~message_parser();
    message_parser(const message_parser &) = delete;
    message_parser &operator=(const message_parser &) = delete;

    /// Parses bytes and returns the number of bytes consumed. It is lower than the number given only if the state is no longer reading.
    std::size_t take(std::string_view bytes);
    /// Signals a clean end of the stream, which completes a response without a length.
    void finishInput();
    /// Continues with the next message.
    void resume();
    /// Set for responses to HEAD requests, which have no body even if their head specifies a length.
    void setNoBody(bool hasNoBody);
    /// Changes the limit for heads; applies to what is read from now on.
    void setMaxHead(byte_count maxHead);

    parse_state state() const;
    /// True before the first byte of the first message and between two messages.
    bool isBetweenMessages() const;
    /// Memory that the parsed head of the current message takes, also after it has been passed on. A field costs many times its bytes.
    byte_count headCost() const;

private:
    struct engine;

    std::unique_ptr<engine> m_engine;
};

} // namespace burdockshelf
