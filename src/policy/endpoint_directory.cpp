#include "policy/endpoint_directory.h"

#include "state/is_drained.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

using namespace std::chrono_literals;

// Short, because slots become free within milliseconds.
constexpr auto refusalBackoff = 10ms;
constexpr auto initialFailureBackoff = 100ms;
constexpr auto maxFailureBackoff = 5s;

} // namespace

endpoint_directory::endpoint_directory(data_centre_id local)
    : m_local(std::move(local))
{
}

void endpoint_directory::setView(state_view_ptr view)
{
    m_view = std::move(view);
    m_pools.clear();
    for (const auto &[id, settings] : m_view->config.endpoints) {
        if (!isDrained(*m_view, id)) {
            m_pools[{settings.service, settings.role}].push_back(id);
        }
    }
    std::erase_if(m_loads, [&](const auto &entry) { return !m_view->config.endpoints.contains(entry.first); });
}

void endpoint_directory::noteLoad(const endpoint_id &endpoint, slot_count used, slot_count limit, bool isRefused, instant now)
{
    known_load &load = m_loads[endpoint];
    load.used = used;
    load.limit = limit;
    if (isRefused) {
        load.retryAt = deadline::after(now, refusalBackoff);
    } else {
        load.failures = 0;
    }
}

void endpoint_directory::noteFailure(const endpoint_id &endpoint, instant now)
{
    known_load &load = m_loads[endpoint];
    const boot_clock::duration pause =
        std::min<boot_clock::duration>(initialFailureBackoff * (1 << std::min(load.failures, 6)), maxFailureBackoff);
    ++load.failures;
    load.retryAt = deadline::after(now, pause);
}

std::vector<endpoint_candidate> endpoint_directory::candidates(const service_id &service, endpoint_role role) const
{
    std::vector<endpoint_candidate> result;
    const auto pool = m_pools.find({service, role});
    if (pool == m_pools.end()) {
        return result;
    }
    for (const endpoint_id &id : pool->second) {
        const endpoint_settings &settings = m_view->config.endpoints.at(id);
        endpoint_candidate candidate = {id, settings.dataCentre == m_local, {}, settings.slots, {}};
        const auto load = m_loads.find(id);
        if (load != m_loads.end()) {
            candidate.used = load->second.used;
            candidate.limit = load->second.limit;
            candidate.retryAt = load->second.retryAt;
        }
        result.push_back(std::move(candidate));
    }
    return result;
}

} // namespace burdockshelf
