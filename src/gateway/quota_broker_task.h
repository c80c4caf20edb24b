#pragma once

#include "gateway/gateway_messages.h"
#include "gateway/quota_broker_messages.h"
#include "logging/log_writer_task.h"
#include "runtime/task.h"

#include <map>

namespace burdockshelf
{

struct quota_broker_settings
{
    instance_id instance;
    quota_tolerance tolerance;
    /// Parts into which the quotas' pool is dealt; the same at all instances.
    std::int64_t parts = 1;
};

/// Where the broker's questions and answers go.
struct quota_broker_addresses
{
    address<dispatch_message> dispatcher;
    address<group_message> group;
    address<mesh_supervisor_message> mesh;
};

/// Grants requests the tokens of their workspaces, asks the holders of the pool's parts for them, and hands out the parts that this
/// instance holds.
class quota_broker_task : public task<quota_broker_message>
{
public:
    quota_broker_task(std::shared_ptr<mailbox<quota_broker_message>> box,
                      quota_broker_settings settings,
                      quota_broker_addresses to,
                      event_log log);

    outcome<void> start() override;

private:
    /// A request whose holder was asked.
    struct pending_ask
    {
        flow_id flow;
        workspace_id workspace;
        double cost = 0.0;
        peer_instance holder;
    };

    void handle(quota_broker_message &&message) override;
    void apply(const quotas_changed &change);
    void apply(const instance_count_changed &change);
    void apply(const quota_request &ask);
    void apply(const quota_returned &returned);
    void apply(const holders_listed &listed);
    void apply(const assignment_confirmed &confirmed);
    void apply(const peer_response &answer);
    void apply(const peer_message_received &received);
    void apply(const peer_status &status);

    void act(const pending_ask &ask, const quota_decision &decision);
    void perform(const pending_ask &ask, const quota_granted &granted);
    void perform(const pending_ask &ask, const quota_pending &asked);
    void perform(const pending_ask &ask, const quota_refused &refused);
    void answer(flow_id flow, std::variant<quota_granted, quota_refused> verdict);
    void post(const peer_instance &to, std::uint64_t exchange, peer_message message);
    void requestHolders();
    void noteUndelivered(post_result result, std::string_view receiver);

    quota_broker_settings m_settings;
    quota_broker_addresses m_to;
    event_log m_log;
    quota_broker m_broker;
    std::map<std::uint64_t, pending_ask> m_pending;
    std::uint64_t m_lastExchange = 0;
    std::vector<quota_partition> m_held;
};

} // namespace burdockshelf
