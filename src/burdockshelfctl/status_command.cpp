#include "burdockshelfctl/blocking_http.h"
#include "burdockshelfctl/commands.h"
#include "burdockshelfctl/instance_status.h"

#include <sstream>

namespace burdockshelf
{

namespace
{

using nlohmann::json;

constexpr auto fetchLimit = std::chrono::seconds(5);
constexpr int indent = 2;

struct asked_instance
{
    socket_address server;
    outcome<instance_status> status;
};

/// Lists of the answer that are shown entry by entry.
constexpr const char *lists[] = {"members", "endpoints", "quota"};

void writeList(std::ostream &text, const json &whole, const char *name)
{
    if (!whole.contains(name) || !whole[name].is_array()) {
        return;
    }
    text << "  " << name << ":\n";
    for (const json &entry : whole[name]) {
        text << "   ";
        for (const auto &[key, value] : entry.items()) {
            text << ' ' << key << '=' << (value.is_string() ? value.get<std::string>() : value.dump());
        }
        text << '\n';
    }
}

void writeInstance(std::ostream &text, const asked_instance &asked)
{
    if (asked.status.has_error()) {
        text << asked.server << ": cannot be reached: " << asked.status.error().message << '\n';
        return;
    }
    const instance_status &status = asked.status.value();
    text << asked.server << ": instance " << status.instance << " in " << status.dataCentre << ", configuration version " << status.version
         << ", log read up to offset " << status.covered << '\n';
    for (const char *name : lists) {
        writeList(text, status.whole, name);
    }
}

json instanceJson(const asked_instance &asked)
{
    json entry = {{"address", asked.server.toString()}};
    if (asked.status.has_error()) {
        entry["error"] = asked.status.error().message;
    } else {
        entry["status"] = asked.status.value().whole;
    }
    return entry;
}

std::string statusText(const std::vector<asked_instance> &instances)
{
    std::ostringstream text;
    for (const asked_instance &asked : instances) {
        writeInstance(text, asked);
    }
    return text.str();
}

std::string statusJson(const std::vector<asked_instance> &instances)
{
    json list = json::array();
    for (const asked_instance &asked : instances) {
        list.push_back(instanceJson(asked));
    }
    return json({{"instances", list}}).dump(indent, ' ', false, json::error_handler_t::replace) + "\n";
}

asked_instance decode(const fetched_body &fetched)
{
    if (fetched.body.has_error()) {
        return {fetched.server, fetched.body.error()};
    }
    return {fetched.server, decodeInstanceStatus(fetched.body.value())};
}

} // namespace

exit_status runStatus(command_context &context)
{
    const tool_options &options = context.options;
    if (options.instances.empty()) {
        return context.fail({error_code::invalid_argument, "name each instance to ask with --instance ip:port"});
    }
    std::vector<asked_instance> instances;
    bool isComplete = true;
    for (const fetched_body &fetched : fetchFromAll(context.loop, options.instances, "/status", fetchLimit)) {
        instances.push_back(decode(fetched));
        isComplete = isComplete && instances.back().status.has_value();
    }
    const exit_status written = context.write(options.output == output_format::json ? statusJson(instances) : statusText(instances));
    return written == exit_status::done && !isComplete ? exit_status::try_again : written;
}

} // namespace burdockshelf
