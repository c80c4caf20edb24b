#pragma once

#include "gateway/dialects.h"
#include "logging/log_writer_task.h"
#include "mesh/mesh_messages.h"

#include <functional>
#include <map>
#include <optional>

namespace burdockshelf
{

/// Requests records from another instance that reads the topics at the store, so that only a few instances call the store. Owned by
/// store_task.
class topic_relay_client
{
public:
    using handler = std::function<void(const outcome<peer_records_response> &)>;

    /// The owner must pass the responses that arrive at the sink to receive().
    topic_relay_client(address<mesh_supervisor_message> mesh, sink<peer_response> answers, event_log log);

    /// Sets the instance to request records from; nothing when this instance reads at the store itself. Returns true if it differs from the
    /// previous one.
    bool setReader(std::optional<peer_instance> reader);
    /// True while there is a reader and it is not blocked.
    bool isUsable(instant now) const;
    void sendRequest(store_topic topic, store_offset from, instant now, handler onAnswer);
    void receive(const peer_response &response);
    /// Stops requests to the reader for a while, after a failed or unusable response.
    void block(std::string_view cause, instant now);

    /// How long the reader may delay the response while it has no new records.
    static constexpr std::chrono::milliseconds maxRecordsWait {500};
    /// Timeout of a request, including the wait.
    static constexpr std::chrono::milliseconds peerRequestTimeout {620};

private:
    address<mesh_supervisor_message> m_mesh;
    sink<peer_response> m_responses;
    event_log m_log;
    std::optional<peer_instance> m_reader;
    deadline m_blockedUntil;
    std::map<std::uint64_t, handler> m_pending;
    std::uint64_t m_lastExchange = 0;
};

} // namespace burdockshelf
