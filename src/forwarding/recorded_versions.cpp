#include "forwarding/recorded_versions.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace burdockshelf
{

namespace
{

// Less than the time after which an instance that noticed the absence somewhat earlier may have removed the version.
constexpr std::chrono::milliseconds maxAbsence {recorded_versions::retention / 2};

bool contains(const service_versions &all, const service_id &service, const service_version &version)
{
    const auto found = all.find(service);
    return found != all.end() && found->second.count(version) > 0;
}

} // namespace

recorded_versions::recorded_versions(std::chrono::milliseconds spread)
    : m_spread(spread)
{
}

void recorded_versions::setRegistered(const service_versions &registered, instant now)
{
    m_registered = registered;
    std::erase_if(m_unregisteredSince, [&](const auto &entry) {
        const auto &[service, version] = entry.first;
        const bool isBack = contains(m_registered, service, version);
        if (isBack && now - entry.second >= maxAbsence) {
            m_recorded[service].erase(version);
        }
        return isBack || !contains(m_recorded, service, version);
    });
    for (const auto &[service, versions] : m_recorded) {
        for (const service_version &version : versions) {
            if (!contains(m_registered, service, version)) {
                m_unregisteredSince.try_emplace({service, version}, now);
            }
        }
    }
}

void recorded_versions::setRecorded(const service_versions &recorded, bool isAfterRestore, instant now)
{
    if (isAfterRestore) {
        for (const auto &[service, versions] : m_recorded) {
            m_lost[service].insert(versions.begin(), versions.end());
        }
    }
    for (auto &[service, versions] : m_lost) {
        std::erase_if(versions, [&, &name = service](const service_version &version) { return contains(recorded, name, version); });
    }
    std::erase_if(m_lost, [](const auto &entry) { return entry.second.empty(); });
    m_recorded = recorded;
    setRegistered(service_versions(m_registered), now);
}

void recorded_versions::noteWritten(const version_record &written)
{
    m_recorded[written.service] = written.versions;
    m_lost.erase(written.service);
}

std::optional<version_record> recorded_versions::nextRecord(instant now) const
{
    service_versions wanted = m_registered;
    for (const auto &[service, versions] : m_lost) {
        wanted[service].insert(versions.begin(), versions.end());
    }
    for (auto &[service, versions] : wanted) {
        const auto known = m_recorded.find(service);
        if (known != m_recorded.end()) {
            std::copy_if(known->second.begin(),
                         known->second.end(),
                         std::inserter(versions, versions.end()),
                         [&, &name = service](const service_version &version) { return !retainedUntil(name, version).hasPassed(now); });
        }
        if (known == m_recorded.end() || known->second != versions) {
            return version_record {service, versions};
        }
    }
    return std::nullopt;
}

deadline recorded_versions::nextRemoval() const
{
    deadline next = deadline::never();
    for (const auto &[key, since] : m_unregisteredSince) {
        // The record of a service without any endpoint stays as it is.
        if (m_registered.count(key.first) > 0) {
            next = std::min(next, retainedUntil(key.first, key.second));
        }
    }
    return next;
}

const service_versions &recorded_versions::recorded() const
{
    return m_recorded;
}

bool recorded_versions::isMixed() const
{
    return std::any_of(m_recorded.begin(), m_recorded.end(), [](const auto &entry) { return entry.second.size() > 1; });
}

service_versions recorded_versions::possible() const
{
    service_versions all = m_recorded;
    for (const service_versions *more : {&m_registered, &m_lost}) {
        for (const auto &[service, versions] : *more) {
            all[service].insert(versions.begin(), versions.end());
        }
    }
    return all;
}

bool recorded_versions::hasLost() const
{
    return !m_lost.empty();
}

deadline recorded_versions::retainedUntil(const service_id &service, const service_version &version) const
{
    const auto found = m_unregisteredSince.find({service, version});
    return found == m_unregisteredSince.end() ? deadline::never() : deadline::after(found->second, retention + m_spread);
}

std::optional<stream_origin> onlyOrigin(const std::vector<service_id> &services, const service_versions &recorded)
{
    if (services.size() != 1) {
        return std::nullopt;
    }
    const auto found = recorded.find(services.front());
    if (found == recorded.end() || found->second.size() != 1 || found->second.begin()->isEmpty()) {
        return std::nullopt;
    }
    return stream_origin {services.front(), *found->second.begin()};
}

} // namespace burdockshelf
