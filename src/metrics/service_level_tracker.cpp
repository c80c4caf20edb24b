#include "metrics/service_level_tracker.h"

#include <numeric>

namespace burdockshelf
{

namespace
{

// 12 steps in each of the two windows take about 1 KB per row, or 11 MB for 11,000 workspaces.
constexpr std::int64_t stepsPerWindow = 12;

} // namespace

double burnRate(const service_level_counts &counts, double errorBudget)
{
    const std::uint64_t all = std::accumulate(counts.begin(), counts.end(), std::uint64_t(0));
    if (all == 0 || errorBudget <= 0.0) {
        return 0.0;
    }
    const std::uint64_t bad = all - counts[static_cast<std::size_t>(service_level_outcome::good)];
    return static_cast<double>(bad) / static_cast<double>(all) / errorBudget;
}

service_level_tracker::service_level_tracker(service_level_settings settings)
    : m_settings(settings)
{
}

void service_level_tracker::add(
    const workspace_id &workspace, const urgency_class_id &urgency, service_level_outcome cause, std::uint64_t events, instant now)
{
    const bool isKnown = m_workspaces.contains(workspace);
    const bool isTracked = isKnown || m_workspaces.size() < m_settings.maxWorkspaces;
    const workspace_id rowWorkspace = isTracked ? workspace : workspace_id();
    const auto [found, isNew] = m_entries.try_emplace({rowWorkspace, urgency});
    m_workspaces[rowWorkspace] += isNew ? 1 : 0;
    entry &row = found->second;
    row.total.at(static_cast<std::size_t>(cause)) += events;
    row.shortSteps.add(stepNumber(now, m_settings.shortWindow), cause, events);
    row.longSteps.add(stepNumber(now, m_settings.longWindow), cause, events);
}

std::vector<service_level_row> service_level_tracker::rows(instant now) const
{
    std::vector<service_level_row> result;
    result.reserve(m_entries.size());
    for (const auto &[id, row] : m_entries) {
        result.push_back({id.workspace,
                          id.urgency,
                          row.total,
                          row.shortSteps.sum(stepNumber(now, m_settings.shortWindow)),
                          row.longSteps.sum(stepNumber(now, m_settings.longWindow))});
    }
    return result;
}

const service_level_settings &service_level_tracker::settings() const
{
    return m_settings;
}

std::int64_t service_level_tracker::stepNumber(instant now, std::chrono::seconds window)
{
    const boot_clock::duration length = boot_clock::duration(window) / stepsPerWindow;
    return now.time_since_epoch() / length;
}

void service_level_tracker::step_series::add(std::int64_t number, service_level_outcome cause, std::uint64_t events)
{
    std::erase_if(steps, [number](const step &entry) { return entry.number <= number - stepsPerWindow; });
    if (steps.empty() || steps.back().number < number) {
        steps.push_back({number});
    }
    steps.back().counts.at(static_cast<std::size_t>(cause)) += events;
}

service_level_counts service_level_tracker::step_series::sum(std::int64_t now) const
{
    service_level_counts counts {};
    for (const step &entry : steps) {
        for (std::size_t i = 0; i < burnCauseCount && entry.number > now - stepsPerWindow; ++i) {
            counts.at(i) += entry.counts.at(i);
        }
    }
    return counts;
}

} // namespace burdockshelf
