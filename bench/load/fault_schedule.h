#pragma once

#include "load/open_loop_load.h"

#include <functional>
#include <string>
#include <vector>

namespace burdockshelf
{

enum class fault_kind
{
    drain_data_centre,
    return_data_centre,
    kill_instance,
    restart_instance,
    cool_engine,
    begin_platform_outage,
    end_platform_outage,
    stall_link,
    release_link,
};

/// A fault at a planned time. The target is a data centre, an instance or an endpoint by its name; faults of the platform have none.
struct planned_fault
{
    std::chrono::milliseconds at {0};
    fault_kind kind = fault_kind::drain_data_centre;
    std::string target;
};

/// Brings planned faults about while a load runs on the same loop. The operators' tool runs beside the loop, so that the load goes on.
class fault_schedule
{
public:
    fault_schedule(event_loop &loop, site &deployment, open_loop_load &load, std::vector<planned_fault> faults);

    /// Arms the first fault; times count from now.
    void start();
    /// Faults that could not be brought about, one line each.
    const std::vector<std::string> &problems() const;

private:
    void applyDue();
    void drainDataCentre(const planned_fault &fault);
    void returnDataCentre(const planned_fault &fault);
    void killInstance(const planned_fault &fault);
    void restartInstance(const planned_fault &fault);
    void coolEngine(const planned_fault &fault);
    void beginPlatformOutage(const planned_fault &fault);
    void endPlatformOutage(const planned_fault &fault);
    void stallLink(const planned_fault &fault);
    void releaseLink(const planned_fault &fault);

    void runTool(const std::string &command, const std::string &dataCentre);
    void control(const socket_address &at, const std::string &body);
    void controlEndpoint(const std::string &name, const std::string &body);
    std::size_t findInstance(const std::string &name);

    event_loop &m_loop;
    site &m_site;
    open_loop_load &m_load;
    std::vector<planned_fault> m_faults;
    std::size_t m_applied = 0;
    std::vector<child_process> m_tools;
    std::vector<std::unique_ptr<http_client>> m_controls;
    std::vector<std::string> m_problems;
    timer m_next;
    instant m_start;
};

} // namespace burdockshelf
