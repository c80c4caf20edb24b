#pragma once

#include "gateway/dialects.h"
#include "logging/log_writer_task.h"
#include "mesh/mesh_messages.h"

#include <functional>
#include <map>
#include <optional>

namespace burdockshelf
{

/// Asks another instance, which reads the topics at the store, for their records. Few instances then call the store. Owned by store_task.
class topic_relay_client
{
public:
    using handler = std::function<void(const outcome<peer_records_response> &)>;

    /// Answers come to the given sink and are to be passed to take().
    topic_relay_client(address<mesh_supervisor_message> mesh, sink<peer_response> answers, event_log log);

    /// The instance to ask; nothing when this instance reads at the store itself. Returns true when it is another one than before.
    bool setReader(std::optional<peer_instance> reader);
    /// True while there is an instance to ask that has not failed lately.
    bool isUsable(instant now) const;
    void ask(store_topic topic, store_offset from, instant now, handler onAnswer);
    void take(const peer_response &answer);
    /// The instance did not answer as it should; it is not asked for a while.
    void block(std::string_view cause, instant now);

    /// How long an ask may wait for records.
    static constexpr std::chrono::milliseconds askWait {500};
    /// After this an ask has failed.
    static constexpr std::chrono::milliseconds peerRequestTimeout {620};

private:
    address<mesh_supervisor_message> m_mesh;
    sink<peer_response> m_answers;
    event_log m_log;
    std::optional<peer_instance> m_reader;
    deadline m_blockedUntil;
    std::map<std::uint64_t, handler> m_pending;
    std::uint64_t m_lastExchange = 0;
};

} // namespace burdockshelf
