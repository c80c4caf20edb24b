#include "forwarding/service_speed.h"

#include "forwarding/endpoint_speed.h"

namespace burdockshelf
{

bool service_speed::isReporting(instant now) const
{
    return figureSeenAt && now - *figureSeenAt <= endpoint_speed::evidenceLifetime();
}

} // namespace burdockshelf
