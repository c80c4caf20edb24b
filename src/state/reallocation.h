#pragma once

#include "state/configuration.h"
#include "state/log_record.h"

#include <map>

namespace burdockshelf
{

/// What a data centre may use of a workspace.
struct workspace_share
{
    token_rate rate;
    token_count burst;

    friend bool operator==(const workspace_share &, const workspace_share &) = default;
};

/// A workspace of which some data centre's share has shrunk lately. Members that are cut off may still use the larger share, so every
/// incarnation, also one that starts later, keeps to the smallest share in between until they have surely stopped.
struct pending_reallocation
{
    /// Highest record time at the last change by which a share shrank.
    record_time at {};
    /// The smallest earlier share of each data centre; one that is not named had none.
    std::map<data_centre_id, workspace_share> smallest;

    friend bool operator==(const pending_reallocation &, const pending_reallocation &) = default;
};

using pending_reallocations = std::map<workspace_id, pending_reallocation>;

/// The part of a workspace's rate and burst that a data centre has, by weight and rounded down. A data centre that the configuration does
/// not name has none.
workspace_share workspaceShare(const workspace_settings &workspace, const configuration &config, const data_centre_id &dataCentre);

/// True when no data centre's share of the workspace is smaller in the later configuration. Then every mix of both stays within the later
/// limit, and nobody has to wait for the others. A null workspace has no share.
bool areSharesNonDecreasing(const workspace_settings *earlier,
                            const configuration &earlierConfig,
                            const workspace_settings *later,
                            const configuration &laterConfig);

/// Adds what a change of the configuration makes others wait for.
void addPendingReallocations(pending_reallocations &pending, const configuration &earlier, const configuration &later, record_time at);

} // namespace burdockshelf
