#pragma once

#include "gateway/record_history.h"
#include "mesh/mesh_messages.h"
#include "runtime/timer.h"

#include <array>
#include <list>

namespace burdockshelf
{

/// Answers other instances with the records of the topics that this instance reads at the store. Owned by store_task.
class topic_relay
{
public:
    explicit topic_relay(event_loop &loop);

    /// All newest records were read up to an offset, in place of records.
    void noteReset(store_topic topic, store_offset end);
    /// Records that this instance has learned of, from the store or elsewhere.
    void noteRecords(store_topic topic, const std::vector<store_record> &records);
    /// The store has answered a read of the topic, and all that it said is noted.
    void noteContact(store_topic topic, instant now);
    /// The topic is no longer read at the store.
    void noteLeft(store_topic topic);

    /// Answers at once or when there are records, within the wait of the ask.
    void answer(const peer_records_request &ask, sink<peer_message> reply, instant now);
    /// When it was asked last.
    instant lastAsked() const;

private:
    struct topic_state
    {
        record_history history;
        bool isRead = false;
        std::int64_t resyncCount = 0;
        instant contactAt;
    };

    struct waiting_ask
    {
        peer_records_request ask;
        sink<peer_message> reply;
        deadline until;
    };

    topic_state *find(relayed_topic topic);
    void respond(const peer_records_request &ask, const sink<peer_message> &reply, instant now);
    void answerWaiting(store_topic topic, instant now);
    void expire();

    std::array<topic_state, 3> m_topics;
    std::list<waiting_ask> m_waiting;
    timer m_expiry;
    instant m_lastAsked;
};

} // namespace burdockshelf
