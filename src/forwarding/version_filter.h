#pragma once

#include "forwarding/endpoint_entry.h"

#include <optional>
#include <set>

namespace burdockshelf
{

/// The versions of a service's software that an attempt may be sent to.
class version_filter
{
public:
    /// Accepts every version, also an unknown one.
    version_filter() = default;
    /// Accepts endpoints of the given version. An unknown version is equal to no other, so that nothing is accepted then.
    static version_filter only(const service_version &version);
    /// Accepts the versions of a list, which may contain the unknown one.
    static version_filter oneOf(std::set<service_version> versions);

    bool accepts(const service_version &version) const;

private:
    /// Unset where every version is accepted.
    std::optional<std::set<service_version>> m_accepted;
};

} // namespace burdockshelf
