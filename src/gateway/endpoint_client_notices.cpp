// Reactions of endpoint_client_task to what endpoints state about the further requests that they want.

#include "gateway/endpoint_client_call.h"

#include <utility>

namespace burdockshelf
{

void endpoint_client_task::noteNotice(const call &answered, const response_facts &facts)
{
    const endpoint_process from = answered.command.process;
    if (facts.notice.isEmpty() || from.id.isEmpty()) {
        return;
    }
    m_notices.note(from, facts.notice, boot_clock::now());
    endpoint_notice_received received = {from, facts.notice, answered.command.expected, std::nullopt};
    if (facts.isMisdirected) {
        received.misdirectedTo = answered.command.address;
    }
    // Sent for every response, so that a restarted dispatcher learns of the notice as well.
    post(std::move(received));
    withholdUnsent(from);
}

bool endpoint_client_task::isUnwanted(const call &target, instant now) const
{
    const endpoint_process &process = target.command.process;
    // A leaving endpoint may still be told to release what it holds for this instance.
    const bool isRefusedByLeaving = !target.isFireAndForget && m_notices.isLeaving(process);
    return isRefusedByLeaving || !m_notices.pausedUntil(process).hasPassed(now);
}

void endpoint_client_task::withholdUnsent(const endpoint_process &process)
{
    const instant now = boot_clock::now();
    std::vector<call *> unsent;
    for (const auto &[key, target] : m_calls) {
        const bool isUnsent = target->connection && !target->connection->isConnected();
        if (target->command.process.id == process.id && isUnsent && isUnwanted(*target, now)) {
            unsent.push_back(target.get());
        }
    }
    for (call *target : unsent) {
        destroyLater(std::move(target->connection));
        withhold(*target);
    }
}

void endpoint_client_task::withhold(call &target)
{
    const call_key key = {target.command.flow, target.command.number};
    const endpoint_process &process = target.command.process;
    endpoint_notice notice;
    notice.isLeaving = m_notices.isLeaving(process);
    notice.pausedUntil = m_notices.pausedUntil(process);
    post(endpoint_notice_received {process, notice, target.command.expected, std::nullopt});
    report(target, attempt_outcome::withheld, notice.isLeaving ? "the endpoint is leaving" : "the endpoint is pausing");
    retire(key);
}

} // namespace burdockshelf
