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
    /// Longest time that the platform holds a read back while there is nothing new; bounds the age of what is known.
    std::chrono::milliseconds maxWait {1000};
    /// Time beyond the wait in which a read has to be answered. A connection that has gone silent is given up then.
    std::chrono::milliseconds readTimeout {1000};
    std::chrono::milliseconds appendTimeout {3000};
    /// Shortest time between two reads at the head of the log, so that a busy log is read in batches.
    std::chrono::milliseconds readInterval {20};
    std::chrono::milliseconds leastRetry {100};
    std::chrono::milliseconds mostRetry {2000};
    /// Records in one read.
    int readLimit = 1000;
    /// Appends in flight; more are refused as overloaded.
    std::size_t maxAppends = 64;
};

/// Who hears of the log.
struct log_task_sinks
{
    std::vector<sink<log_batch>> batches;
    std::vector<sink<log_unreachable>> outages;
};

/// Reads the platform's log by long polls, one at a time, and tries appends. The next read waits until every receiver has taken the batch
/// before, so that nobody misses a record. Reads from offset 0, which the platform answers from the oldest record kept.
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
    void takePage(instant sentAt, const struct log_page &page);
    void failRead(const error &cause);
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
    // Receivers that have not taken the batch yet.
    std::vector<sink<log_batch>> m_undelivered;
    std::size_t m_appends = 0;
    bool m_isUnreachable = false;
    bool m_isLeaving = false;
};

} // namespace burdockshelf
