#include "forwarding/version_filter.h"

#include <utility>

namespace burdockshelf
{

version_filter version_filter::only(const service_version &version)
{
    return oneOf(version.isEmpty() ? std::set<service_version>() : std::set<service_version> {version});
}

version_filter version_filter::oneOf(std::set<service_version> versions)
{
    version_filter filter;
    filter.m_accepted = std::move(versions);
    return filter;
}

bool version_filter::accepts(const service_version &version) const
{
    return !m_accepted || m_accepted->count(version) > 0;
}

} // namespace burdockshelf
