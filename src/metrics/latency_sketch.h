#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/rolling_mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/variance.hpp>

namespace burdockshelf
{

/// Quantile sketch of latencies. The bucket bounds grow by a constant factor, which limits the relative error of a quantile to 2%. Sketches
/// of several instances are merged by adding up the counts of equal buckets. A merged quantile has the same relative error as that of a
/// single sketch with all values; averages or maxima of the quantiles of several instances have no such bound.
class latency_sketch
{
public:
    using duration = std::chrono::microseconds;
    /// Number of values by bucket index.
    using bucket_counts = std::map<int, std::uint64_t>;

    static constexpr double relativeError = 0.02;

    latency_sketch();

    void add(duration value);
    /// Adds the counts and moments of another sketch. The rolling mean still covers only values passed to add() of this sketch.
    void merge(const latency_sketch &other);

    std::uint64_t count() const;
    /// Returns the quantile for a fraction from 0 to 1, or zero for an empty sketch.
    duration quantile(double fraction) const;
    duration mean() const;
    duration max() const;
    /// Variance in microseconds squared.
    double variance() const;
    /// Mean of the 128 latest values passed to add() of this sketch.
    duration rollingMean() const;
    /// Number of values in the buckets up to and including the bucket that contains the bound.
    std::uint64_t countUpTo(duration bound) const;
    const bucket_counts &buckets() const;

private:
    using moments = boost::accumulators::accumulator_set<double,
                                                         boost::accumulators::stats<boost::accumulators::tag::count,
                                                                                    boost::accumulators::tag::mean,
                                                                                    boost::accumulators::tag::variance,
                                                                                    boost::accumulators::tag::max>>;
    using window = boost::accumulators::accumulator_set<double, boost::accumulators::stats<boost::accumulators::tag::rolling_mean>>;

    double meanMicroseconds() const;
    static int bucketIndex(duration value);
    static duration bucketMidpoint(int bucket);

    bucket_counts m_buckets;
    moments m_localMoments;
    window m_recentValues;
    // Moments of the merged sketches, kept apart because Boost accumulators cannot be merged.
    std::uint64_t m_mergedCount = 0;
    double m_mergedMean = 0.0;
    double m_mergedVariance = 0.0;
    double m_mergedMax = 0.0;
};

} // namespace burdockshelf
