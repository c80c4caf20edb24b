// Keeps the connections of callers within the account of memory and descriptors.

#include "gateway/caller_server_task.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

// A connection that waits for its caller for less than this is not shed.
constexpr milliseconds minStall {1000};
// A caller that has read nothing for this long while the account is over its bound is disconnected.
constexpr milliseconds minUnreadStall {200};
// Of the connections without progress for the longest, as many are compared by the memory they hold.
constexpr int maxCompared = 16;
constexpr int maxLinesPerPeriod = 20;
constexpr milliseconds linePeriod {1000};
constexpr std::int64_t minUnsent = 64 * 1024;

} // namespace

memory_charge caller_server_task::chargeFor(source_address source)
{
    return {m_memory, source};
}

bool caller_server_task::makeRoom(const caller_connection &needy, memory_bound exceeded)
{
    caller_connection *largest = nullptr;
    int compared = 0;
    const instant now = boot_clock::now();
    for (caller_connection *candidate : m_reading.byProgress()) {
        if (now - candidate->lastProgress() < minStall || ++compared > maxCompared) {
            break;
        }
        const bool isInBound = exceeded != memory_bound::source || candidate->source() == needy.source();
        const bool isLarger = largest == nullptr || candidate->heldMemory() > largest->heldMemory();
        if (candidate != &needy && isInBound && isLarger && candidate->heldMemory() > byte_count()) {
            largest = candidate;
        }
    }
    if (largest == nullptr) {
        return false;
    }
    m_reading.remove(*largest);
    largest->shed(exceeded);
    return true;
}

bool caller_server_task::makeRoomForConnection(source_address source)
{
    const instant now = boot_clock::now();
    memory_bound exceeded = m_memory->boundForConnection(source);
    for (const caller_waiting_list *waiting : {&m_reading, &m_idle}) {
        while (exceeded != memory_bound::none && !waiting->byProgress().empty()) {
            caller_connection &oldest = *waiting->byProgress().front();
            const bool isInBound = exceeded != memory_bound::source || oldest.source() == source;
            if (now - oldest.lastProgress() < minStall || !isInBound) {
                break;
            }
            noteShed(oldest, exceeded, "closed");
            destroyLater(oldest);
            exceeded = m_memory->boundForConnection(source);
        }
    }
    return exceeded == memory_bound::none;
}

void caller_server_task::noteShed(const caller_connection &shed, memory_bound exceeded, std::string_view action)
{
    m_memory->countShed(exceeded);
    if (mayLog()) {
        m_log.write(log_line("callers", "memory_bound")
                        .add("bound", memoryBoundName(exceeded))
                        .add("action", action)
                        .add("held_bytes", shed.heldMemory().value())
                        .add("all_held_bytes", m_memory->held().value())
                        .add("max_bytes", m_memory->limits().total.value())
                        .add("connections", m_memory->connections()));
    }
}

void caller_server_task::noteProgress(caller_connection &by)
{
    (by.isIdle() ? m_reading : m_idle).remove(by);
    (by.isIdle() ? m_idle : m_reading).touch(by);
}

void caller_server_task::noteResponsePending(caller_connection &on)
{
    m_reading.remove(on);
    m_idle.remove(on);
}

void caller_server_task::disconnectUnreading(instant now)
{
    if (!m_memory->isOver()) {
        return;
    }
    std::vector<caller_connection *> unread;
    for (const auto &[key, candidate] : m_connections) {
        if (static_cast<std::int64_t>(candidate->unsentBytes()) > minUnsent && now - candidate->lastRead() > minUnreadStall) {
            unread.push_back(candidate.get());
        }
    }
    std::sort(unread.begin(), unread.end(), [](const caller_connection *left, const caller_connection *right) {
        return left->unsentBytes() > right->unsentBytes();
    });
    byte_count released;
    for (caller_connection *candidate : unread) {
        if (m_memory->held() - released <= m_memory->limits().total) {
            break;
        }
        released += candidate->heldMemory();
        noteShed(*candidate, memory_bound::total, "closed");
        logIfCut(*candidate, "memory bound");
        if (candidate->isResponsePending()) {
            reportCallerDisconnected(*candidate);
        }
        destroyLater(*candidate);
    }
}

bool caller_server_task::mayLog()
{
    const instant now = boot_clock::now();
    if (m_linePeriodEnd.hasPassed(now)) {
        m_linePeriodEnd = deadline::after(now, linePeriod);
        m_linesInPeriod = 0;
    }
    return ++m_linesInPeriod <= maxLinesPerPeriod;
}

} // namespace burdockshelf
