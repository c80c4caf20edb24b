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

/// Latencies in buckets whose bounds grow by a constant factor, so that a quantile is right within 2% of its value. Sketches of several
/// instances are merged by adding up the counts of equal buckets; a quantile of the merged sketch has the same relative error as if one
/// sketch had seen every value, which holds for no mean or maximum of quantiles.
class latency_sketch
{
public:
    using duration = std::chrono::microseconds;
    /// A bucket number and how many values fell into it.
    using bucket_counts = std::map<int, std::uint64_t>;

    static constexpr double relativeError = 0.02;

    latency_sketch();

    void add(duration value);
    /// Adds the counts of another sketch. The rolling mean stays that of the values added here.
    void merge(const latency_sketch &other);

    std::uint64_t count() const;
    /// The value below which the given share of all values lies; zero for an empty sketch.
    duration quantile(double share) const;
    duration mean() const;
    duration max() const;
    /// In microseconds squared.
    double variance() const;
    /// Mean of the last values that were added here.
    duration rollingMean() const;
    /// Values that lie in the buckets up to the one of the bound.
    std::uint64_t countUpTo(duration bound) const;
    const bucket_counts &buckets() const;

private:
    using moments = boost::accumulators::accumulator_set<double,
                                                         boost::accumulators::stats<boost::accumulators::tag::count,
                                                                                    boost::accumulators::tag::mean,
                                                                                    boost::accumulators::tag::variance,
                                                                                    boost::accumulators::tag::max>>;
    using window = boost::accumulators::accumulator_set<double, boost::accumulators::stats<boost::accumulators::tag::rolling_mean>>;

    double exactMean() const;
    static int bucketOf(duration value);
    static duration middleOf(int bucket);

    bucket_counts m_buckets;
    moments m_local;
    window m_recent;
    // What merge() has added; an accumulator cannot take another one in.
    std::uint64_t m_mergedCount = 0;
    double m_mergedMean = 0.0;
    double m_mergedVariance = 0.0;
    double m_mergedMax = 0.0;
};

} // namespace burdockshelf
