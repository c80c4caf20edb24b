#include "burdockshelfctl/publication.h"

#include "core/boot_clock.h"

namespace burdockshelf
{

outcome<configuration_change>
preparePublication(const configuration &inForce, const configuration &wanted, const std::optional<configuration_version> &basedOn)
{
    configuration_change change = diffConfigurations(inForce, wanted);
    const bool isOutdated = basedOn && *basedOn != inForce.version;
    if (isOutdated && !isEmpty(change)) {
        return failure(error_code::conflict,
                       "not in force: the document is based on version " + std::to_string(basedOn->value()) + ", but version "
                           + std::to_string(inForce.version.value())
                           + " is in force; make your change again in what burdockshelfctl show writes");
    }
    change.at = unixTime();
    return change;
}

} // namespace burdockshelf
