#pragma once

#include "core/units.h"
#include "http/http_message.h"

#include <memory>
#include <string>
#include <string_view>

namespace burdockshelf
{

/// What the head of an HTTP/1.1 message says about its framing.
struct message_framing
{
    bool keepAlive = true;
    bool isChunked = false;
    /// Length of the body in bytes; negative when the head gives none.
    std::int64_t contentLength = -1;
    /// A response without a length, which ends with its connection.
    bool endsWithConnection = false;
};

/// Receives what the parser finds. Handlers must not destroy the parser.
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
    /// The message is complete. The parser stops behind it until resume() is called.
    virtual void onComplete() = 0;
};

enum class parse_state
{
    /// All bytes were taken and more are expected.
    reading,
    /// Stopped behind a complete message.
    complete,
    /// The bytes are no HTTP/1.1 message, or its head is larger than the limit.
    broken,
    head_too_large,
};

/// Reads HTTP/1.1 messages of one direction from a byte stream with the http_parser library. Conflicting lengths and unknown transfer
/// encodings are errors, so that no request can hide in another one.
class message_parser
{
public:
    enum class direction
    {
        requests,
        responses,
    };

    message_parser(direction reads, byte_count maxHead, message_handler &handler);
    ~message_parser();
    message_parser(const message_parser &) = delete;
    message_parser &operator=(const message_parser &) = delete;

    /// Parses bytes and returns how many were taken; fewer only when the state is no longer reading.
    std::size_t take(std::string_view bytes);
    /// Tells that the stream has ended cleanly, which completes a response without a length.
    void takeEnd();
    /// Goes on to the next message.
    void resume();
    /// Responses to HEAD requests have no body, whatever their head says.
    void setNoBody(bool hasNoBody);

    parse_state state() const;
    /// True between two messages, before the first byte of the next one.
    bool isBetweenMessages() const;

private:
    struct engine;

    std::unique_ptr<engine> m_engine;
};

} // namespace burdockshelf
