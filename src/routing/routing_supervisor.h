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

/// The mailboxes of routing, made before the tasks so that the other branches can be given addresses. They outlive restarts of the tasks.
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

/// Tasks of other branches that routing talks to.
struct routing_sinks
{
    address<log_task_message> log;
    sink<peer_envelope> peers;
    address<endpoints_message> endpoints;
    /// Others that hear of the state in force and of authority.
    std::vector<sink<view_changed>> views;
    std::vector<sink<authority_changed>> authority;
    /// Who shows operators what routing does.
    sink<configuration_report> configurationReports;
    sink<queues_report> queueReports;
    sink<owned_endpoints_report> endpointReports;
    sink<metric_batch> metrics;
};

/// The branch that drives the decisions. A task that is restarted has lost its state and needs to be told the state in force again, which
/// configuration_task does when it starts; so the tasks after a failed one are restarted too.
class routing_supervisor : public supervisor
{
public:
    routing_supervisor(event_loop &loop, const routing_mailboxes &boxes, const routing_settings &settings, const routing_sinks &links);
};

} // namespace burdockshelf
