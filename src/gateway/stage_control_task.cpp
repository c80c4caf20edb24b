#include "gateway/stage_control_task.h"

#include <utility>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds engineCallTime {600};

std::string_view stageName(engine_stage stage)
{
    return stage == engine_stage::prefill ? "prefill" : "decode";
}

} // namespace

stage_control_task::stage_control_task(event_loop &loop,
                                       std::shared_ptr<mailbox<stage_control_message>> box,
                                       stage_control_settings settings,
                                       const endpoint_dialect &endpoints,
                                       event_log log)
    : task(std::move(box))
    , m_loop(loop)
    , m_settings(std::move(settings))
    , m_dialect(endpoints)
    , m_log(std::move(log))
    , m_lease(m_settings.minHandoverInterval)
    , m_balance(m_settings.prefillPercent)
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
    const bool wasHeld = m_lease.isHeld();
    m_lease.noteResponse(confirmed.holdsStageControl, confirmed.generation, confirmed.sentAt);
    if (m_lease.isHeld() != wasHeld) {
        m_log.write(log_line("duty", m_lease.isHeld() ? "held" : "lost").add("generation", m_lease.generation()));
    }
}

void stage_control_task::apply(engines_listed &&listed)
{
    m_engines = std::move(listed.engines);
    considerOrder();
}

void stage_control_task::considerOrder()
{
    const instant now = boot_clock::now();
    if (!m_lease.mayIssueOrders(now) || (m_order && m_order->isBusy())) {
        return;
    }
    const auto change = m_balance.next(m_engines, now);
    if (!change) {
        return;
    }
    m_order = std::make_unique<serial_http_client>(m_loop, change->endpoint.address);
    m_order->begin(m_dialect.requestEngineStatus(change->endpoint.id),
                   deadline::after(now, engineCallTime),
                   [this, change = *change](const outcome<http_response> &answer) { takeReport(change, answer); });
}

void stage_control_task::takeReport(const stage_change &change, const outcome<http_response> &answer)
{
    const auto report = answer ? m_dialect.decodeEngineStatus(answer.value()) : outcome<engine_status>(answer.error());
    const instant now = boot_clock::now();
    const bool isOrderable = report && !report.value().isBusy && report.value().stage != change.to;
    if (!isOrderable || !m_lease.mayIssueOrders(now)) {
        m_log.write(
            log_line("duty", "order_not_sent")
                .add("endpoint", change.endpoint.id)
                .add("stage", stageName(change.to))
                .add("cause",
                     report ? (isOrderable ? "the duty is no longer confirmed" : "the engine is busy or done") : report.error().message));
        // The engine is left alone for as long as if it had been ordered.
        m_balance.noteOrdered(change, now);
        return;
    }
    m_balance.noteOrdered(change, now);
    m_log.write(log_line("duty", "order_sent")
                    .add("endpoint", change.endpoint.id)
                    .add("stage", stageName(change.to))
                    .add("generation", m_lease.generation())
                    .add("orders_before", report.value().ordersAccepted));
    const stage_change_order order = {
        change.endpoint.id, change.to, m_settings.instance, m_lease.generation(), report.value().ordersAccepted};
    m_order->begin(m_dialect.orderStageChange(order),
                   deadline::after(now, engineCallTime),
                   [this, change](const outcome<http_response> &ordered) { takeOrdered(change, ordered); });
}

void stage_control_task::takeOrdered(const stage_change &change, const outcome<http_response> &answer)
{
    log_line line("duty", "order_answered");
    line.add("endpoint", change.endpoint.id);
    if (answer) {
        line.add("status", answer.value().status);
    } else {
        line.add("cause", answer.error().message);
    }
    m_log.write(std::move(line));
}

} // namespace burdockshelf
