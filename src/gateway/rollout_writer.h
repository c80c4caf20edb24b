#pragma once

#include "gateway/gateway_messages.h"
#include "gateway/serial_http_client.h"
#include "gateway/store_call_counter.h"
#include "logging/log_writer_task.h"

#include <functional>
#include <map>
#include <optional>

namespace burdockshelf
{

/// Writes this instance's reports about rollouts, and as the holder of stage control the decisions and the status for the operator, one
/// after the other. A newer record of a key replaces one that waits. A write that fails is not repeated here: the dispatcher asks again.
class rollout_writer
{
public:
    using status_handler = std::function<void(const rollout_decision &)>;

    rollout_writer(event_loop &loop,
                   const socket_address &store,
                   const store_dialect &dialect,
                   store_call_counter calls,
                   status_handler onStatusWritten,
                   event_log log);

    void write(publish_rollout_record &&record);
    void write(publish_rollout_status &&status);

private:
    struct pending_write
    {
        http_request request;
        /// Set for the status that the operator reads.
        std::optional<rollout_decision> status;
    };

    void add(const std::string &key, pending_write &&write);
    void writeNext();

    const store_dialect &m_dialect;
    store_call_counter m_calls;
    status_handler m_onStatusWritten;
    event_log m_log;
    serial_http_client m_client;
    std::map<std::string, pending_write> m_pending;
};

} // namespace burdockshelf
