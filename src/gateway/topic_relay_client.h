#pragma once

#include "gateway/dialects.h"
#include "gateway/relay_readers.h"
#include "logging/log_writer_task.h"
#include "mesh/mesh_messages.h"

#include <array>
#include <functional>
#include <map>
#include <optional>

namespace burdockshelf
{

/// Why another instance's response cannot be used.
enum class reader_failure
{
    /// It did not respond in time.
    unresponsive,
    /// It does not read the topic at the store, or the store does not respond to it.
    without_records,
};

/// The records of a topic that are requested from another instance.
struct records_query
{
    store_topic topic = store_topic::operators;
    store_offset from;
    /// The latest era of the store that this instance knows.
    std::optional<store_era> era;
    /// How long the other instance may delay its response while it has no new records.
    std::chrono::milliseconds wait {};
};

/// Requests records from other instances that read the topics at the store, so that only a few instances call the store. Owned by
/// store_task.
class topic_relay_client
{
public:
    /// Receives the reader that was asked, and its response.
    using handler = std::function<void(const instance_id &, const outcome<peer_records_response> &)>;

    /// The owner must pass the responses that arrive at the sink to receive().
    topic_relay_client(address<mesh_supervisor_message> mesh, sink<peer_response> answers, event_log log);

    /// Sets the instances to request records from, in order of preference; none when this instance reads at the store itself. The other
    /// holders are for the time in which the store does not respond to this instance.
    void setReaders(std::vector<peer_instance> readers, const std::vector<peer_instance> &otherHolders);
    /// True while there is a reader that is not blocked.
    bool isUsable(instant now) const;
    /// True while there is a reader or another holder that is not blocked.
    bool isAnyUsable(store_topic topic, instant now) const;
    /// Requests records from the first reader that is not blocked, or else from the first other holder that is not; there must be one. The
    /// wait of the query is at most maxRecordsWait.
    void sendRequest(const records_query &query, instant now, handler onAnswer);
    void receive(const peer_response &response);
    /// Stops requests to a reader for a while, after a failed or unusable response; requests to another holder for this topic only, as it
    /// reads only the topics that it is asked for.
    void block(const instance_id &reader, store_topic topic, reader_failure failure, std::string_view cause, instant now);

    /// How long the reader may delay the response while it has no new records.
    static constexpr std::chrono::milliseconds maxRecordsWait {500};
    /// Timeout of a request, including the wait.
    static constexpr std::chrono::milliseconds peerRequestTimeout {620};
    /// How long another holder that has no records of a topic is not asked for them. It begins to read the topic when it is asked, and the
    /// bounds leave no time to wait as long as for a reader that has failed.
    static constexpr std::chrono::milliseconds holderBlockPeriod {250};

private:
    /// Null when there is none.
    const peer_instance *findReader(store_topic topic, instant now) const;

    address<mesh_supervisor_message> m_mesh;
    sink<peer_response> m_responses;
    event_log m_log;
    relay_readers m_readers;
    std::array<relay_readers, followedTopicCount> m_otherHolders;
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
