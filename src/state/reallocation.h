#pragma once

#include "state/configuration.h"
#include "state/log_record.h"

#include <map>

namespace burdockshelf
{

/// A data centre's share of a workspace's quota.
struct workspace_share
{
    token_rate rate;
    token_count burst;

    friend bool operator==(const workspace_share &, const workspace_share &) = default;
};

/// A workspace for which a configuration change has reduced some data centre's share. Members that are disconnected from the log may still
/// apply the earlier share. Until they are known to have stopped, every incarnation, including one that starts later, limits itself to the
/// smallest share that was in force meanwhile.
struct pending_reallocation
{
    /// Highest record time at the last change that reduced a share.
    record_time at {};
    /// Smallest earlier share of each data centre; a data centre without an entry had no share.
    std::map<data_centre_id, workspace_share> smallest;

    friend bool operator==(const pending_reallocation &, const pending_reallocation &) = default;
};

using pending_reallocations = std::map<workspace_id, pending_reallocation>;

/// Returns a data centre's share of a workspace's rate and burst, divided by weight and rounded down. A data centre that is not in the
/// configuration has no share.
workspace_share workspaceShare(const workspace_settings &workspace, const configuration &config, const data_centre_id &dataCentre);

/// True when no data centre's share of the workspace is smaller in the later configuration. Members with the earlier and the later
/// configuration then stay within the later limit together, and no member has to wait for the others. A null workspace has no share.
bool areSharesNonDecreasing(const workspace_settings *earlier,
                            const configuration &earlierConfig,
                            const workspace_settings *later,
                            const configuration &laterConfig);

/// Adds or updates the pending reallocations of the workspaces for which a configuration change reduces some data centre's share.
void addPendingReallocations(pending_reallocations &pending, const configuration &earlier, const configuration &later, record_time at);

} // namespace burdockshelf
