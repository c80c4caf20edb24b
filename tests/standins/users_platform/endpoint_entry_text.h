#pragma once

#include "core/socket_address.h"

#include <cstdint>
#include <string>

namespace burdockshelf
{

/// Endpoint entry as a real endpoint writes it to the store. The stage is empty for endpoints of plain services.
std::string endpointEntryText(
    const socket_address &address, std::int64_t startTime, const std::string &service, const std::string &zone, const std::string &stage);

} // namespace burdockshelf
