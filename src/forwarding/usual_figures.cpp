#include "forwarding/usual_figures.h"

#include <algorithm>

namespace burdockshelf
{

namespace
{

// Weight of the newest sample. A disturbance of some hundred milliseconds at one endpoint must not move what is usual.
constexpr double newestSampleWeight = 0.02;
constexpr usual_figures::seconds unknownDuration {0.1};
constexpr usual_figures::seconds minDuration {0.01};
constexpr double unknownLoadPerSlot = 0.5;

void addSample(double &average, double sample, bool isFirst)
{
    average = isFirst ? sample : average + (sample - average) * newestSampleWeight;
}

} // namespace

void usual_figures::noteTraffic()
{
    m_hasTraffic = true;
}

void usual_figures::noteTime(seconds perUnit)
{
    addSample(m_secondsPerUnit, perUnit.count(), m_secondsPerUnit <= 0.0);
}

void usual_figures::noteDuration(seconds occupied)
{
    addSample(m_duration, occupied.count(), m_duration <= 0.0);
}

void usual_figures::noteLoad(const endpoint_load &load)
{
    addSample(m_requests, static_cast<double>(std::max<std::int64_t>(load.running + load.waiting, 0)), m_requests < 0.0);
    if (load.workTimePercent) {
        addSample(m_workTimePercent, static_cast<double>(*load.workTimePercent), m_workTimePercent <= 0.0);
    }
}

bool usual_figures::hasTraffic() const
{
    return m_hasTraffic;
}

bool usual_figures::reportsWorkTime() const
{
    return m_workTimePercent > 0.0;
}

double usual_figures::relativeTime(seconds perUnit) const
{
    return m_secondsPerUnit > 0.0 ? perUnit.count() / m_secondsPerUnit : 1.0;
}

double usual_figures::relativeWorkTime(const endpoint_load &load) const
{
    return load.workTimePercent && reportsWorkTime() ? static_cast<double>(*load.workTimePercent) / m_workTimePercent : 1.0;
}

usual_figures::seconds usual_figures::duration() const
{
    return m_duration > 0.0 ? std::max(seconds(m_duration), minDuration) : unknownDuration;
}

double usual_figures::requestsAtOnce(slot_count slots) const
{
    const auto most = static_cast<double>(std::max<std::int64_t>(slots.value(), 1));
    return std::clamp(m_requests < 0.0 ? most * unknownLoadPerSlot : m_requests, 1.0, most);
}

} // namespace burdockshelf
