#pragma once

#include "gateway/record_history.h"
#include "gateway/store_era_tracker.h"
#include "mesh/mesh_messages.h"
#include "runtime/timer.h"

#include <array>
#include <list>

namespace burdockshelf
{

/// Serves the records of the topics that this instance reads at the store to other instances. Owned by store_task.
class topic_relay
{
public:
    /// The responses bear the tracker's era, which must outlive this object.
    topic_relay(event_loop &loop, const store_era_tracker &era);

    /// This instance has read the newest record of each key, instead of the individual records up to the given offset. Clears the history,
    /// which continues at that offset, and increments resyncCount, so that the other instances read all newest records at the store.
    void recordSnapshot(store_topic topic, store_offset end, instant now);
    /// Appends records that this instance has received from the store or another instance.
    void recordUpdates(store_topic topic, const std::vector<store_record> &records);
    /// The store has responded to a read of the topic. Responds to the waiting requests for which there are records; the age reported to
    /// other instances counts from this time. The records of the response have been passed before, or follow at once with
    /// recordSnapshot(). After a check that is postponed because of unread records nothing is passed, and the reported age is too short
    /// until those records are read.
    void recordContact(store_topic topic, instant now);
    /// This instance no longer reads the topic at the store.
    void markNotReading(store_topic topic);

    /// The store has been restored: no topic has been read in its present era. Responds to the waiting requests.
    void beginEra();

    /// Replies immediately if there are records or the topic is not read here, otherwise once there are records or the request's wait, at
    /// most 1000 ms, has passed.
    void handleRequest(const peer_records_request &request, sink<peer_message> reply, instant now);
    /// Time of the last request from another instance, for any topic.
    instant lastRequestAt() const;

private:
    struct topic_state
    {
        record_history history;
        bool isReadAtStore = false;
        std::int64_t resyncCount = 0;
        instant resyncedAt;
        instant lastContactAt;
    };

    struct waiting_request
    {
        peer_records_request request;
        sink<peer_message> reply;
        deadline until;
    };

    topic_state *find(relayed_topic topic);
    /// True for an offset of an era before the present one, which means other records here.
    bool isOutdated(const peer_records_request &request) const;
    void respond(const peer_records_request &request, const sink<peer_message> &reply, instant now);
    void respondToWaiting(store_topic topic, instant now);
    void respondToExpired();

    const store_era_tracker &m_era;
    std::array<topic_state, followedTopicCount> m_topics;
    std::list<waiting_request> m_waiting;
    timer m_expiry;
    instant m_lastRequestAt;
};

} // namespace burdockshelf
