#pragma once

#include "policy/token_bucket.h"
#include "state/configuration.h"

namespace burdockshelf
{

/// The part of a workspace's rate and burst that a data centre has, by weight and rounded down. A data centre that the configuration does
/// not name has none.
bucket_limit dataCentreShare(const workspace_settings &workspace, const configuration &config, const data_centre_id &dataCentre);

/// True when no data centre's share of the workspace is smaller in the later configuration. Then every mix of both stays within the later
/// limit, and nobody has to wait for the others. A null workspace has no share.
bool isShareGrowth(const workspace_settings *earlier,
                   const configuration &earlierConfig,
                   const workspace_settings *later,
                   const configuration &laterConfig);

} // namespace burdockshelf
