#include "state/is_drained.h"

namespace burdockshelf
{

namespace
{

bool isTargetDrained(const state_view &view, const drain_target &target)
{
    const auto found = view.drains.find(target);
    return found != view.drains.end() && found->second.isDrained;
}

} // namespace

bool isDrained(const state_view &view, const endpoint_id &endpoint)
{
    if (isTargetDrained(view, endpoint)) {
        return true;
    }
    const auto settings = view.config.endpoints.find(endpoint);
    return settings != view.config.endpoints.end() && isTargetDrained(view, settings->second.dataCentre);
}

bool isDrained(const state_view &view, const instance_id &instance, const data_centre_id &dataCentre)
{
    return isTargetDrained(view, instance) || isTargetDrained(view, dataCentre);
}

} // namespace burdockshelf
