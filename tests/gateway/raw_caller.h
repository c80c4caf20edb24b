#pragma once

#include "http1/byte_stream.h"
#include "http1/message_parser.h"

#include <string>
#include <vector>

namespace burdockshelf
{

/// A caller that keeps every byte it receives, and judges them as an HTTP client does.
class raw_caller : private message_handler
{
public:
    raw_caller(event_loop &loop, const socket_address &server)
        : m_parser(message_parser::direction::responses, byte_count(64 * 1024), *this)
    {
        byte_stream::handlers handlers;
        handlers.onReadable = [this] {
            read();
        };
        handlers.onEnded = [this](stream_end_cause cause) {
            m_hasEnded = true;
            if (cause == stream_end_cause::closed) {
                m_parser.finishInput();
            }
        };
        m_stream = byte_stream::connect(loop, server, std::chrono::milliseconds(4000), std::move(handlers));
    }

    void send(const std::string &bytes)
    {
        m_stream->write(bytes);
    }

    void setReading(bool isReading)
    {
        m_stream->setReading(isReading);
    }

    /// All bytes received, heads and framing included.
    const std::string &bytes() const
    {
        return m_bytes;
    }

    int status() const
    {
        return m_status;
    }

    const http_headers &headers() const
    {
        return m_headers;
    }

    const std::string &body() const
    {
        return m_body;
    }

    /// The response was complete by its framing.
    bool isComplete() const
    {
        return m_isComplete;
    }

    /// The response is complete, or the connection has ended.
    bool isDone() const
    {
        return m_isComplete || m_hasEnded;
    }

private:
    void onResponseHead(http_response &&head, const message_framing & /*framing*/) override
    {
        m_status = head.status;
        m_headers = std::move(head.headers);
    }

    void onBody(std::string_view bytes) override
    {
        m_body.append(bytes);
    }

    void onComplete() override
    {
        m_isComplete = true;
    }

    void read()
    {
        const std::string received(m_stream->peek());
        m_bytes += received;
        m_stream->drop(received.size());
        m_parser.take(received);
    }

    message_parser m_parser;
    std::unique_ptr<byte_stream> m_stream;
    std::string m_bytes;
    std::string m_body;
    http_headers m_headers;
    int m_status = 0;
    bool m_isComplete = false;
    bool m_hasEnded = false;
};

} // namespace burdockshelf
