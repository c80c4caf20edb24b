#pragma once

#include "gateway/gateway_messages.h"
#include "gateway/serial_http_client.h"
#include "gateway/store_call_counter.h"
#include "gateway/store_gate.h"
#include "gateway/store_retry.h"
#include "gateway/topic_relay.h"
#include "gateway/topic_relay_client.h"
#include "logging/log_writer_task.h"
#include "runtime/backoff.h"

#include <functional>
#include <map>
#include <optional>

namespace burdockshelf
{

/// Timing of the polls at the store.
struct poll_timing
{
    /// How long the store may delay the response while there are no new records (long polling).
    std::chrono::milliseconds wait {};
    /// Pause between two polls.
    std::chrono::milliseconds pause {};
};

struct topic_follower_settings
{
    store_topic topic = store_topic::operators;
    /// Timing while this instance reads only for itself.
    poll_timing own;
    /// Timing while this instance also relays records to other instances. A request for any topic counts.
    poll_timing whileRelaying;
    /// Pause between two requests to the instance that reads at the store.
    std::chrono::milliseconds askPause {};
    /// Records from another instance are used only if the store's last response to that instance is not older than this.
    std::chrono::milliseconds maxRelayedAge {};
    /// Longest time for a response, in addition to the wait.
    std::chrono::milliseconds responseTimeout {};
    /// Longest time for a response after a failed call, once the store has answered a probe.
    std::chrono::milliseconds extendedTimeout {};
    /// Interval at which all newest records are read again, to detect changes for which the topic has no record.
    std::chrono::milliseconds rereadInterval {};
};

/// What the topics of an instance share: the source of records besides the store, the receivers of records, and the limit of calls to the
/// store.
struct topic_relays
{
    /// Requests records from the instance that reads at the store.
    topic_relay_client &relayClient;
    /// Serves records to the instances that request them from this one.
    topic_relay &relay;
    /// Shared by the topics of this instance.
    store_gate &gate;
};

/// Follows one topic: reads the newest record of each key at the store, then the records that follow. These come from another instance that
/// reads the topic at the store if there is a usable one, and no instance requests records from this one or the store does not respond to
/// this one; else from the store. While the store does not respond to this one, other holders of partitions count as readers, too. Ignores
/// stale responses of the store, whose end is before the records already read. Of the pages with the newest records only the end of the
/// first is compared, so a later page that is staler can lead to a report of a record older than one already reported. Owned by store_task.
class topic_follower
{
public:
    /// Passes records on to the dispatcher; returns false if they could not be delivered. The topic is then read anew after a pause.
    using update_handler = std::function<bool(dispatch_message)>;
    /// Called with true after a valid response of the store, including that the requested records are no longer stored, and after records
    /// from another instance were accepted; with false after a call to the store that failed or whose response could not be decoded. Not
    /// called when a response of another instance is unusable or shows that the newest records have to be read at the store.
    using contact_handler = std::function<void(bool)>;

    /// Longest pause before a failed call is repeated.
    static constexpr std::chrono::milliseconds maxRetryDelay {400};
    /// Pause before a topic is read anew whose records could not be delivered.
    static constexpr std::chrono::milliseconds undeliveredRetryDelay {100};

    topic_follower(event_loop &loop,
                   const socket_address &store,
                   const store_dialect &dialect,
                   store_call_counter calls,
                   topic_follower_settings settings,
                   topic_relays links,
                   update_handler onUpdate,
                   contact_handler onContact,
                   event_log log,
                   random_source &random);

    void start();
    /// Stops after the present call, or reads everything anew. A follower that was never started is paused.
    void setPaused(bool isPaused);
    /// Cuts a pause between polls short if this instance reads at the store. Does not cut the backoff after a failure short.
    void readNow();

private:
    void startNextCall();
    /// Postpones the next call while the store does not respond and another topic tries it. Returns whether it did.
    bool waitForStore(instant now);
    /// Makes a small call that shows whether the store responds, before the topic is read again.
    void probeStore();
    void readNewest();
    void readUpdates();
    void requestFromReader();
    void handleProbe(const outcome<http_response> &response);
    void handlePage(const outcome<http_response> &response);
    void finishPages();
    void handleBatch(const outcome<http_response> &response);
    void handleRelayed(const instance_id &reader, const outcome<peer_records_response> &response);
    /// True if the reader may have found a change without a record that this instance, which had another reader, does not know.
    bool mayHaveMissedChange(const peer_records_response &response, instant now) const;
    /// Returns why a response of another instance cannot be used, or an empty string if it can.
    std::string_view unusableReason(const outcome<peer_records_response> &response) const;
    /// Returns false if the records could not be delivered.
    bool applyRecords(std::vector<store_record> &&records, instant now);
    /// Reads all newest records after a pause, because records that were read could not be delivered.
    void readAnew();
    /// True while other instances request records of any topic from this one.
    bool isRelaying(instant now) const;
    /// True when the topic is to be read at the store and not through another instance.
    bool readsAtStore(instant now) const;
    /// True while the store does not respond and the changes that have records can be requested from another instance.
    bool mayPostponeFullRead(instant now) const;
    poll_timing pollTiming(instant now) const;
    /// The store has sent a valid response.
    void recordStoreContact();
    /// All that was to be read has been read.
    void recordSuccess();
    /// Time since this instance last had all records of the topic.
    std::chrono::milliseconds storeSilence(instant now) const;
    /// Records that all records that the store had at a time are known.
    void recordUpToDate(instant at);
    void retryLater(std::string_view cause);
    void scheduleNextCall(std::chrono::milliseconds pause);

    /// The newest known record of a key.
    struct newest_record
    {
        store_offset offset;
        bool isDropped = false;
    };

    /// Why all newest records have to be read.
    enum class full_read_cause
    {
        /// Nothing has been read yet, or records were missed.
        needed,
        /// Periodic check for changes without a record.
        check,
    };

    /// True when the newest records contain a change for which no record was received.
    bool hasUnreportedChange(const std::map<std::string, newest_record> &listed) const;

    const store_dialect &m_dialect;
    store_call_counter m_calls;
    topic_follower_settings m_settings;
    topic_relays m_relays;
    update_handler m_onUpdate;
    contact_handler m_onContact;
    event_log m_log;
    random_source &m_random;
    serial_http_client m_call;
    timer m_next;
    backoff m_backoff;
    /// Set while the newest records have to be read.
    std::optional<full_read_cause> m_fullReadCause = full_read_cause::needed;
    store_retry m_retry;
    /// When the present or last call to the store began.
    instant m_callBegunAt;
    /// When all records of the topic were last known.
    std::optional<instant> m_lastUpToDateAt;
    bool m_isRequestPending = false;
    bool m_isPaused = false;
    instant m_requestedAt;
    /// The next call goes to the store although there is a reader.
    bool m_readsOnceAtStore = false;
    /// The reader that responded last, and its resyncCount; unset until its first response.
    instance_id m_lastReader;
    std::optional<std::int64_t> m_readerResyncCount;
    std::vector<store_record> m_page;
    std::string m_afterKey;
    store_offset m_pageEnd;
    store_offset m_position;
    std::map<std::string, newest_record> m_newest;
    deadline m_rereadAt;
    instant m_pagesBegunAt;
    /// Changes without a record are known up to this time, when the newest records were last read.
    instant m_completeAt;
};

} // namespace burdockshelf
