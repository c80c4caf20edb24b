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
    /// Longest time for one try to abort, release or order.
    std::chrono::milliseconds controlTimeout {2000};
    /// Longest time during which an abort or release is tried again. After it the engine's own time limits apply.
    std::chrono::milliseconds controlRetryTime {10000};
    std::chrono::milliseconds firstRetryDelay {100};
    std::chrono::milliseconds loadTimeout {1000};
    /// A server-sent event over this size ends the attempt.
    byte_count maxEventBytes {1024 * 1024};
    /// Events kept for a receiver whose mailbox is full; a stream that adds to more than that is cut.
    std::size_t maxBacklog = 10000;
};

/// Where an endpoint_task reports to.
struct endpoint_report_sinks
{
    sink<attempt_event> attempts;
    sink<load_report> load;
    sink<endpoint_unreachable> unreachable;
};

/// Owns the connections to one endpoint and makes every call to it. Each attempt is reported up to its terminal event, which comes exactly
/// once, or not at all when the attempt is cancelled. Never repeats an attempt: that is decided elsewhere.
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
    /// Finishes the running attempts and refuses new ones.
    void beginShutdown() override;

protected:
    void handle(endpoint_task_message &&message) override;

private:
    /// An attempt that has not ended.
    struct attempt
    {
        http_call_id call;
        /// Empty for plain calls, which cannot be aborted by id.
        request_id request;
        std::optional<decode_stream> stream;
        boot_clock::duration interEventTimeout {};
        int status = 0;
    };

    /// An abort or release that is tried until the endpoint has taken it.
    struct control_call
    {
        http_request request;
        deadline retryUntil;
        boot_clock::duration delay {};
        std::unique_ptr<timer> retry;
    };

    void take(const prefill_call &call);
    void take(const decode_call &call);
    void take(const resume_call &call);
    void take(const plain_call &call);
    void take(const cancel_attempt &cancelled);
    void take(const abort_request &abort);
    void take(const release_kv &release);
    void take(const endpoint_order &order);
    void take(const load_query &query);

    bool admits(const attempt_id &id);
    void startWhole(const attempt_id &id, attempt entry, const http_request &request, deadline until, bool isPlain);
    void startStream(const attempt_id &id, attempt entry, const http_request &request, deadline until);
    void streamHeaders(const attempt_id &id, int status);
    void streamData(const attempt_id &id, std::string_view bytes);
    void streamEnded(const attempt_id &id, const http_call_result &result);
    void wholeEnded(const attempt_id &id, http_call_result result, bool isPlain);
    void end(const attempt_id &id, attempt_event event);
    void endFailed(const attempt_id &id, error cause, bool isNotSent);
    void cancelCall(const attempt_id &id);

    void control(http_request request);
    void sendControl(std::uint64_t id);
    void controlEnded(std::uint64_t id, const http_call_result &result);
    void loadEnded(const http_call_result &result);
    void reportUnreachable(error cause);

    void report(attempt_event event);
    void flushBacklog();
    bool postEvent(const attempt_event &event);
    void finishIfIdle();

    event_loop &m_loop;
    endpoint_id m_endpoint;
    endpoint_report_sinks m_reports;
    endpoint_task_settings m_settings;
    random_source m_random;
    http_client m_client;
    std::map<attempt_id, attempt> m_attempts;
    std::map<std::uint64_t, control_call> m_controls;
    std::uint64_t m_lastControl = 0;
    std::deque<attempt_event> m_backlog;
    timer m_backlogTimer;
    bool m_isLoadAsked = false;
    bool m_isShuttingDown = false;
    bool m_isFinished = false;
};

} // namespace burdockshelf
