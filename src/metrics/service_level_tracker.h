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

/// How a request counts against its service-level objective.
enum class service_level_outcome
{
    good,
    /// Completed, but later than the urgency class allows.
    latency,
    /// Rejected although the workspace was within its token rate.
    refusal,
    failure,
};

constexpr std::size_t burnCauseCount = 4;

/// Number of requests by outcome, indexed by service_level_outcome.
using service_level_counts = std::array<std::uint64_t, burnCauseCount>;

struct service_level_settings
{
    /// Fraction of the requests that may miss the objective.
    double errorBudget = 0.05;
    std::chrono::seconds shortWindow {300};
    std::chrono::seconds longWindow {3600};
    /// Workspaces over this limit are counted together in the row with the empty workspace id.
    std::size_t maxWorkspaces = 11000;
};

/// The counts of one workspace and urgency class. To aggregate several instances, add up their rows count by count and apply burnRate() to
/// the sums.
struct service_level_row
{
    workspace_id workspace;
    urgency_class_id urgency;
    service_level_counts total {};
    service_level_counts shortWindow {};
    service_level_counts longWindow {};
};

/// Returns the fraction of bad requests divided by the error budget: 1 uses the budget up exactly, 0 means no bad requests.
double burnRate(const service_level_counts &counts, double errorBudget);

/// Counts good and bad requests by workspace and urgency class, in total and over a short and a long sliding window. Rows exist only for
/// pairs of workspace and urgency class that had requests. Callers pass the current time. The windows advance in steps of a twelfth of
/// their length.
class service_level_tracker
{
public:
    explicit service_level_tracker(service_level_settings settings);

    void
    add(const workspace_id &workspace, const urgency_class_id &urgency, service_level_outcome cause, std::uint64_t events, instant now);
    std::vector<service_level_row> rows(instant now) const;
    const service_level_settings &settings() const;

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
        service_level_counts counts {};
    };

    /// The steps of one window, oldest first. Steps that have left the window are removed by the next add().
    struct step_series
    {
        std::vector<step> steps;

        void add(std::int64_t number, service_level_outcome cause, std::uint64_t events);
        service_level_counts sum(std::int64_t now) const;
    };

    struct entry
    {
        service_level_counts total {};
        step_series shortSteps;
        step_series longSteps;
    };

    static std::int64_t stepNumber(instant now, std::chrono::seconds window);

    service_level_settings m_settings;
    std::map<row_id, entry> m_entries;
    std::map<workspace_id, std::size_t> m_workspaces;
};

} // namespace burdockshelf
