#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace burdockshelf
{

/// Checks that the bytes of a connection are HTTP/1.x responses as RFC 9110 and RFC 9112 describe them. The HTTP libraries accept more, so
/// this class decides what a response is, and they only parse what it has let through. Checked are the status line, names and values of
/// fields, and the framing; bodies are passed over.
class response_syntax
{
public:
    /// Begins the next response to the same or another request.
    void begin();
    /// Set for responses to HEAD requests, which have no body whatever their head says. Applies to all heads that end after the call.
    void setNoBody(bool hasNoBody);
    /// Checks bytes, and returns how many belong to the response: all of them until it is complete or broken.
    std::size_t take(std::string_view bytes);

    /// The bytes are no valid response; nothing of it and nothing after it may be used.
    bool isBroken() const;
    /// It is broken because a line is longer than any that a server has reason to send.
    bool isLineTooLong() const;
    /// The response is complete by its framing. One without a length is completed by an orderly end of the connection instead.
    bool isComplete() const;
    /// The body has no length and extends to the end of the connection.
    bool isBodyWithoutLength() const;
    /// The response is an interim one (1xx), which another one follows. To be called once it is complete.
    bool isInterim() const;

private:
    enum class part
    {
        status_line,
        field,
        chunk_size,
        chunk_end,
        trailer,
        // Parts that are not read as lines.
        chunk,
        body,
        body_without_length,
        complete,
        broken,
    };

    std::size_t takeLine(std::string_view bytes);
    std::size_t takeBody(std::size_t available);
    /// Checks a line with its line break.
    void checkLine(std::string_view line);
    void checkStatusLine(std::string_view line);
    void checkField(std::string_view line);
    void checkChunkSize(std::string_view line);
    void checkChunkEnd(std::string_view line);
    void checkTrailer(std::string_view line);
    void setLength(std::string_view value);
    void setCoding(std::string_view value);
    void endHead();
    bool hasBody() const;

    part m_part = part::status_line;
    bool m_isLineTooLong = false;
    /// The start of a line whose end has not arrived yet.
    std::string m_line;
    int m_status = 0;
    bool m_isVersion10 = false;
    bool m_hasNoBody = false;
    bool m_isChunked = false;
    /// Bytes of the body; negative if the head does not say.
    std::int64_t m_length = -1;
    /// Bytes of the body or the chunk that have not arrived yet.
    std::int64_t m_left = 0;
};

} // namespace burdockshelf
