#include "forwarding/endpoint_speed.h"

#include <algorithm>
#include <cmath>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

// Bounds of what is believed, so that a false figure neither attracts all requests nor keeps an endpoint idle for ever.
constexpr double minFactor = 0.8;
constexpr double maxFactor = 8.0;
constexpr double percentAsUsual = 100.0;
// The reported figure changes many times a second.
constexpr std::chrono::duration<double> newestEvidenceLifetime = milliseconds(300);
// Longer than a usual disturbance, so that one disturbance gives a single sample.
constexpr milliseconds sampleInterval {700};
constexpr std::size_t maxSamples = 9;
// With fewer samples the median is likely to be the factor of a disturbance.
constexpr std::size_t minSamples = 4;
constexpr std::chrono::minutes sampleLifetime {2};
// Work takes longer than usual at an endpoint if its factor is above this.
constexpr double slowFrom = 1.4;
// An observed time is compared with a report that is not older than this.
constexpr milliseconds reportLifetime {2000};
constexpr std::int64_t minComparisons = 8;
constexpr double comparisonWeight = 0.2;
// Reports that differ from the observed times by more than this factor are ignored.
constexpr double maxContradiction = 3.0;

} // namespace

void endpoint_speed::noteReported(std::int64_t workTimePercent, instant now)
{
    const double factor = static_cast<double>(workTimePercent) / percentAsUsual;
    m_reported = {factor, now};
    if (areReportsTrusted()) {
        noteOwn(factor, now);
    }
}

void endpoint_speed::noteObserved(double factor, instant now)
{
    if (factor <= 0.0) {
        return;
    }
    if (m_reported && now - m_reported->at <= reportLifetime) {
        m_contradiction += (std::log(factor / m_reported->factor) - m_contradiction) * comparisonWeight;
        ++m_compared;
        if (areReportsTrusted()) {
            return;
        }
    }
    noteOwn(factor, now);
}

void endpoint_speed::notePeer(double factor, instant now)
{
    addSample(std::clamp(factor, minFactor, maxFactor), now);
}

void endpoint_speed::noteOwn(double factor, instant now)
{
    const double believed = std::clamp(factor, minFactor, maxFactor);
    m_newest = {believed, now};
    if (m_samples.empty() || m_sampledUntil.hasPassed(now)) {
        m_sampledUntil = deadline::after(now, sampleInterval);
        addSample(believed, now);
    }
}

void endpoint_speed::addSample(double factor, instant now)
{
    std::erase_if(m_samples, [&](const sample &known) { return now - known.at > sampleLifetime; });
    m_samples.reserve(maxSamples);
    if (m_samples.size() == maxSamples) {
        m_samples.erase(m_samples.begin());
    }
    m_samples.push_back({factor, now});
    if (m_samples.size() < minSamples) {
        m_steady = 1.0;
        return;
    }
    std::vector<double> factors;
    factors.reserve(m_samples.size());
    for (const sample &known : m_samples) {
        factors.push_back(known.factor);
    }
    const auto middle = factors.begin() + static_cast<std::ptrdiff_t>((factors.size() - 1) / 2);
    std::nth_element(factors.begin(), middle, factors.end());
    m_steady = *middle;
}

double endpoint_speed::slowdown(instant now) const
{
    const double steady = steadySlowdown(now);
    if (!m_newest) {
        return steady;
    }
    const std::chrono::duration<double> age = now - m_newest->at;
    return steady + (m_newest->factor - steady) * std::exp(-age / newestEvidenceLifetime);
}

double endpoint_speed::steadySlowdown(instant now) const
{
    return m_samples.empty() || now - m_samples.back().at > sampleLifetime ? 1.0 : m_steady;
}

std::optional<double> endpoint_speed::newestFactor() const
{
    return m_newest ? std::optional(m_newest->factor) : std::nullopt;
}

speed_class endpoint_speed::classify(instant now) const
{
    if (steadySlowdown(now) >= slowFrom) {
        return speed_class::slow;
    }
    return slowdown(now) >= slowFrom ? speed_class::disturbed : speed_class::usual;
}

bool endpoint_speed::areReportsTrusted() const
{
    return m_compared < minComparisons || std::abs(m_contradiction) < std::log(maxContradiction);
}

boot_clock::duration endpoint_speed::evidenceLifetime()
{
    return sampleLifetime;
}

} // namespace burdockshelf
