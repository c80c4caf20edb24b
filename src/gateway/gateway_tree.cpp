#include "gateway/gateway_tree.h"

#include "gateway/dispatch_task.h"
#include "gateway/endpoint_client_task.h"
#include "gateway/group_task.h"
#include "gateway/monitor_task.h"
#include "gateway/quota_broker_task.h"
#include "gateway/stage_control_task.h"
#include "gateway/store_task.h"
#include "gateway/version_task.h"
#include "mesh/mesh_supervisor.h"

#include <cstdlib>
#include <utility>

#include <glog/logging.h>
#include <sys/resource.h>

namespace burdockshelf
{

namespace
{

constexpr std::size_t mailboxCapacity = 65536;
// Log lines are small, and lines that the log writer cannot take are dropped and counted anyway.
constexpr std::size_t logMailboxCapacity = 4096;

// Mesh connections exist only to the holders of quota partitions, so there are few heartbeats.
constexpr std::chrono::milliseconds meshHeartbeatInterval {1000};
constexpr std::chrono::milliseconds meshHeartbeatTimeout {2500};
constexpr std::chrono::milliseconds meshConnectTimeout {300};
constexpr std::chrono::milliseconds meshDrainTime {100};
// Instances send each other at most 64 KB of records in one message, which their encoding may make three times as long.
constexpr byte_count maxPeerMessage {1024 * 1024};
constexpr byte_count maxReceivedFromPeer {4 * 1024 * 1024};
constexpr backoff_settings meshBackoff = {std::chrono::milliseconds(100), std::chrono::milliseconds(800)};

mesh_settings meshSettingsOf(const gateway_settings &settings, const incarnation_id &incarnation)
{
    mesh_settings mesh;
    mesh.self = {settings.instance, incarnation, settings.dataCentre};
    mesh.listenAddress = settings.peerAddress;
    mesh.heartbeatInterval = meshHeartbeatInterval;
    mesh.heartbeatTimeout = meshHeartbeatTimeout;
    mesh.connectTimeout = meshConnectTimeout;
    mesh.drainTime = meshDrainTime;
    mesh.backoff = meshBackoff;
    mesh.limits.body = maxPeerMessage;
    mesh.limits.received = maxReceivedFromPeer;
    return mesh;
}

/// The descriptors may be limited further by the environment than by the settings.
caller_memory_limits callerLimitsOf(const gateway_settings &settings)
{
    rlimit descriptors = {};
    std::int64_t available = settings.maxDescriptors;
    if (getrlimit(RLIMIT_NOFILE, &descriptors) == 0 && descriptors.rlim_cur < static_cast<rlim_t>(available)) {
        available = static_cast<std::int64_t>(descriptors.rlim_cur);
    }
    return caller_memory_limits::of(settings.memory, available);
}

template<typename Message>
std::shared_ptr<mailbox<Message>> makeMailbox(event_loop &loop, std::size_t capacity = mailboxCapacity)
{
    return std::make_shared<mailbox<Message>>(loop, capacity);
}

} // namespace

gateway_tree::gateway_tree(
    event_loop &loop, const gateway_settings &settings, const gateway_dialects &dialects, int logDescriptor, end_handler onEnd)
    : m_loop(loop)
    , m_onEnd(std::move(onEnd))
    , m_logMailbox(makeMailbox<log_line>(loop, logMailboxCapacity))
    , m_monitorMailbox(makeMailbox<monitor_message>(loop))
    , m_endpointClientMailbox(makeMailbox<endpoint_client_message>(loop))
    , m_meshMailbox(makeMailbox<mesh_supervisor_message>(loop))
    , m_quotaMailbox(makeMailbox<quota_broker_message>(loop))
    , m_dispatchMailbox(makeMailbox<dispatch_message>(loop))
    , m_versionMailbox(makeMailbox<version_message>(loop))
    , m_storeMailbox(makeMailbox<store_message>(loop))
    , m_stageControlMailbox(makeMailbox<stage_control_message>(loop))
    , m_groupMailbox(makeMailbox<group_message>(loop))
    , m_callerServerMailbox(makeMailbox<caller_server_message>(loop))
    , m_log(sink<log_line>([to = address(m_logMailbox)](log_line &&line) { return to.post(std::move(line)); }))
    , m_callerMemory(std::make_shared<caller_memory>(callerLimitsOf(settings)))
    , m_root(std::make_unique<supervisor>(loop, "gateway", std::make_unique<rest_for_one>()))
{
    random_source random;
    const incarnation_id incarnation(random.hexId());
    m_root->addChild({"log", [this, logDescriptor] {
                          return std::make_unique<log_writer_task>(m_loop, m_logMailbox, logDescriptor);
                      }});
    m_root->addChild({"monitor", [this, settings] {
                          const monitor_settings monitor = {settings.readinessAddress, settings.metricsAddress};
                          return std::make_unique<monitor_task>(m_loop, m_monitorMailbox, monitor);
                      }});
    m_root->addChild({"endpoints", [this, &endpoints = dialects.endpoints] {
                          return std::make_unique<endpoint_client_task>(
                              m_loop, m_endpointClientMailbox, endpoints, address(m_dispatchMailbox), m_log, m_callerMemory);
                      }});
    m_root->addChild({"mesh", [this, settings, incarnation] {
                          mesh_sinks outlets;
                          outlets.received.pool = makeSink<peer_message_received>(address(m_quotaMailbox));
                          outlets.received.topics = makeSink<peer_message_received>(address(m_storeMailbox));
                          outlets.received.streams = makeSink<peer_message_received>(address(m_versionMailbox));
                          outlets.status = {makeSink<peer_status>(address(m_quotaMailbox))};
                          outlets.listening = sink<mesh_listening>([this](const mesh_listening &bound) {
                              m_peerAddress = bound.address;
                              return post_result::delivered;
                          });
                          return std::make_unique<mesh_supervisor>(m_loop,
                                                                   m_meshMailbox,
                                                                   meshSettingsOf(settings, incarnation),
                                                                   peer_codec(makeRecordCodecTable(), messageLimits),
                                                                   outlets,
                                                                   random_source());
                      }});
    m_root->addChild({"quotas", [this, settings] {
                          const quota_broker_settings quotas = {settings.instance, settings.quotas, settings.quotaPartitions};
                          const quota_broker_addresses to = {address(m_dispatchMailbox),
                                                             address(m_groupMailbox),
                                                             address(m_meshMailbox),
                                                             makeSink<metric_batch>(address(m_monitorMailbox))};
                          return std::make_unique<quota_broker_task>(m_quotaMailbox, quotas, to, m_log);
                      }});
    m_root->addChild({"dispatcher", [this, settings, dialects, incarnation] {
                          const registration_grace_settings entries = {settings.silenceDetectionLimit, settings.maxDrainDelay};
                          dispatch_settings dispatch;
                          dispatch.instance = settings.instance;
                          dispatch.incarnation = incarnation;
                          dispatch.dataCentre = settings.dataCentre;
                          dispatch.cold = settings.cold;
                          dispatch.retryBudget = settings.retryBudget;
                          dispatch.entries = entries;
                          dispatch.gracePeriod = settings.gracePeriod;
                          if (settings.exposeShare) {
                              dispatch.rollouts =
                                  rollout_settings {*settings.exposeShare, settings.silenceDetectionLimit, settings.maxConfigurationDelay};
                          }
                          dispatch.pacesAllServices = settings.pacesAllServices;
                          dispatch_addresses to;
                          to.callers = address(m_callerServerMailbox);
                          to.endpoints = address(m_endpointClientMailbox);
                          to.store = address(m_storeMailbox);
                          to.quotas = address(m_quotaMailbox);
                          to.stageControl = address(m_stageControlMailbox);
                          to.versions = address(m_versionMailbox);
                          to.readiness = makeSink<readiness_report>(address(m_monitorMailbox));
                          to.metrics = makeSink<metric_batch>(address(m_monitorMailbox));
                          to.callerMemory = m_callerMemory;
                          return std::make_unique<dispatch_task>(m_loop, m_dispatchMailbox, dispatch, dialects, to, m_log, random_source());
                      }});
    m_root->addChild({"versions", [this, settings, incarnation, &store = dialects.store] {
                          const version_task_settings versions = {settings.storeAddress, settings.instance, incarnation};
                          const version_addresses to = {address(m_dispatchMailbox), address(m_meshMailbox), storeCallCounter()};
                          return std::make_unique<version_task>(m_loop, m_versionMailbox, versions, store, to, m_log, random_source());
                      }});
    m_root->addChild({"store", [this, settings, &store = dialects.store] {
                          const store_settings at = {
                              settings.storeAddress,
                              settings.instance,
                              {settings.maxConfigurationDelay, settings.silenceDetectionLimit, settings.maxDrainDelay},
                          };
                          const store_addresses to = {address(m_dispatchMailbox),
                                                      address(m_groupMailbox),
                                                      address(m_meshMailbox),
                                                      address(m_versionMailbox),
                                                      storeCallCounter(),
                                                      makeSink<metric_batch>(address(m_monitorMailbox))};
                          return std::make_unique<store_task>(m_loop, m_storeMailbox, at, store, to, m_log, random_source());
                      }});
    m_root->addChild({"duty", [this, settings, &endpoints = dialects.endpoints] {
                          const stage_control_settings stageControl = {
                              settings.instance, settings.minHandoverInterval, settings.prefillPercent, settings.exposeShare.has_value()};
                          return std::make_unique<stage_control_task>(
                              m_loop, m_stageControlMailbox, stageControl, endpoints, address(m_dispatchMailbox), m_log);
                      }});
    m_root->addChild({"group", [this, settings, &store = dialects.store] {
                          const group_settings group = {{settings.instance, m_peerAddress}, settings.storeAddress};
                          const group_addresses to = {address(m_stageControlMailbox),
                                                      address(m_quotaMailbox),
                                                      address(m_storeMailbox),
                                                      address(m_versionMailbox),
                                                      address(m_meshMailbox),
                                                      storeCallCounter()};
                          return std::make_unique<group_task>(m_loop, m_groupMailbox, group, store, to, m_log);
                      }});
    m_root->addChild(
        {"callers", [this, settings, &callers = dialects.callers] {
             const caller_server_settings callerServer = {settings.callerAddress, settings.gracePeriod};
             const sink<caller_server_listening> listening([this](const caller_server_listening &bound) {
                 m_callerAddress = bound.address;
                 m_log.write(log_line("gateway", "listening").add("address", bound.address.toString()));
                 return post_result::delivered;
             });
             return std::make_unique<caller_server_task>(
                 m_loop, m_callerServerMailbox, callerServer, m_callerMemory, callers, address(m_dispatchMailbox), listening, m_log);
         }});
    m_root->setHandlers(
        [this](const error &cause) {
            LOG(ERROR) << "gateway: the supervisor tree failed: " << cause << ".";
            m_onEnd(EXIT_FAILURE);
        },
        [this] { m_onEnd(EXIT_SUCCESS); });
    m_log.write(log_line("gateway", "start")
                    .add("instance", settings.instance)
                    .add("incarnation", incarnation)
                    .add("data_centre", settings.dataCentre)
                    .add("store", settings.storeAddress.toString()));
}

gateway_tree::~gateway_tree() = default;

outcome<void> gateway_tree::start()
{
    return m_root->start();
}

store_call_counter gateway_tree::storeCallCounter() const
{
    return store_call_counter(makeSink<metric_batch>(address(m_monitorMailbox)));
}

const socket_address &gateway_tree::callerAddress() const
{
    return m_callerAddress;
}

void gateway_tree::beginShutdown()
{
    if (m_isShuttingDown) {
        return;
    }
    m_isShuttingDown = true;
    m_log.write(log_line("gateway", "stop"));
    if (m_dispatchMailbox->post(shutdown_begun {}) != post_result::delivered) {
        LOG(WARNING) << "gateway: cannot notify the dispatcher of the shutdown: mailbox full.";
    }
    m_root->beginShutdown();
}

void gateway_tree::logIgnoredReload()
{
    m_log.write(log_line("gateway", "reload").add("outcome", "ignored: settings are read at startup only"));
}

} // namespace burdockshelf
