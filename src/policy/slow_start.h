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
    /// Failed or slow attempts in a row that show that an endpoint is cold. A single one may be the request's own fault.
    int collapseAfter = 3;
};

/// Bounds the concurrent requests of one endpoint while it warms up. The window starts at 1, grows by one with each success, and falls back
/// to 1 when the endpoint restarts or turns out to be cold.
class slow_start
{
public:
    explicit slow_start(slow_start_settings settings = {});

    slot_count window() const;
    /// Changes with every fall of the window. A verdict counts only in the generation in which its slot was granted: attempts that were
    /// started before a fall say nothing of the endpoint after it.
    std::uint64_t generation() const;

    /// Takes what the endpoint reports of itself. A new incarnation is cold. The first report sets the window back to 1: the successes
    /// before it may be those of an incarnation that is gone.
    void observe(const incarnation_id &incarnation, slot_count total);
    /// Takes the end of an attempt. The window never grows over the endpoint's slots.
    void record(attempt_verdict verdict, std::uint64_t generation, slot_count total);

private:
    void collapse();

    slow_start_settings m_settings;
    slot_count m_window {1};
    int m_badInARow = 0;
    std::uint64_t m_generation = 0;
    std::optional<incarnation_id> m_incarnation;
};

} // namespace burdockshelf
