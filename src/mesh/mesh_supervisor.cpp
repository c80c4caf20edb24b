#include "mesh/mesh_supervisor.h"

#include "mesh/peer_task.h"
#include "mesh/single_reply.h"

#include <utility>

#include <glog/logging.h>

namespace burdockshelf
{

namespace
{

constexpr std::size_t listenerMailboxCapacity = 4096;

} // namespace

mesh_supervisor::mesh_supervisor(event_loop &loop,
                                 std::shared_ptr<mailbox<mesh_supervisor_message>> box,
                                 mesh_settings settings,
                                 peer_codec codec,
                                 mesh_sinks outlets,
                                 random_source random)
    : supervisor(loop, "mesh", std::make_unique<one_for_one>())
    , m_loop(loop)
    , m_mailbox(std::move(box))
    , m_settings(std::move(settings))
    , m_codec(codec)
    , m_outlets(std::move(outlets))
    , m_random(random)
    , m_peers(m_settings.self.instance)
{
    const auto listenerMailbox = std::make_shared<mailbox<mesh_listener_message>>(loop, listenerMailboxCapacity);
    addChild({"listener", [this, listenerMailbox] {
                  return std::make_unique<mesh_listener_task>(
                      m_loop, listenerMailbox, m_settings, m_codec, m_outlets.received, m_outlets.listening);
              }});
    m_mailbox->attach([this](mesh_supervisor_message &&message) {
        std::visit([this](auto &&content) { handle(std::forward<decltype(content)>(content)); }, std::move(message));
    });
}

mesh_supervisor::~mesh_supervisor()
{
    m_mailbox->detach();
}

void mesh_supervisor::handle(const instance_list &list)
{
    const peer_changes changes = m_peers.update(list);
    for (const peer &target : changes.left) {
        removePeer(target);
    }
    for (const peer &target : changes.joined) {
        addPeer(target);
    }
}

void mesh_supervisor::handle(peer_envelope &&post)
{
    peer_request send = std::move(post.send);
    send.reply = single_reply::wrap(send.exchange, post.to, std::move(send.reply));
    const sink<peer_response> reply = send.reply;
    const std::uint64_t number = send.exchange;
    const auto refuse = [&](error_code code, std::string message) {
        // single_reply logs a response that a full mailbox refuses.
        static_cast<void>(reply.post({number, post.to, failure(code, std::move(message))}));
    };
    const auto found = m_children.find(post.to);
    if (found == m_children.end()) {
        refuse(error_code::connection_refused, "the peer is not in the instance list");
        return;
    }
    if (found->second.to.post(peer_task_message(std::move(send))) == post_result::full) {
        refuse(error_code::overloaded, "too many messages wait for the peer");
    }
}

void mesh_supervisor::addPeer(const peer &target)
{
    const auto box = std::make_shared<mailbox<peer_task_message>>(m_loop, m_settings.peerMailboxCapacity);
    const std::string name = "peer " + target.instance.value() + " #" + std::to_string(++m_lastChildNumber);
    m_children[target.instance] = {name, address<peer_task_message>(box)};
    addChild({name, [this, box, target] {
                  random_source random(m_random.below(std::numeric_limits<std::uint64_t>::max()));
                  return std::make_unique<peer_task>(m_loop, box, m_settings, target, m_codec, m_outlets.status, random);
              }});
}

void mesh_supervisor::removePeer(const peer &target)
{
    const auto found = m_children.find(target.instance);
    if (found != m_children.end()) {
        removeChild(found->second.name);
        m_children.erase(found);
    }
}

} // namespace burdockshelf
