#pragma once

#include "gateway/dialects.h"
#include "gateway/relay_readers.h"
#include "logging/log_writer_task.h"
#include "mesh/mesh_messages.h"

#include <functional>
#include <map>
#include <optional>

namespace burdockshelf
{

/// Requests records from other instances that read the topics at the store, so that only a few instances call the store. Owned by
/// store_task.
class topic_relay_client
{
public:
    /// Receives the reader that was asked, and its response.
    using handler = std::function<void(const instance_id &, const outcome<peer_records_response> &)>;

    /// The owner must pass the responses that arrive at the sink to receive().
    topic_relay_client(address<mesh_supervisor_message> mesh, sink<peer_response> answers, event_log log);

    /// Sets the instances to request records from, in order of preference; none when this instance reads at the store itself. Returns true
    /// if they differ from the previous ones.
    bool setReaders(std::vector<peer_instance> readers);
    /// True while there is a reader that is not blocked.
    bool isUsable(instant now) const;
    /// Requests records from the first reader that is not blocked; there must be one. The era is the latest one that this instance knows.
    void sendRequest(store_topic topic, store_offset from, std::optional<store_era> era, instant now, handler onAnswer);
    void receive(const peer_response &response);
    /// Stops requests to a reader for a while, after a failed or unusable response.
    void block(const instance_id &reader, std::string_view cause, instant now);

    /// How long the reader may delay the response while it has no new records.
    static constexpr std::chrono::milliseconds maxRecordsWait {500};
    /// Timeout of a request, including the wait.
    static constexpr std::chrono::milliseconds peerRequestTimeout {620};

private:
    address<mesh_supervisor_message> m_mesh;
    sink<peer_response> m_responses;
    event_log m_log;
    relay_readers m_readers;
    /// The requests in progress.
    struct pending_request
    {
        instance_id reader;
        handler onAnswer;
    };
    std::map<std::uint64_t, pending_request> m_pending;
    std::uint64_t m_lastExchange = 0;
};

} // namespace burdockshelf
