#pragma once

#include "core/boot_clock.h"
#include "core/ids.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

namespace burdockshelf
{

/// How a request counted against its service level.
enum class burn_cause
{
    good,
    /// Answered, but later than the urgency class allows.
    latency,
    /// Refused although the workspace was within its rate.
    refusal,
    failure,
};

constexpr std::size_t burnCauses = 4;

/// Events by cause, indexed by burn_cause.
using burn_counts = std::array<std::uint64_t, burnCauses>;

struct burn_settings
{
    /// Share of events that may be bad.
    double errorBudget = 0.05;
    std::chrono::seconds shortWindow {300};
    std::chrono::seconds longWindow {3600};
    /// Workspaces beyond this are counted together in the row of the empty workspace.
    std::size_t maxWorkspaces = 11000;
};

/// The counts of one workspace and urgency class. Rows of several instances are merged by adding up equal counts; the burn rates of the sum
/// follow from burnRate().
struct burn_ledger_row
{
    workspace_id workspace;
    urgency_class_id urgency;
    burn_counts total {};
    burn_counts shortWindow {};
    burn_counts longWindow {};
};

/// The share of bad events over the error budget: 1 spends the budget exactly, 0 is perfect.
double burnRate(const burn_counts &counts, double errorBudget);

/// Counts good and bad events by workspace and urgency class over a short and a long window. Holds rows only for what was seen. The time is
/// passed in; windows move in steps of a twelfth of their
/// length.
class burn_ledger
{
public:
    explicit burn_ledger(burn_settings settings);

    void add(const workspace_id &workspace, const urgency_class_id &urgency, burn_cause cause, std::uint64_t events, instant now);
    std::vector<burn_ledger_row> rows(instant now) const;
    const burn_settings &settings() const;

private:
    struct row_id
    {
        workspace_id workspace;
        urgency_class_id urgency;

        friend auto operator<=>(const row_id &, const row_id &) = default;
    };

    struct step
    {
        std::int64_t number = 0;
        burn_counts counts {};
    };

    /// The steps of one window, oldest first; those that are over are dropped by the next event.
    struct step_series
    {
        std::vector<step> steps;

        void add(std::int64_t number, burn_cause cause, std::uint64_t events);
        burn_counts sum(std::int64_t now) const;
    };

    struct entry
    {
        burn_counts total {};
        step_series shortSteps;
        step_series longSteps;
    };

    static std::int64_t stepNumber(instant now, std::chrono::seconds window);

    burn_settings m_settings;
    std::map<row_id, entry> m_entries;
    std::map<workspace_id, std::size_t> m_workspaces;
};

} // namespace burdockshelf
