#pragma once

#include "mesh/mesh_supervisor.h"

#include <memory>

namespace burdockshelf
{

/// An instance that answers each question for records with far more of them than any instance keeps.
class talkative_peer
{
public:
    explicit talkative_peer(event_loop &loop);

    const socket_address &address() const;
    int answerCount() const;

private:
    post_result answer(const peer_message_received &message);

    std::shared_ptr<mailbox<mesh_supervisor_message>> m_box;
    socket_address m_address;
    std::unique_ptr<mesh_supervisor> m_branch;
    int m_answers = 0;
};

} // namespace burdockshelf
