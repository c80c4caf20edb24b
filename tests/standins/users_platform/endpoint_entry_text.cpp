#include "standins/users_platform/endpoint_entry_text.h"

#include <nlohmann/json.hpp>

namespace burdockshelf
{

std::string endpointEntryText(
    const socket_address &address, std::int64_t startTime, const std::string &service, const std::string &zone, const std::string &stage)
{
    nlohmann::json value = {
        {"service", service},
        {"address", address.toString()},
        {"zone", zone},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"cold_left_ms", 0},
        {"sequence", 1},
        {"born", startTime},
    };
    if (!stage.empty()) {
        value["stage"] = stage;
    }
    return value.dump();
}

} // namespace burdockshelf
