#include "policy/data_centre_share.h"

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

} // namespace

bucket_limit dataCentreShare(const workspace_settings &workspace, const configuration &config, const data_centre_id &dataCentre)
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

bool isShareGrowth(const workspace_settings *earlier,
                   const configuration &earlierConfig,
                   const workspace_settings *later,
                   const configuration &laterConfig)
{
    if (earlier == nullptr) {
        return true;
    }
    return std::all_of(earlierConfig.dataCentres.begin(), earlierConfig.dataCentres.end(), [&](const auto &entry) {
        const bucket_limit before = dataCentreShare(*earlier, earlierConfig, entry.first);
        const bucket_limit after = later == nullptr ? bucket_limit {} : dataCentreShare(*later, laterConfig, entry.first);
        return after.rate >= before.rate && after.cap >= before.cap;
    });
}

} // namespace burdockshelf
