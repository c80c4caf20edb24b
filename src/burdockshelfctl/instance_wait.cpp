#include "burdockshelfctl/instance_wait.h"

#include "burdockshelfctl/blocking_http.h"
#include "burdockshelfctl/instance_status.h"

namespace burdockshelf
{

namespace
{

constexpr auto askInterval = std::chrono::milliseconds(250);
constexpr auto askLimit = std::chrono::seconds(2);

bool hasRead(const fetched_body &fetched, log_offset offset)
{
    if (fetched.body.has_error()) {
        return false;
    }
    const auto status = decodeInstanceStatus(fetched.body.value());
    return status.has_value() && status.value().covered >= offset;
}

/// The instances that have not read the offset, as far as is known.
std::vector<socket_address> findBehind(const command_context &context, const std::vector<socket_address> &asked, log_offset offset)
{
    std::vector<socket_address> behind;
    for (const fetched_body &fetched : fetchFromAll(context.loop, asked, "/status", askLimit)) {
        if (!hasRead(fetched, offset)) {
            behind.push_back(fetched.server);
        }
    }
    return behind;
}

void showProgress(const command_context &context, std::size_t behind)
{
    const std::size_t all = context.options.instances.size();
    context.err << "in force at " << all - behind << " of " << all << " instances\n";
}

exit_status reportBehind(const command_context &context, const std::vector<socket_address> &behind)
{
    for (const socket_address &server : behind) {
        context.err << "burdockshelfctl: not yet known to be in force at " << server << '\n';
    }
    return exit_status::try_again;
}

} // namespace

exit_status waitForInstances(const command_context &context, log_offset offset)
{
    const deadline until = deadline::after(boot_clock::now(), context.options.waitLimit);
    std::vector<socket_address> behind = context.options.instances;
    std::size_t shown = behind.size() + 1;
    while (true) {
        // An instance never goes back, so those that have read the offset are not asked again.
        behind = findBehind(context, behind, offset);
        if (behind.size() != shown) {
            showProgress(context, behind.size());
            shown = behind.size();
        }
        if (behind.empty()) {
            return exit_status::done;
        }
        if (until.hasPassed(boot_clock::now())) {
            return reportBehind(context, behind);
        }
        pauseFor(context.loop, askInterval);
    }
}

} // namespace burdockshelf
