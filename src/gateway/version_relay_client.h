#pragma once

#include "gateway/relay_readers.h"
#include "gateway/version_messages.h"
#include "logging/log_writer_task.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace burdockshelf
{

/// Lets other instances look streams up and record open streams at the store while the store does not respond to this instance. Owned by
/// version_task.
class version_relay_client
{
public:
    using origin_handler = std::function<void(const peer_stream_origin &)>;
    using record_handler = std::function<void(bool isRecorded)>;

    /// The owner must pass the responses that arrive at the sink to receive().
    version_relay_client(address<mesh_supervisor_message> mesh, sink<peer_response> answers, event_log log);

    /// Sets the instances to ask, in order of preference.
    void setHolders(std::vector<peer_instance> holders);
    /// Asks one instance after the other until one has an answer of the store. The handler receives an uncertain answer if none has.
    void lookUp(const stream_lookup &lookup, instant now, const origin_handler &onFound);
    /// Asks one instance to record the open streams of this one.
    void record(const std::string &streams, instant now, const record_handler &onDone);
    void receive(const peer_response &response);

private:
    struct pending_request
    {
        instance_id holder;
        std::function<void(const outcome<peer_message> &)> onAnswer;
    };

    /// Returns false if there is nobody to ask.
    bool send(peer_message message, instant now, std::function<void(const outcome<peer_message> &)> onAnswer);
    /// Leaves out an instance that has failed for a while.
    void block(const instance_id &holder, std::string_view cause, instant now);

    address<mesh_supervisor_message> m_mesh;
    sink<peer_response> m_responses;
    event_log m_log;
    relay_readers m_holders;
    std::map<std::uint64_t, pending_request> m_pending;
    std::uint64_t m_lastExchange = 0;
};

} // namespace burdockshelf
