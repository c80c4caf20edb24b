#pragma once

#include "gateway/gateway_messages.h"
#include "gateway/serial_http_client.h"
#include "gateway/topic_relay.h"
#include "gateway/topic_relay_client.h"
#include "logging/log_writer_task.h"
#include "runtime/backoff.h"

#include <functional>
#include <map>
#include <optional>

namespace burdockshelf
{

/// How often the store is called.
struct call_rhythm
{
    /// The store holds a call open for this long while there is nothing new.
    std::chrono::milliseconds wait {};
    /// Pause between two calls.
    std::chrono::milliseconds pause {};
};

/// How a topic is followed.
struct topic_follower_settings
{
    store_topic topic = store_topic::operators;
    /// While this instance reads for itself.
    call_rhythm own;
    /// While other instances read the topic here.
    call_rhythm whileRelaying;
    /// Pause between two asks at the instance that reads at the store.
    std::chrono::milliseconds askPause {};
    /// What another instance has read counts as long as the store has answered it within this time.
    std::chrono::milliseconds maxRelayedAge {};
    /// Time that an answer may take beyond the wait.
    std::chrono::milliseconds answerTime {};
    /// How often everything is read anew, in case that records went without a trace.
    std::chrono::milliseconds rereadPause {};
};

/// Where the records of a topic come from and whom they are handed on to, besides the store.
struct topic_links
{
    /// Another instance that reads at the store.
    topic_relay_client &source;
    /// Instances that read here.
    topic_relay &readers;
};

/// Follows one topic: reads the newest record of each key at the store, then the records behind them, at another instance if one reads them
/// there, else at the store. Never reports a record that is older than one that it has reported. Owned by store_task.
class topic_follower
{
public:
    using update_handler = std::function<void(dispatch_message)>;
    /// Told after each call whether the store has answered.
    using contact_handler = std::function<void(bool)>;

    topic_follower(event_loop &loop,
                   const socket_address &store,
                   const store_dialect &dialect,
                   topic_follower_settings settings,
                   topic_links links,
                   update_handler onUpdate,
                   contact_handler onContact,
                   event_log log,
                   random_source &random);

    void start();
    /// Reads on at the store at once, in place of the rest of a pause. A store that fails is left its time.
    void hurry();
    /// Another instance reads at the store from now on.
    void forgetReader();

private:
    void next();
    void readNewest();
    void readOn();
    void askReader();
    void takePage(const outcome<http_response> &answer);
    void finishPages();
    void takeBatch(const outcome<http_response> &answer);
    void takeRelayed(const outcome<peer_records_response> &answer);
    /// Why an answer of another instance cannot be used; empty when it can.
    std::string_view flawOf(const outcome<peer_records_response> &answer) const;
    void takeRecords(std::vector<store_record> &&records, instant now);
    /// Other instances read the topic here.
    bool readsForOthers(instant now) const;
    call_rhythm rhythm(instant now) const;
    void noteSuccess();
    /// How long the store has said nothing of the topic.
    std::chrono::milliseconds storeSilence(instant now) const;
    /// All that the store had to say of the topic at a time is known.
    void noteUpToDate(instant at);
    void retryLater(std::string_view cause);
    void waitForNext(std::chrono::milliseconds pause);

    /// The newest record of a key, as far as known.
    struct newest_record
    {
        store_offset offset;
        bool isDropped = false;
    };

    /// Why the newest records are read.
    enum class newest_cause
    {
        /// Nothing is known yet, or records were missed.
        needed,
        /// To make sure that no change went without a record.
        check,
    };

    /// The newest records say something that no record has told of.
    bool isSurprise(const std::map<std::string, newest_record> &listed) const;

    const store_dialect &m_dialect;
    topic_follower_settings m_settings;
    topic_links m_links;
    update_handler m_onUpdate;
    contact_handler m_onContact;
    event_log m_log;
    random_source &m_random;
    serial_http_client m_call;
    timer m_next;
    backoff m_backoff;
    /// Set while the newest records are to be read.
    std::optional<newest_cause> m_newestCause = newest_cause::needed;
    bool m_isFailing = false;
    /// When the store had nothing more to say.
    std::optional<instant> m_upToDateAt;
    bool m_isAsking = false;
    /// The reader's count of changes that no record told of, as it was last heard.
    std::optional<std::int64_t> m_resets;
    std::vector<store_record> m_page;
    std::string m_afterKey;
    store_offset m_pageEnd;
    store_offset m_position;
    std::map<std::string, newest_record> m_newest;
    deadline m_rereadAt;
};

} // namespace burdockshelf
