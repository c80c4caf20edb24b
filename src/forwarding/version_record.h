#pragma once

#include "core/ids.h"

#include <map>
#include <set>

namespace burdockshelf
{

/// The software versions of each service that may have begun streams which callers still resume. An empty version stands for endpoints
/// that state none.
using service_versions = std::map<service_id, std::set<service_version>>;

/// What the store keeps for one service; see service_versions.
struct version_record
{
    service_id service;
    std::set<service_version> versions;
};

} // namespace burdockshelf
