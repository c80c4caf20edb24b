#include "burdockshelfd/instance_tree.h"

#include "callers/callers_supervisor.h"
#include "endpoints/endpoints_supervisor.h"
#include "log_service/log_service_supervisor.h"
#include "mesh/mesh_supervisor.h"
#include "operators/operators_supervisor.h"
#include "routing/routing_supervisor.h"
#include "wire/record_codec.h"
#include "wire/snapshot_codec.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <utility>

#include <glog/logging.h>

namespace burdockshelf
{

namespace
{

constexpr std::size_t mailboxCapacity = 65536;

template<typename Message>
sink<Message> sinkFrom(std::function<post_result(Message &&)> post)
{
    return sink<Message>(std::move(post));
}

// Prints the bound addresses to standard output, one per line, so that a script that requested free ports (port 0) can read them.
void printAddress(std::string_view listener, const socket_address &bound)
{
    std::cout << listener << ' ' << bound << std::endl;
}

sink<attempt_event> attemptSink(address<router_task_message> router)
{
    return sink<attempt_event>([router = std::move(router)](attempt_event &&event) {
        return std::visit([&router](auto &&typed) { return router.post(std::forward<decltype(typed)>(typed)); }, std::move(event));
    });
}

template<typename Part>
sink<Part> statusSink(address<operations_message> operations)
{
    return sink<Part>([operations = std::move(operations)](Part &&part) { return operations.post(status_update(std::move(part))); });
}

sink<configuration_report> configurationStatus(address<operations_message> operations)
{
    return sink<configuration_report>([operations = std::move(operations)](const configuration_report &report) {
        return operations.post(status_update(configuration_status {report.version, report.covered}));
    });
}

sink<queues_report> queuesStatus(address<operations_message> operations)
{
    return sink<queues_report>([operations = std::move(operations)](const queues_report &report) {
        queues_status status;
        for (const queue_length &queue : report.queues) {
            status.queues.push_back({queue.urgency, queue.length});
        }
        return operations.post(status_update(std::move(status)));
    });
}

endpoint_condition conditionOf(owned_endpoint_state state)
{
    switch (state) {
    case owned_endpoint_state::healthy:
        return endpoint_condition::healthy;
    case owned_endpoint_state::warming:
        return endpoint_condition::warming;
    case owned_endpoint_state::unreachable:
        return endpoint_condition::unhealthy;
    case owned_endpoint_state::drained:
        return endpoint_condition::drained;
    }
    return endpoint_condition::unhealthy;
}

sink<owned_endpoints_report> endpointsStatus(address<operations_message> operations)
{
    return sink<owned_endpoints_report>([operations = std::move(operations)](const owned_endpoints_report &report) {
        endpoints_status status;
        for (const owned_endpoint &owned : report.endpoints) {
            status.endpoints.push_back({owned.endpoint, conditionOf(owned.state), owned.used, owned.limit});
        }
        return operations.post(status_update(std::move(status)));
    });
}

sink<authority_changed> rosterStatus(address<operations_message> operations)
{
    return sink<authority_changed>([operations = std::move(operations)](authority_changed &&changed) {
        const decision_authority &authority = *changed.authority;
        return operations.post(status_update(roster_status {authority.epoch, authority.members, authority.until}));
    });
}

sink<log_batch> logReachable(address<operations_message> operations)
{
    return sink<log_batch>([operations = std::move(operations)](log_batch &&) {
        return operations.post(status_update(reachability_status {"log", true, {}}));
    });
}

sink<log_unreachable> logUnreachable(address<operations_message> operations)
{
    return sink<log_unreachable>([operations = std::move(operations)](log_unreachable &&lost) {
        return operations.post(status_update(reachability_status {"log", false, std::move(lost.cause)}));
    });
}

} // namespace

/// Holds the branches from their construction until the root supervisor starts and takes them over in start order.
struct instance_tree::branches
{
    std::unique_ptr<supervised_child> operators;
    std::unique_ptr<supervised_child> platform;
    std::unique_ptr<supervised_child> mesh;
    std::unique_ptr<supervised_child> endpoints;
    std::unique_ptr<supervised_child> routing;
    std::unique_ptr<supervised_child> callers;
};

instance_tree::instance_tree(event_loop &loop, const daemon_settings &settings, end_handler onEnd)
    : m_loop(loop)
    , m_onEnd(std::move(onEnd))
    , m_shutdownTimeout(settings.shutdownTimeout)
    , m_branches(std::make_unique<branches>())
    , m_operations(std::make_shared<mailbox<operations_message>>(loop, mailboxCapacity))
    , m_readiness(settings.instance, settings.dataCentre, address(m_operations))
    , m_root(std::make_unique<supervisor>(loop, "root", std::make_unique<one_for_one>(), restart_limit {0, std::chrono::seconds(1)}))
    , m_shutdownTimer(loop, [this] {
        LOG(ERROR) << "supervisor: the graceful shutdown exceeded its time limit; exiting without completing the remaining work.";
        m_onEnd(EXIT_FAILURE);
    })
{
    addBranches(settings);
    m_root->setHandlers(
        [this](const error &cause) {
            LOG(ERROR) << "supervisor: the root supervisor failed: " << cause << ".";
            m_onEnd(EXIT_FAILURE);
        },
        [this] { m_onEnd(EXIT_SUCCESS); });
}

instance_tree::~instance_tree() = default;

outcome<void> instance_tree::start()
{
    return m_root->start();
}

void instance_tree::beginShutdown()
{
    if (m_isShuttingDown) {
        return;
    }
    m_isShuttingDown = true;
    LOG(INFO) << "supervisor: starting graceful shutdown.";
    m_readiness.setShuttingDown();
    m_shutdownTimer.start(deadline::after(boot_clock::now(), m_shutdownTimeout));
    m_root->beginShutdown();
}

void instance_tree::addBranches(const daemon_settings &settings)
{
    const roster_member self = {settings.instance, incarnation_id(random_source().hexId())};
    const address<operations_message> operations(m_operations);
    const routing_mailboxes routing(m_loop);
    const auto meshBox = std::make_shared<mailbox<mesh_supervisor_message>>(m_loop, mailboxCapacity);
    const auto endpointsBox = std::make_shared<mailbox<endpoints_message>>(m_loop, mailboxCapacity);
    const address<mesh_supervisor_message> mesh(meshBox);
    const address<router_task_message> router(routing.router);

    operations_settings operationsSettings;
    operationsSettings.listenAddress = settings.operatorsListen;
    m_branches->operators = std::make_unique<operators_supervisor>(
        m_loop, m_operations, operationsSettings, sinkFrom<operations_listening>([](operations_listening &&listening) {
            printAddress("operators", listening.address);
            return post_result::delivered;
        }));
    if (m_operations->post(status_update(identity_status {self.instance, self.incarnation, settings.dataCentre}))
        != post_result::delivered) {
        LOG(WARNING) << "operators: the identity of the instance could not be delivered to operations_task.";
    }

    log_service_settings platformSettings;
    platformSettings.log.platform = settings.platform;
    // The lease of the decision authority starts when a log read is sent, and the next read can again take up to maxWait. Reads that take
    // longer than a third of the lease cause gaps in the authority.
    platformSettings.log.maxWait =
        std::min(platformSettings.log.maxWait, std::chrono::duration_cast<std::chrono::milliseconds>(settings.roster.lease / 3));
    platformSettings.instances.platform = settings.platform;
    platformSettings.instances.interval = settings.instanceListInterval;
    platformSettings.instances.self = {self.instance, self.incarnation, settings.dataCentre, settings.meshListen, instance_state::live};
    log_service_sinks platformSinks;
    platformSinks.log.batches = {
        makeSink<log_batch>(address(routing.configuration)),
        makeSink<log_batch>(address(routing.roster)),
        logReachable(operations),
    };
    platformSinks.log.outages = {
        makeSink<log_unreachable>(address(routing.configuration)),
        makeSink<log_unreachable>(address(routing.roster)),
        logUnreachable(operations),
    };
    platformSinks.instances = {
        makeSink<instance_list>(address(routing.roster)),
        makeSink<instance_list>(mesh),
        statusSink<instance_list>(operations),
    };
    auto platform = std::make_unique<log_service_supervisor>(m_loop, platformSettings, platformSinks, random_source());
    const address<log_task_message> log = platform->log();
    const address<instance_list_task_message> instances = platform->instances();
    m_branches->platform = std::move(platform);

    mesh_settings meshSettings;
    meshSettings.self = {self.instance, self.incarnation, settings.dataCentre};
    meshSettings.listenAddress = settings.meshListen;
    meshSettings.heartbeatInterval = settings.heartbeatInterval;
    meshSettings.heartbeatTimeout = settings.heartbeatTimeout;
    mesh_sinks outlets;
    outlets.received.configuration = makeSink<peer_message_received>(address(routing.configuration));
    outlets.received.roster = makeSink<peer_message_received>(address(routing.roster));
    outlets.received.quota = makeSink<peer_message_received>(address(routing.quota));
    outlets.received.slots = makeSink<peer_message_received>(address(routing.slots));
    outlets.status = {
        makeSink<peer_status>(address(routing.configuration)),
        makeSink<peer_status>(address(routing.roster)),
        makeSink<peer_status>(address(routing.quota)),
        makeSink<peer_status>(address(routing.slots)),
        statusSink<peer_status>(operations),
    };
    outlets.listening = sinkFrom<mesh_listening>([instances](mesh_listening &&listening) {
        printAddress("mesh", listening.address);
        return instances.post(announce_address {listening.address});
    });
    m_branches->mesh =
        std::make_unique<mesh_supervisor>(m_loop, meshBox, meshSettings, peer_codec(makeRecordCodecTable()), outlets, random_source());

    endpoint_report_sinks reports;
    reports.attempts = attemptSink(router);
    reports.load = makeSink<load_report>(address(routing.slots));
    reports.unreachable = makeSink<endpoint_unreachable>(address(routing.slots));
    m_branches->endpoints = std::make_unique<endpoints_supervisor>(m_loop, endpointsBox, reports);

    routing_settings routingSettings;
    routingSettings.dataCentre = settings.dataCentre;
    routingSettings.self = self;
    routingSettings.configuration.self = self;
    routingSettings.configuration.idempotencyWindow = settings.idempotencyWindow;
    routingSettings.configuration.reallocationWindow = std::chrono::ceil<std::chrono::milliseconds>(2 * settings.roster.takeoverWait);
    routingSettings.configuration.retention = settings.logRetention;
    routingSettings.roster = settings.roster;
    routingSettings.quota.dataCentre = settings.dataCentre;
    routingSettings.quota.self = self;
    routingSettings.quota.reallocationDelay = settings.roster.takeoverWait;
    routingSettings.quotaStrategy = settings.quotaStrategy;
    routingSettings.router = settings.router;
    routing_sinks links;
    links.log = log;
    links.peers = makeSink<peer_envelope>(mesh);
    links.endpoints = address(endpointsBox);
    links.views = {
        sinkFrom<view_changed>([this](view_changed &&changed) {
            m_readiness.setView(*changed.view);
            return post_result::delivered;
        }),
        sinkFrom<view_changed>([to = address(endpointsBox)](view_changed &&changed) { return to.post(endpoints_changed {changed.view}); }),
    };
    links.authority = {rosterStatus(operations)};
    links.configurationReports = configurationStatus(operations);
    links.queueReports = queuesStatus(operations);
    links.endpointReports = endpointsStatus(operations);
    links.metrics = makeSink<metric_batch>(operations);
    m_branches->routing = std::make_unique<routing_supervisor>(m_loop, routing, routingSettings, links);

    caller_listener_sinks callerLinks;
    callerLinks.requests = makeSink<caller_request>(router);
    callerLinks.gone = makeSink<caller_disconnected>(router);
    callerLinks.onListening = [this](const socket_address &bound) {
        printAddress("callers", bound);
        m_readiness.setListening();
    };
    m_branches->callers = makeCallersSupervisor(m_loop, settings.callers, callerLinks);

    const auto add = [this](const std::string &name, std::unique_ptr<supervised_child> branches::*member) {
        m_root->addChild({name, [this, member] {
                              return std::move((*m_branches).*member);
                          }});
    };
    add("operators", &branches::operators);
    add("platform", &branches::platform);
    add("mesh", &branches::mesh);
    add("endpoints", &branches::endpoints);
    add("routing", &branches::routing);
    add("callers", &branches::callers);
}

} // namespace burdockshelf
