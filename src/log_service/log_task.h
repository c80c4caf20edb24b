#pragma once

#include "core/random_source.h"
#include "http/http_client.h"
#include "log_service/log_service_messages.h"
#include "runtime/backoff.h"
#include "runtime/task.h"
#include "runtime/timer.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace burdockshelf
{

struct log_task_settings
{
    socket_address platform;
    /// Long-poll time: how long the platform holds a read while there are no new records. Bounds the age of this instance's view of the
    /// log.
    std::chrono::milliseconds maxWait {1000};
    /// Time after maxWait in which a read must be answered; detects connections on which nothing arrives any more.
    std::chrono::milliseconds readTimeout {1000};
    std::chrono::milliseconds appendTimeout {3000};
    /// Shortest time between two reads at the head of the log, so that a log with many appends is read in batches.
    std::chrono::milliseconds readInterval {20};
    std::chrono::milliseconds minRetryDelay {100};
    std::chrono::milliseconds maxRetryDelay {2000};
    /// Maximum number of records in one read.
    int readLimit = 1000;
    /// Maximum number of appends in flight; further ones are refused as overloaded.
    std::size_t maxInFlightAppends = 64;
};

/// The receivers of record batches and of failed reads.
struct log_task_sinks
{
    std::vector<sink<log_batch>> batches;
    std::vector<sink<log_unreachable>> outages;
};

/// Reads the platform's log by long polling, one read at a time, and sends appends. The next read starts only when every receiver has
/// accepted the previous batch, so that no receiver misses a record. Starts at offset 0, for which the platform returns the log from the
/// oldest retained record.
class log_task : public task<log_task_message>
{
public:
    log_task(event_loop &loop,
             std::shared_ptr<mailbox<log_task_message>> box,
             log_task_settings settings,
             log_task_sinks sinks,
             random_source random);

    outcome<void> start() override;
    void beginShutdown() override;

protected:
    void handle(log_task_message &&message) override;

private:
    void receive(append_request &&request);
    void receive(seek_request &&request);

    void startRead();
    void finishRead(instant sentAt, const http_call_result &result);
    void handlePage(instant sentAt, const struct log_page &page);
    void handleReadFailure(const error &cause);
    void deliver();
    void scheduleRead();
    void finishAppend(const append_request &request, const http_call_result &result);
    static outcome<log_offset> appendOutcome(const http_call_result &result);
    void finishIfIdle();

    log_task_settings m_settings;
    log_task_sinks m_sinks;
    random_source m_random;
    http_client m_client;
    backoff m_backoff;
    timer m_readTimer;
    timer m_deliveryTimer;
    std::optional<http_call_id> m_read;
    log_offset m_next;
    /// Earliest time of the next read.
    deadline m_nextRead;
    log_batch m_batch;
    // Receivers that have not accepted the current batch yet.
    std::vector<sink<log_batch>> m_undelivered;
    std::size_t m_inFlightAppends = 0;
    bool m_isUnreachable = false;
    bool m_isShuttingDown = false;
};

} // namespace burdockshelf
