#include "gateway/stage_control_task.h"

#include "gateway/response_limits.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds engineCallTimeout {600};

std::string_view stageName(engine_stage stage)
{
    return stage == engine_stage::prefill ? "prefill" : "decode";
}

std::string_view causeOfMissingOrder(const outcome<engine_status> &status, bool mayBeCalled, bool isOrderable)
{
    if (!mayBeCalled) {
        return "the engine leaves or pauses";
    }
    if (!status) {
        return status.error().message;
    }
    return isOrderable ? "the stage control is no longer confirmed" : "the engine is changing its stage or is already in the requested one";
}

} // namespace

stage_control_task::stage_control_task(event_loop &loop,
                                       std::shared_ptr<mailbox<stage_control_message>> box,
                                       stage_control_settings settings,
                                       const endpoint_dialect &endpoints,
                                       address<dispatch_message> dispatcher,
                                       event_log log)
    : task(std::move(box))
    , m_loop(loop)
    , m_settings(std::move(settings))
    , m_dialect(endpoints)
    , m_dispatcher(std::move(dispatcher))
    , m_log(std::move(log))
    , m_lease(m_settings.minHandoverInterval)
    , m_balancer(m_settings.prefillPercent)
{
}

outcome<void> stage_control_task::start()
{
    return success();
}

void stage_control_task::handle(stage_control_message &&message)
{
    std::visit([this](auto &&typed) { apply(std::forward<decltype(typed)>(typed)); }, std::move(message));
}

void stage_control_task::apply(const assignment_confirmed &confirmed)
{
    // The dispatcher decides about rollouts under the same assignment.
    if (m_settings.hasRollouts && m_dispatcher.post(confirmed) != post_result::delivered) {
        m_log.write(log_line("duty", "message_dropped").add("receiver", "dispatcher"));
    }
    const bool wasHeld = m_lease.isHeld();
    m_lease.noteResponse(confirmed.holdsStageControl, confirmed.generation, confirmed.sentAt);
    if (m_lease.isHeld() != wasHeld) {
        m_log.write(log_line("duty", m_lease.isHeld() ? "held" : "lost").add("generation", m_lease.generation()));
    }
}

void stage_control_task::apply(engines_listed &&listed)
{
    m_engines = std::move(listed.engines);
    orderNextChange();
}

void stage_control_task::orderNextChange()
{
    const instant now = boot_clock::now();
    if (!m_lease.mayIssueOrders(now) || (m_engineClient && m_engineClient->isBusy())) {
        return;
    }
    const auto change = m_balancer.next(m_engines, now);
    if (!change) {
        return;
    }
    m_engineClient = std::make_unique<serial_http_client>(m_loop, change->endpoint.address);
    m_engineClient->begin(m_dialect.requestEngineStatus(change->endpoint.id),
                          deadline::after(now, engineCallTimeout),
                          response_limits::engineStatus,
                          [this, change = *change](const outcome<http_response> &response) { handleEngineStatus(change, response); });
}

void stage_control_task::handleEngineStatus(const stage_change &change, const outcome<http_response> &response)
{
    const auto status = response ? m_dialect.decodeEngineStatus(response.value()) : outcome<engine_status>(response.error());
    const instant now = boot_clock::now();
    const bool mayBeCalled = noteNotice(change.endpoint, response);
    const bool isOrderable = mayBeCalled && status && !status.value().isBusy && status.value().stage != change.to;
    if (!isOrderable || !m_lease.mayIssueOrders(now)) {
        m_log.write(log_line("duty", "order_not_sent")
                        .add("endpoint", change.endpoint.id)
                        .add("stage", stageName(change.to))
                        .add("cause", causeOfMissingOrder(status, mayBeCalled, isOrderable)));
        // Waits as long before the next order to this engine as if this order had been sent.
        m_balancer.noteOrdered(change, now);
        return;
    }
    m_balancer.noteOrdered(change, now);
    m_log.write(log_line("duty", "order_sent")
                    .add("endpoint", change.endpoint.id)
                    .add("stage", stageName(change.to))
                    .add("generation", m_lease.generation())
                    .add("orders_before", status.value().ordersAccepted));
    const stage_change_order order = {
        change.endpoint.id, change.to, m_settings.instance, m_lease.generation(), status.value().ordersAccepted};
    m_engineClient->begin(m_dialect.orderStageChange(order),
                          deadline::after(now, engineCallTimeout),
                          response_limits::acknowledgement,
                          [this, change](const outcome<http_response> &ordered) { handleOrderResponse(change, ordered); });
}

bool stage_control_task::noteNotice(const engine_snapshot &engine, const outcome<http_response> &response)
{
    const instant now = boot_clock::now();
    const endpoint_process process = {engine.id, engine.startTime};
    if (response) {
        const endpoint_notice notice = m_dialect.decodeResponseHead(response.value(), now).notice;
        if (!notice.isEmpty()) {
            m_notices.note(process, notice, now);
            if (m_dispatcher.post(endpoint_notice_received {process, notice, {}, std::nullopt}) != post_result::delivered) {
                m_log.write(log_line("duty", "message_dropped").add("receiver", "dispatcher"));
            }
        }
    }
    const auto listed = std::find_if(m_engines.begin(), m_engines.end(), [&](const engine_snapshot &one) { return one.id == engine.id; });
    const bool isListed = listed != m_engines.end() && listed->startTime == engine.startTime && listed->mayBeCalled;
    return isListed && !m_notices.isLeaving(process) && m_notices.pausedUntil(process).hasPassed(now);
}

void stage_control_task::handleOrderResponse(const stage_change &change, const outcome<http_response> &response)
{
    noteNotice(change.endpoint, response);
    log_line line("duty", "order_answered");
    line.add("endpoint", change.endpoint.id);
    if (response) {
        line.add("status", response.value().status);
    } else {
        line.add("cause", response.error().message);
    }
    m_log.write(std::move(line));
}

} // namespace burdockshelf
