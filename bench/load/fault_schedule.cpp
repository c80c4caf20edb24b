#include "load/fault_schedule.h"

#include <algorithm>
#include <array>

namespace burdockshelf
{

namespace
{

constexpr auto controlLimit = std::chrono::seconds(5);

} // namespace

fault_schedule::fault_schedule(event_loop &loop, site &deployment, open_loop_load &load, std::vector<planned_fault> faults)
    : m_loop(loop)
    , m_site(deployment)
    , m_load(load)
    , m_faults(std::move(faults))
    , m_next(loop, [this] { applyDue(); })
{
    std::stable_sort(
        m_faults.begin(), m_faults.end(), [](const planned_fault &left, const planned_fault &right) { return left.at < right.at; });
}

void fault_schedule::start()
{
    m_start = boot_clock::now();
    applyDue();
}

const std::vector<std::string> &fault_schedule::problems() const
{
    return m_problems;
}

void fault_schedule::applyDue()
{
    using apply = void (fault_schedule::*)(const planned_fault &);
    // In the order of fault_kind.
    static constexpr std::array<apply, 9> actions = {
        &fault_schedule::drainDataCentre,
        &fault_schedule::returnDataCentre,
        &fault_schedule::killInstance,
        &fault_schedule::restartInstance,
        &fault_schedule::coolEngine,
        &fault_schedule::beginPlatformOutage,
        &fault_schedule::endPlatformOutage,
        &fault_schedule::stallLink,
        &fault_schedule::releaseLink,
    };
    while (m_applied < m_faults.size() && m_start + m_faults[m_applied].at <= boot_clock::now()) {
        const planned_fault &fault = m_faults[m_applied++];
        (this->*actions.at(static_cast<std::size_t>(fault.kind)))(fault);
    }
    if (m_applied < m_faults.size()) {
        m_next.start(deadline(m_start + m_faults[m_applied].at));
    }
}

void fault_schedule::drainDataCentre(const planned_fault &fault)
{
    runTool("drain", fault.target);
}

void fault_schedule::returnDataCentre(const planned_fault &fault)
{
    runTool("return", fault.target);
}

void fault_schedule::killInstance(const planned_fault &fault)
{
    const std::size_t found = findInstance(fault.target);
    if (found < m_site.instances().size()) {
        m_site.instances()[found].process.kill();
    }
}

void fault_schedule::restartInstance(const planned_fault &fault)
{
    const std::size_t found = findInstance(fault.target);
    if (found == m_site.instances().size()) {
        return;
    }
    const auto started = m_site.restart(m_site.instances()[found]);
    if (!started) {
        m_problems.push_back(fault.target + ": " + started.error().message);
        return;
    }
    m_load.reconnect(found);
}

void fault_schedule::coolEngine(const planned_fault &fault)
{
    controlEndpoint(fault.target, R"({"cold":true})");
}

void fault_schedule::beginPlatformOutage(const planned_fault & /*fault*/)
{
    control(m_site.platformAddress(), R"({"outage":true,"list_outage":true})");
}

void fault_schedule::endPlatformOutage(const planned_fault & /*fault*/)
{
    control(m_site.platformAddress(), R"({"outage":false,"list_outage":false})");
}

void fault_schedule::stallLink(const planned_fault &fault)
{
    controlEndpoint(fault.target, R"({"stall_link":true})");
}

void fault_schedule::releaseLink(const planned_fault &fault)
{
    controlEndpoint(fault.target, R"({"stall_link":false})");
}

void fault_schedule::runTool(const std::string &command, const std::string &dataCentre)
{
    auto started = child_process::start("burdockshelfctl",
                                        {command, "data-centre", dataCentre, "--platform", m_site.platformAddress().toString()},
                                        m_site.folder() + "/tool.err");
    if (!started) {
        m_problems.push_back(command + " " + dataCentre + ": " + started.error().message);
        return;
    }
    m_tools.push_back(std::move(started.value()));
}

void fault_schedule::control(const socket_address &at, const std::string &body)
{
    auto &client = m_controls.emplace_back(std::make_unique<http_client>(m_loop, at));
    const auto note = [this, at](const http_call_result &result) {
        if (!result || result.value().status != 200) {
            m_problems.push_back(at.toString() + " has refused a control order");
        }
    };
    client->send({"POST", "/control", {}, body}, {nullptr, nullptr, note}, deadline::after(boot_clock::now(), controlLimit));
}

void fault_schedule::controlEndpoint(const std::string &name, const std::string &body)
{
    for (const site_endpoint &endpoint : m_site.endpoints()) {
        if (endpoint.name == name) {
            control(endpoint.address, body);
            return;
        }
    }
    m_problems.push_back("no endpoint is named " + name);
}

std::size_t fault_schedule::findInstance(const std::string &name)
{
    const auto &instances = m_site.instances();
    const auto found =
        std::find_if(instances.begin(), instances.end(), [&](const site_instance &instance) { return instance.name == name; });
    if (found == instances.end()) {
        m_problems.push_back("no instance is named " + name);
    }
    return static_cast<std::size_t>(found - instances.begin());
}

} // namespace burdockshelf
