#include "metrics/latency_sketch.h"

#include <algorithm>
#include <cmath>

namespace burdockshelf
{

namespace accumulators = boost::accumulators;

namespace
{

constexpr std::size_t rollingWindowSize = 128;
// Ratio of the bounds of a bucket. It keeps the error of the bucket's midpoint within the relative error.
constexpr double bucketGrowthFactor = (1.0 + latency_sketch::relativeError) / (1.0 - latency_sketch::relativeError);
// One day. Larger values share the last bucket, which limits the number of buckets to about 650.
constexpr double maxMicroseconds = 24.0 * 3600.0 * 1e6;

latency_sketch::duration toDuration(double microseconds)
{
    return latency_sketch::duration(std::llround(microseconds));
}

} // namespace

latency_sketch::latency_sketch()
    : m_recentValues(accumulators::tag::rolling_window::window_size = rollingWindowSize)
{
}

void latency_sketch::add(duration value)
{
    const auto microseconds = static_cast<double>(std::max<duration::rep>(value.count(), 0));
    ++m_buckets[bucketIndex(value)];
    m_localMoments(microseconds);
    m_recentValues(microseconds);
}

void latency_sketch::merge(const latency_sketch &other)
{
    if (other.count() == 0) {
        return;
    }
    for (const auto &[bucket, values] : other.m_buckets) {
        m_buckets[bucket] += values;
    }
    const auto previousCount = static_cast<double>(m_mergedCount);
    const auto otherCount = static_cast<double>(other.count());
    const double all = previousCount + otherCount;
    const double meanDifference = other.meanMicroseconds() - m_mergedMean;
    m_mergedVariance = (previousCount * m_mergedVariance + otherCount * other.variance()) / all
        + meanDifference * meanDifference * previousCount * otherCount / (all * all);
    m_mergedMean += meanDifference * otherCount / all;
    m_mergedCount += other.count();
    m_mergedMax = std::max(m_mergedMax, static_cast<double>(other.max().count()));
}

std::uint64_t latency_sketch::count() const
{
    return accumulators::count(m_localMoments) + m_mergedCount;
}

latency_sketch::duration latency_sketch::quantile(double fraction) const
{
    const std::uint64_t total = count();
    if (total == 0) {
        return {};
    }
    const double exactRank = std::clamp(fraction, 0.0, 1.0) * static_cast<double>(total);
    const auto rank = std::clamp<std::uint64_t>(static_cast<std::uint64_t>(std::ceil(exactRank)), 1, total);
    std::uint64_t seen = 0;
    for (const auto &[bucket, values] : m_buckets) {
        seen += values;
        if (seen >= rank) {
            return bucketMidpoint(bucket);
        }
    }
    return max();
}

latency_sketch::duration latency_sketch::mean() const
{
    return toDuration(meanMicroseconds());
}

latency_sketch::duration latency_sketch::max() const
{
    const double local = accumulators::count(m_localMoments) == 0 ? 0.0 : accumulators::max(m_localMoments);
    return toDuration(std::max(local, m_mergedMax));
}

double latency_sketch::variance() const
{
    const auto local = static_cast<double>(accumulators::count(m_localMoments));
    const auto merged = static_cast<double>(m_mergedCount);
    if (local == 0.0) {
        return m_mergedVariance;
    }
    const double all = local + merged;
    const double meanDifference = accumulators::mean(m_localMoments) - m_mergedMean;
    return (local * accumulators::variance(m_localMoments) + merged * m_mergedVariance) / all
        + meanDifference * meanDifference * local * merged / (all * all);
}

latency_sketch::duration latency_sketch::rollingMean() const
{
    return accumulators::count(m_localMoments) == 0 ? duration() : toDuration(accumulators::rolling_mean(m_recentValues));
}

std::uint64_t latency_sketch::countUpTo(duration bound) const
{
    std::uint64_t seen = 0;
    for (const auto &[bucket, values] : m_buckets) {
        if (bucket > bucketIndex(bound)) {
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

double latency_sketch::meanMicroseconds() const
{
    const auto local = static_cast<double>(accumulators::count(m_localMoments));
    const auto merged = static_cast<double>(m_mergedCount);
    if (local + merged == 0.0) {
        return 0.0;
    }
    const double localSum = local > 0.0 ? accumulators::mean(m_localMoments) * local : 0.0;
    return (localSum + m_mergedMean * merged) / (local + merged);
}

// Bucket 0 holds values up to 1 us; bucket n holds values in (bucketGrowthFactor^(n-1), bucketGrowthFactor^n].
int latency_sketch::bucketIndex(duration value)
{
    const double bounded = std::clamp(static_cast<double>(value.count()), 1.0, maxMicroseconds);
    return static_cast<int>(std::ceil(std::log(bounded) / std::log(bucketGrowthFactor)));
}

latency_sketch::duration latency_sketch::bucketMidpoint(int bucket)
{
    const double upper = std::pow(bucketGrowthFactor, bucket);
    return toDuration(2.0 * upper / (bucketGrowthFactor + 1.0));
}

} // namespace burdockshelf
