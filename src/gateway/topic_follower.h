#pragma once

#include "gateway/gateway_messages.h"
#include "gateway/timed_call.h"
#include "logging/log_writer_task.h"
#include "runtime/backoff.h"

#include <functional>
#include <map>

namespace burdockshelf
{

/// How a topic is followed.
struct follow_settings
{
    store_topic topic = store_topic::operators;
    /// The store holds a call open for this long while there is nothing new.
    std::chrono::milliseconds wait {};
    /// Pause between two calls.
    std::chrono::milliseconds pause {};
    /// Time that an answer may take beyond the wait.
    std::chrono::milliseconds answerTime {};
    /// How often everything is read anew, in case that records went without a trace.
    std::chrono::milliseconds rereadPause {};
};

/// Follows one topic: reads the newest record of each key, then the records behind them. Never reports a record that is older than one that
/// it has reported. Owned by store_task.
class topic_follower
{
public:
    using update_handler = std::function<void(dispatch_message)>;
    /// Told after each call whether the store has answered.
    using contact_handler = std::function<void(bool)>;

    topic_follower(event_loop &loop,
                   const socket_address &store,
                   const store_dialect &dialect,
                   follow_settings settings,
                   update_handler onUpdate,
                   contact_handler onContact,
                   event_log log,
                   random_source &random);

    void start();
    /// Reads on at once, in place of the rest of a pause. A store that fails is left its time.
    void hurry();

private:
    void next();
    void readNewest();
    void readOn();
    void takePage(const outcome<http_response> &answer);
    void takeBatch(const outcome<http_response> &answer);
    void noteSuccess();
    void retryLater(std::string_view cause);
    void waitForNext(std::chrono::milliseconds pause);

    const store_dialect &m_dialect;
    follow_settings m_settings;
    update_handler m_onUpdate;
    contact_handler m_onContact;
    event_log m_log;
    random_source &m_random;
    timed_call m_call;
    timer m_next;
    backoff m_backoff;
    bool m_readsNewest = true;
    bool m_isFailing = false;
    std::vector<store_record> m_page;
    std::string m_afterKey;
    store_offset m_pageEnd;
    store_offset m_position;
    std::map<std::string, store_offset> m_newest;
    deadline m_rereadAt;
};

} // namespace burdockshelf
