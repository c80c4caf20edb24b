#pragma once

#include "core/random_source.h"
#include "endpoints/decode_stream.h"
#include "endpoints/endpoint_messages.h"
#include "http/http_client.h"
#include "runtime/task.h"
#include "runtime/timer.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace burdockshelf
{

struct endpoint_task_settings
{
    /// Timeout of a single abort, release or order request.
    std::chrono::milliseconds controlTimeout {2000};
    /// How long a failed abort or release is retried. After that the engine's own timeouts apply.
    std::chrono::milliseconds controlRetryPeriod {10000};
    std::chrono::milliseconds initialRetryDelay {100};
    std::chrono::milliseconds loadTimeout {1000};
    /// Largest responses to a prefill, to a load query, and to an abort, release or order.
    byte_count maxPrefillResponse {1024 * 1024};
    byte_count maxControlResponse {64 * 1024};
    /// A larger server-sent event fails the attempt.
    byte_count maxEventBytes {1024 * 1024};
    /// Events buffered while the receiver's mailbox is full; a stream that exceeds this number fails.
    std::size_t maxBacklog = 10000;
};

/// Receivers of the reports of an endpoint_task.
struct endpoint_report_sinks
{
    sink<attempt_event> attempts;
    sink<load_report> load;
    sink<endpoint_unreachable> unreachable;
};

/// Owns the connections to one endpoint and sends all requests to it. Reports the events of each attempt up to the terminal event, which is
/// reported exactly once, or never if the attempt is cancelled. Never retries an attempt: request_machine decides on retries.
class endpoint_task : public task<endpoint_task_message>
{
public:
    endpoint_task(event_loop &loop,
                  std::shared_ptr<mailbox<endpoint_task_message>> box,
                  endpoint_id endpoint,
                  const socket_address &server,
                  endpoint_report_sinks reports,
                  endpoint_task_settings settings,
                  random_source random);
    ~endpoint_task() override;

    outcome<void> start() override;
    /// Completes the running attempts and fails new ones.
    void beginShutdown() override;

protected:
    void handle(endpoint_task_message &&message) override;

private:
    /// A running attempt.
    struct attempt
    {
        http_call_id call;
        /// Empty for plain services, whose requests cannot be aborted by id.
        request_id request;
        std::optional<decode_stream> stream;
        boot_clock::duration interEventTimeout {};
        int status = 0;
    };

    /// An abort or release that is retried until the endpoint has processed it.
    struct control_call
    {
        http_request request;
        deadline retryUntil;
        boot_clock::duration delay {};
        std::unique_ptr<timer> retry;
    };

    void receive(const prefill_call &call);
    void receive(const decode_call &call);
    void receive(const resume_call &call);
    void receive(const plain_call &call);
    void receive(const cancel_attempt &cancelled);
    void receive(const abort_request &abort);
    void receive(const release_kv &release);
    void receive(const endpoint_order &order);
    void receive(const load_query &query);

    bool acceptsAttempt(const attempt_id &id);
    void startBuffered(const attempt_id &id, attempt entry, const http_request &request, deadline until, bool isPlain);
    void startStream(const attempt_id &id, attempt entry, const http_request &request, deadline until);
    void onStreamHeaders(const attempt_id &id, int status);
    void onStreamData(const attempt_id &id, std::string_view bytes);
    void onStreamEnded(const attempt_id &id, const http_call_result &result);
    void onBufferedEnded(const attempt_id &id, http_call_result result, bool isPlain);
    void endAttempt(const attempt_id &id, attempt_event event);
    void endWithFailure(const attempt_id &id, error cause, bool isNotSent);
    void cancelCall(const attempt_id &id);

    void startControlCall(http_request request);
    void sendControlCall(std::uint64_t id);
    void onControlEnded(std::uint64_t id, const http_call_result &result);
    void onLoadEnded(const http_call_result &result);
    void reportUnreachable(error cause);

    void report(attempt_event event);
    void flushBacklog();
    bool tryPostEvent(const attempt_event &event);
    void finishIfIdle();

    event_loop &m_loop;
    endpoint_id m_endpoint;
    endpoint_report_sinks m_reports;
    endpoint_task_settings m_settings;
    random_source m_random;
    http_client m_client;
    std::map<attempt_id, attempt> m_attempts;
    std::map<std::uint64_t, control_call> m_controlCalls;
    std::uint64_t m_lastControlId = 0;
    std::deque<attempt_event> m_backlog;
    timer m_backlogTimer;
    bool m_isLoadQueryPending = false;
    bool m_isShuttingDown = false;
    bool m_isFinished = false;
};

} // namespace burdockshelf
