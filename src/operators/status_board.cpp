#include "operators/status_board.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

/// Stores each kind of status update in its member of the board.
struct board_writer
{
    status_board &board;

    void operator()(identity_status &&part) const
    {
        board.identity = std::move(part);
    }

    void operator()(configuration_status &&part) const
    {
        board.configuration = part;
    }

    void operator()(roster_status &&part) const
    {
        board.roster = std::move(part);
    }

    void operator()(endpoints_status &&part) const
    {
        board.endpoints = std::move(part.endpoints);
    }

    void operator()(queues_status &&part) const
    {
        board.queues = std::move(part.queues);
    }

    void operator()(quotas_status &&part) const
    {
        board.quotas = std::move(part.workspaces);
    }

    void operator()(peer_status &&part) const
    {
        const instance_id instance = part.who.instance;
        board.peers[instance] = std::move(part);
    }

    void operator()(instance_list &&part) const
    {
        std::erase_if(board.peers, [&](const auto &entry) {
            return std::none_of(part.instances.begin(), part.instances.end(), [&](const listed_instance &listed) {
                return listed.instance == entry.first;
            });
        });
    }

    void operator()(reachability_status &&part) const
    {
        if (part.isReachable) {
            board.unreachable.erase(part.part);
            return;
        }
        const std::string name = part.part;
        board.unreachable[name] = std::move(part);
    }
};

} // namespace

void status_board::apply(status_update part)
{
    std::visit(board_writer {*this}, std::move(part));
}

} // namespace burdockshelf
