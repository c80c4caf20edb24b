#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "policy/peer_message.h"

#include <cstdint>
#include <optional>

namespace burdockshelf
{

struct slow_start_settings
{
    /// Consecutive failed or slow attempts that show that an endpoint is cold. A single one may be caused by the request itself.
    int collapseAfter = 3;
};

/// Limits the concurrent requests of one endpoint while it warms up. The window starts at 1, grows by one with each success, and falls back
/// to 1 when the endpoint restarts or turns out to be cold.
class slow_start
{
public:
    explicit slow_start(slow_start_settings settings = {});

    slot_count window() const;
    /// Incremented with every collapse of the window. A verdict counts only if its slot was granted in the current generation: attempts
    /// that were started before a collapse say nothing about the endpoint after it.
    std::uint64_t generation() const;

    /// Takes a report of the endpoint. A new incarnation is cold. The first report resets the window to 1, since the successes before it
    /// may be those of an earlier incarnation.
    void observe(const incarnation_id &incarnation, slot_count total);
    /// Records the result of an attempt. The window never grows beyond the endpoint's slots.
    void record(attempt_verdict verdict, std::uint64_t generation, slot_count total);

private:
    void collapse();

    slow_start_settings m_settings;
    slot_count m_window {1};
    // Failed or slow attempts since the last success or collapse. Cancelled attempts are ignored.
    int m_consecutiveFailures = 0;
    std::uint64_t m_generation = 0;
    std::optional<incarnation_id> m_incarnation;
};

} // namespace burdockshelf
