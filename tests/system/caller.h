#pragma once

#include "core/socket_address.h"
#include "http/http_client.h"
#include "runtime/event_loop.h"
#include "wire/sse_parser.h"

#include <optional>
#include <string>

namespace burdockshelf
{

/// A caller of the deployment whose requests run while the test does other things with the same loop. Keeps its connection.
class caller
{
public:
    caller(event_loop &loop, const socket_address &server, std::string key);

    /// Starts a streaming completion. One request at a time.
    void startStream(const std::string &prompt, int maxTokens);
    /// Starts a completion that is answered in one piece.
    void startCompletion(const std::string &prompt, int maxTokens);
    /// Starts a call of the plain service; an empty idempotency key sends none.
    void startCall(const std::string &path, const std::string &idempotencyKey, const std::string &body);
    /// Closes the connection of the running request.
    void leave();

    bool isDone() const;
    /// True when the answer came to its end, and for a stream also with its end mark.
    bool isWhole() const;
    /// The status of the answer, 0 while there is none.
    int status() const;
    int events() const;
    /// The text of a stream.
    const std::string &text() const;
    const std::string &body() const;
    /// What is known of the request, for the message of a failed check.
    std::string description() const;
    instant sentAt() const;
    instant doneAt() const;

private:
    void start(const std::string &path, const std::string &idempotencyKey, const std::string &body, bool isStream);
    void takeData(std::string_view bytes);
    void takeEvent(const std::string &data);

    http_client m_client;
    std::string m_key;
    http_call_id m_call;
    std::optional<sse_parser> m_parser;
    bool m_isStream = false;
    bool m_isDone = true;
    bool m_hasEnded = false;
    bool m_hasEndMark = false;
    int m_status = 0;
    int m_events = 0;
    std::string m_text;
    std::string m_body;
    std::string m_failure;
    instant m_sentAt;
    instant m_doneAt;
};

} // namespace burdockshelf
