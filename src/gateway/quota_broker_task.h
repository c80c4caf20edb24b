#pragma once

#include "gateway/gateway_messages.h"
#include "gateway/quota_broker_messages.h"
#include "logging/log_writer_task.h"
#include "metrics/metric_batch.h"
#include "runtime/task.h"

#include <map>

namespace burdockshelf
{

struct quota_broker_settings
{
    instance_id instance;
    quota_tolerance tolerance;
    /// Number of partitions of the quota pool; must be the same on all instances.
    std::int64_t partitions = 1;
};

/// Receivers of the broker's messages.
struct quota_broker_addresses
{
    address<dispatch_message> dispatcher;
    address<group_message> group;
    address<mesh_supervisor_message> mesh;
    sink<metric_batch> metrics;
};

/// Grants requests the tokens of their workspaces' quotas: from this instance's own share, or by asking the holder of the workspace's quota
/// partition. Serves the requests of other instances for the partitions that this instance holds.
class quota_broker_task : public task<quota_broker_message>
{
public:
    quota_broker_task(std::shared_ptr<mailbox<quota_broker_message>> box,
                      quota_broker_settings settings,
                      quota_broker_addresses to,
                      event_log log);

    outcome<void> start() override;

private:
    /// A request for tokens that waits for the response of a partition holder.
    struct pending_quota_request
    {
        flow_id flow;
        workspace_id workspace;
        double cost = 0.0;
        peer_instance holder;
        instant sentAt;
    };

    void handle(quota_broker_message &&message) override;
    void apply(const quotas_changed &change);
    void apply(const instance_count_changed &change);
    void apply(const quota_request &request);
    void apply(const quota_returned &returned);
    void apply(const holders_listed &listed);
    void apply(const assignment_confirmed &confirmed);
    void apply(const peer_response &response);
    void apply(const peer_message_received &received);
    void apply(const peer_status &status);

    void handleDecision(const pending_quota_request &request, const quota_decision &decision);
    void perform(const pending_quota_request &request, const quota_granted &granted);
    void perform(const pending_quota_request &request, const quota_pending &asked);
    void perform(const pending_quota_request &request, const quota_refused &refused);
    void respond(flow_id flow, std::variant<quota_granted, quota_refused> decision);
    /// Posts one increment of a counter; a count that the metrics cannot take is lost.
    void count(std::string name, std::string label, std::string_view value, std::uint64_t amount);
    void post(const peer_instance &to, std::uint64_t exchange, peer_message message);
    void requestHolders();
    void logLease(const pending_quota_request &request, const pool_response &response, instant now);
    void noteUndelivered(post_result result, std::string_view receiver);

    quota_broker_settings m_settings;
    quota_broker_addresses m_to;
    event_log m_log;
    quota_broker m_broker;
    std::map<std::uint64_t, pending_quota_request> m_pending;
    std::uint64_t m_lastExchange = 0;
    std::vector<quota_partition> m_heldPartitions;
    /// At most one line about leases is written before this.
    deadline m_nextLeaseLine;
};

} // namespace burdockshelf
