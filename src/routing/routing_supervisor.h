#pragma once

#include "core/random_source.h"
#include "metrics/metric_batch.h"
#include "policy/quota_ledger.h"
#include "policy/roster_authority.h"
#include "routing/configuration_task.h"
#include "routing/router_settings.h"
#include "routing/routing_messages.h"
#include "routing/slot_task.h"
#include "routing/status_messages.h"
#include "runtime/supervisor.h"

#include <memory>
#include <string>
#include <vector>

namespace burdockshelf
{

struct routing_settings
{
    data_centre_id dataCentre;
    roster_member self;
    configuration_task_settings configuration;
    roster_settings roster;
    quota_settings quota;
    std::string quotaStrategy;
    slot_task_settings slots;
    router_settings router;
};

/// Mailboxes of the routing tasks. They are created before the tasks, so that other branches of the supervisor tree can be given addresses,
/// and outlive restarts of the tasks.
struct routing_mailboxes
{
    explicit routing_mailboxes(event_loop &loop);

    std::shared_ptr<mailbox<configuration_task_message>> configuration;
    std::shared_ptr<mailbox<roster_task_message>> roster;
    std::shared_ptr<mailbox<quota_task_message>> quota;
    std::shared_ptr<mailbox<slot_task_message>> slots;
    std::shared_ptr<mailbox<claim_task_message>> claims;
    std::shared_ptr<mailbox<router_task_message>> router;
};

/// Sinks and addresses of other branches of the supervisor tree that the routing tasks post to.
struct routing_sinks
{
    address<log_task_message> log;
    sink<peer_envelope> peers;
    address<endpoints_message> endpoints;
    /// Receivers of the state view and of the authority outside of routing.
    std::vector<sink<view_changed>> views;
    std::vector<sink<authority_changed>> authority;
    /// Receivers of the status reports and metrics for operators.
    sink<configuration_report> configurationReports;
    sink<queues_report> queueReports;
    sink<owned_endpoints_report> endpointReports;
    sink<metric_batch> metrics;
};

/// Supervisor of the tasks that make and execute the routing decisions. A restarted task has lost its state and needs to be sent the state
/// view again, which configuration_task does when it starts; therefore the tasks after a failed one are restarted too.
class routing_supervisor : public supervisor
{
public:
    routing_supervisor(event_loop &loop,
                       const routing_mailboxes &mailboxes,
                       const routing_settings &settings,
                       const routing_sinks &externalSinks);
};

} // namespace burdockshelf
