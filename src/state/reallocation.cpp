#include "state/reallocation.h"

#include <algorithm>

namespace burdockshelf
{

namespace
{

std::int64_t weight(const workspace_settings &workspace, const data_centre_id &dataCentre)
{
    const auto named = workspace.shareWeights.find(dataCentre);
    return named == workspace.shareWeights.end() ? 1 : std::max(0, named->second);
}

std::map<data_centre_id, workspace_share> dataCentreShares(const workspace_settings &workspace, const configuration &config)
{
    std::map<data_centre_id, workspace_share> shares;
    for (const auto &entry : config.dataCentres) {
        shares[entry.first] = workspaceShare(workspace, config, entry.first);
    }
    return shares;
}

void lowerToMinimum(std::map<data_centre_id, workspace_share> &smallest, const std::map<data_centre_id, workspace_share> &shares)
{
    std::erase_if(smallest, [&](const auto &entry) { return !shares.contains(entry.first); });
    for (auto &[dataCentre, share] : smallest) {
        const workspace_share &other = shares.at(dataCentre);
        share = {std::min(share.rate, other.rate), std::min(share.burst, other.burst)};
    }
}

} // namespace

workspace_share workspaceShare(const workspace_settings &workspace, const configuration &config, const data_centre_id &dataCentre)
{
    std::int64_t total = 0;
    for (const auto &entry : config.dataCentres) {
        total += weight(workspace, entry.first);
    }
    if (total == 0 || !config.dataCentres.contains(dataCentre)) {
        return {};
    }
    const std::int64_t own = weight(workspace, dataCentre);
    return {token_rate(workspace.rate.value() * own / total), token_count(workspace.burst.value() * own / total)};
}

bool areSharesNonDecreasing(const workspace_settings *earlier,
                            const configuration &earlierConfig,
                            const workspace_settings *later,
                            const configuration &laterConfig)
{
    if (earlier == nullptr) {
        return true;
    }
    return std::all_of(earlierConfig.dataCentres.begin(), earlierConfig.dataCentres.end(), [&](const auto &entry) {
        const workspace_share before = workspaceShare(*earlier, earlierConfig, entry.first);
        const workspace_share after = later == nullptr ? workspace_share {} : workspaceShare(*later, laterConfig, entry.first);
        return after.rate >= before.rate && after.burst >= before.burst;
    });
}

void addPendingReallocations(pending_reallocations &pending, const configuration &earlier, const configuration &later, record_time at)
{
    const bool isSameSplit = earlier.dataCentres == later.dataCentres;
    for (const auto &[workspace, settings] : earlier.workspaces) {
        const auto found = later.workspaces.find(workspace);
        const workspace_settings *next = found == later.workspaces.end() ? nullptr : &found->second;
        const bool isSame = isSameSplit && next != nullptr && *next == settings;
        if (isSame || areSharesNonDecreasing(&settings, earlier, next, later)) {
            continue;
        }
        const auto shares = dataCentreShares(settings, earlier);
        const auto [entry, isNew] = pending.try_emplace(workspace, pending_reallocation {at, shares});
        if (!isNew) {
            lowerToMinimum(entry->second.smallest, shares);
            entry->second.at = at;
        }
    }
}

} // namespace burdockshelf
