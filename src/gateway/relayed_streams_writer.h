#pragma once

#include "gateway/dialects.h"
#include "gateway/serial_http_client.h"
#include "gateway/store_call_counter.h"
#include "logging/log_writer_task.h"
#include "mesh/mesh_messages.h"

#include <map>
#include <string>
#include <vector>

namespace burdockshelf
{

/// Records the open streams of other instances, to which the store does not respond, one after the other. A newer record of an instance
/// replaces one that waits. Owned by version_task.
class relayed_streams_writer
{
public:
    relayed_streams_writer(
        event_loop &loop, const socket_address &store, const store_dialect &dialect, store_call_counter calls, event_log log);

    /// Replies once the store has acknowledged the record, or refuses it.
    void write(const incarnation_id &writer, std::string record, sink<peer_message> reply);

private:
    struct pending_write
    {
        std::string record;
        std::vector<sink<peer_message>> replies;
    };

    void writeNext();
    void reply(const std::vector<sink<peer_message>> &to, bool isAccepted);

    const store_dialect &m_dialect;
    store_call_counter m_calls;
    event_log m_log;
    serial_http_client m_client;
    std::map<incarnation_id, pending_write> m_pending;
};

} // namespace burdockshelf
