#include "metrics/latency_sketch.h"

#include <algorithm>
#include <cmath>

namespace burdockshelf
{

namespace accumulators = boost::accumulators;

namespace
{

constexpr std::size_t rollingValues = 128;
// The middle of a bucket is off by at most the relative error when its bounds lie this factor apart.
constexpr double growth = (1.0 + latency_sketch::relativeError) / (1.0 - latency_sketch::relativeError);
// One day; larger values share a bucket, which bounds the number of buckets to about 650.
constexpr double largest = 24.0 * 3600.0 * 1e6;

latency_sketch::duration toDuration(double microseconds)
{
    return latency_sketch::duration(std::llround(microseconds));
}

} // namespace

latency_sketch::latency_sketch()
    : m_recent(accumulators::tag::rolling_window::window_size = rollingValues)
{
}

void latency_sketch::add(duration value)
{
    const auto microseconds = static_cast<double>(std::max<duration::rep>(value.count(), 0));
    ++m_buckets[bucketOf(value)];
    m_local(microseconds);
    m_recent(microseconds);
}

void latency_sketch::merge(const latency_sketch &other)
{
    if (other.count() == 0) {
        return;
    }
    for (const auto &[bucket, values] : other.m_buckets) {
        m_buckets[bucket] += values;
    }
    const auto mine = static_cast<double>(m_mergedCount);
    const auto theirs = static_cast<double>(other.count());
    const double all = mine + theirs;
    const double distance = other.exactMean() - m_mergedMean;
    m_mergedVariance = (mine * m_mergedVariance + theirs * other.variance()) / all + distance * distance * mine * theirs / (all * all);
    m_mergedMean += distance * theirs / all;
    m_mergedCount += other.count();
    m_mergedMax = std::max(m_mergedMax, static_cast<double>(other.max().count()));
}

std::uint64_t latency_sketch::count() const
{
    return accumulators::count(m_local) + m_mergedCount;
}

latency_sketch::duration latency_sketch::quantile(double share) const
{
    const std::uint64_t total = count();
    if (total == 0) {
        return {};
    }
    const double wanted = std::clamp(share, 0.0, 1.0) * static_cast<double>(total);
    const auto rank = std::clamp<std::uint64_t>(static_cast<std::uint64_t>(std::ceil(wanted)), 1, total);
    std::uint64_t seen = 0;
    for (const auto &[bucket, values] : m_buckets) {
        seen += values;
        if (seen >= rank) {
            return middleOf(bucket);
        }
    }
    return max();
}

latency_sketch::duration latency_sketch::mean() const
{
    return toDuration(exactMean());
}

latency_sketch::duration latency_sketch::max() const
{
    const double local = accumulators::count(m_local) == 0 ? 0.0 : accumulators::max(m_local);
    return toDuration(std::max(local, m_mergedMax));
}

double latency_sketch::variance() const
{
    const auto local = static_cast<double>(accumulators::count(m_local));
    const auto merged = static_cast<double>(m_mergedCount);
    if (local == 0.0) {
        return m_mergedVariance;
    }
    const double all = local + merged;
    const double distance = accumulators::mean(m_local) - m_mergedMean;
    return (local * accumulators::variance(m_local) + merged * m_mergedVariance) / all + distance * distance * local * merged / (all * all);
}

latency_sketch::duration latency_sketch::rollingMean() const
{
    return accumulators::count(m_local) == 0 ? duration() : toDuration(accumulators::rolling_mean(m_recent));
}

std::uint64_t latency_sketch::countUpTo(duration bound) const
{
    std::uint64_t seen = 0;
    for (const auto &[bucket, values] : m_buckets) {
        if (bucket > bucketOf(bound)) {
            break;
        }
        seen += values;
    }
    return seen;
}

const latency_sketch::bucket_counts &latency_sketch::buckets() const
{
    return m_buckets;
}

double latency_sketch::exactMean() const
{
    const auto local = static_cast<double>(accumulators::count(m_local));
    const auto merged = static_cast<double>(m_mergedCount);
    if (local + merged == 0.0) {
        return 0.0;
    }
    const double localSum = local > 0.0 ? accumulators::mean(m_local) * local : 0.0;
    return (localSum + m_mergedMean * merged) / (local + merged);
}

// Bucket 0 holds up to 1 us; bucket n holds (growth^(n-1), growth^n].
int latency_sketch::bucketOf(duration value)
{
    const double bounded = std::clamp(static_cast<double>(value.count()), 1.0, largest);
    return static_cast<int>(std::ceil(std::log(bounded) / std::log(growth)));
}

latency_sketch::duration latency_sketch::middleOf(int bucket)
{
    const double upper = std::pow(growth, bucket);
    return toDuration(2.0 * upper / (growth + 1.0));
}

} // namespace burdockshelf
