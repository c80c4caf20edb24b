#include "gateway/gateway_tree.h"

#include "gateway/dispatch_task.h"
#include "gateway/duty_task.h"
#include "gateway/endpoint_link_task.h"
#include "gateway/monitor_task.h"
#include "gateway/store_task.h"

#include <cstdlib>
#include <utility>

#include <glog/logging.h>

namespace burdockshelf
{

namespace
{

constexpr std::size_t mailboxCapacity = 65536;
// Log lines are small, and what the writer cannot take is dropped and counted anyway.
constexpr std::size_t logMailboxCapacity = 4096;

template<typename Message>
std::shared_ptr<mailbox<Message>> makeBox(event_loop &loop, std::size_t capacity = mailboxCapacity)
{
    return std::make_shared<mailbox<Message>>(loop, capacity);
}

} // namespace

gateway_tree::gateway_tree(
    event_loop &loop, const gateway_settings &settings, const gateway_dialects &dialects, int logDescriptor, end_handler onEnd)
    : m_loop(loop)
    , m_onEnd(std::move(onEnd))
    , m_logBox(makeBox<log_line>(loop, logMailboxCapacity))
    , m_monitorBox(makeBox<monitor_message>(loop))
    , m_endpointBox(makeBox<endpoint_link_message>(loop))
    , m_dispatchBox(makeBox<dispatch_message>(loop))
    , m_storeBox(makeBox<store_message>(loop))
    , m_dutyBox(makeBox<duty_message>(loop))
    , m_frontBox(makeBox<front_message>(loop))
    , m_log(sink<log_line>([to = address(m_logBox)](log_line &&line) { return to.post(std::move(line)); }))
    , m_root(std::make_unique<supervisor>(loop, "gateway", std::make_unique<rest_for_one>()))
{
    random_source random;
    const incarnation_id incarnation(random.hexId());
    m_root->addChild({"log", [this, logDescriptor] {
                          return std::make_unique<log_writer_task>(m_loop, m_logBox, logDescriptor);
                      }});
    m_root->addChild({"monitor", [this, settings] {
                          const monitor_settings monitor = {settings.readinessAddress, settings.metricsAddress};
                          return std::make_unique<monitor_task>(m_loop, m_monitorBox, monitor);
                      }});
    m_root->addChild({"endpoints", [this, &endpoints = dialects.endpoints] {
                          return std::make_unique<endpoint_link_task>(m_loop, m_endpointBox, endpoints, address(m_dispatchBox), m_log);
                      }});
    m_root->addChild({"dispatcher", [this, settings, dialects, incarnation] {
                          const dispatch_settings dispatch = {
                              settings.instance, incarnation, settings.dataCentre, settings.repeats, settings.quotas, settings.grace};
                          dispatch_addresses to;
                          to.callers = address(m_frontBox);
                          to.endpoints = address(m_endpointBox);
                          to.store = address(m_storeBox);
                          to.duty = address(m_dutyBox);
                          to.readiness = makeSink<readiness_report>(address(m_monitorBox));
                          to.metrics = makeSink<metric_batch>(address(m_monitorBox));
                          return std::make_unique<dispatch_task>(m_loop, m_dispatchBox, dispatch, dialects, to, m_log, random_source());
                      }});
    m_root->addChild({"store", [this, settings, &store = dialects.store] {
                          const store_settings at = {settings.storeAddress, settings.instance, settings.configurationWithin};
                          return std::make_unique<store_task>(
                              m_loop, m_storeBox, at, store, address(m_dispatchBox), m_log, random_source());
                      }});
    m_root->addChild({"duty", [this, settings, &store = dialects.store, &endpoints = dialects.endpoints] {
                          const duty_settings duty = {settings.instance, settings.storeAddress, settings.dutyTurn, settings.prefillPercent};
                          return std::make_unique<duty_task>(m_loop, m_dutyBox, duty, store, endpoints, m_log);
                      }});
    m_root->addChild({"callers", [this, settings] {
                          const caller_front_settings front = {settings.callerAddress, settings.grace};
                          const sink<front_listening> listening([this](const front_listening &bound) {
                              m_callerAddress = bound.address;
                              m_log.write(log_line("gateway", "listening").add("address", bound.address.toString()));
                              return post_result::delivered;
                          });
                          return std::make_unique<caller_front_task>(m_loop, m_frontBox, front, address(m_dispatchBox), listening, m_log);
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
    if (m_dispatchBox->post(shutdown_begun {}) != post_result::delivered) {
        LOG(WARNING) << "gateway: the dispatcher did not hear of the shutdown.";
    }
    m_root->beginShutdown();
}

void gateway_tree::noteReload()
{
    m_log.write(log_line("gateway", "reload").add("outcome", "settings are read at the start only"));
}

} // namespace burdockshelf
