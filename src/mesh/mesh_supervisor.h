#pragma once

#include "mesh/mesh_listener_task.h"
#include "mesh/mesh_messages.h"
#include "mesh/mesh_settings.h"
#include "mesh/peer_set.h"
#include "mesh/peer_sinks.h"
#include "runtime/supervisor.h"
#include "wire/peer_codec.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace burdockshelf
{

/// The receivers of the mesh's messages.
struct mesh_sinks
{
    peer_sinks received;
    std::vector<sink<peer_status>> status;
    /// Optional.
    sink<mesh_listening> listening;
};

/// Supervises the listener, and one peer_task for each other instance of the instance list. Passes outgoing messages to the peer_task of
/// the addressed instance.
class mesh_supervisor : public supervisor
{
public:
    mesh_supervisor(event_loop &loop,
                    std::shared_ptr<mailbox<mesh_supervisor_message>> box,
                    mesh_settings settings,
                    peer_codec codec,
                    mesh_sinks outlets,
                    random_source random);
    ~mesh_supervisor() override;

private:
    struct peer_child
    {
        std::string name;
        address<peer_task_message> to;
    };

    void handle(const instance_list &list);
    void handle(peer_envelope &&post);
    void addPeer(const peer &target);
    void removePeer(const peer &target);

    event_loop &m_loop;
    std::shared_ptr<mailbox<mesh_supervisor_message>> m_mailbox;
    mesh_settings m_settings;
    peer_codec m_codec;
    mesh_sinks m_outlets;
    random_source m_random;
    peer_set m_peers;
    std::map<instance_id, peer_child> m_children;
    // Makes the names of children unique: the old task of a peer may still be shutting down when the new one starts.
    std::uint64_t m_lastChildNumber = 0;
};

} // namespace burdockshelf
