#include "forwarding/rollout_judge.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

constexpr std::size_t trustedIndex = static_cast<std::size_t>(rollout_side::trusted);
constexpr std::size_t candidateIndex = static_cast<std::size_t>(rollout_side::candidate);
// Standard deviations by which the candidate must exceed the expected events. The evidence is judged about once a second, for each route
// and about ten measures, so chance alone must not reach this in some thousand comparisons.
constexpr double significantDeviation = 4.5;
// The normal approximation fails for rare events: of few events in total, all may fall on the candidate by chance.
constexpr std::int64_t minEvents = 5;
constexpr double minExcess = 4.0;
// Smaller differences in speed follow from the load and the place of endpoints. Failures have no such cause.
constexpr double minSlowDifference = 0.05;
// A latency counts as slow when it is more than one bucket, which is at least twice as long, above the trusted versions' median.
constexpr std::size_t slowBucketDistance = 2;
constexpr milliseconds windowStep {4000};
constexpr std::int64_t minResponsesForGood = 200;

/// Events among the responses of both sides in one stratum.
struct stratum
{
    std::array<std::int64_t, rolloutSideCount> responses {};
    std::array<std::int64_t, rolloutSideCount> events {};
};

using strata = std::vector<stratum>;

/// Sums of the Mantel-Haenszel test.
struct comparison
{
    std::int64_t responses = 0;
    std::int64_t events = 0;
    double expected = 0.0;
    double variance = 0.0;

    double excess() const
    {
        return static_cast<double>(events) - expected;
    }

    bool isWorse(double minDifference) const
    {
        return events >= minEvents && excess() >= minExcess && excess() >= minDifference * static_cast<double>(responses)
            && excess() >= significantDeviation * std::sqrt(variance);
    }
};

comparison compare(const strata &all)
{
    comparison result;
    for (const stratum &one : all) {
        const auto candidate = static_cast<double>(one.responses[candidateIndex]);
        const auto trusted = static_cast<double>(one.responses[trustedIndex]);
        const auto events = static_cast<double>(one.events[candidateIndex] + one.events[trustedIndex]);
        const double count = candidate + trusted;
        if (candidate == 0.0 || trusted == 0.0) {
            continue;
        }
        result.responses += one.responses[candidateIndex];
        result.events += one.events[candidateIndex];
        result.expected += candidate * events / count;
        result.variance += candidate * trusted * events * (count - events) / (count * count * std::max(count - 1.0, 1.0));
    }
    return result;
}

stratum failuresOf(const evidence_pair &pair)
{
    return {{pair[trustedIndex].responses, pair[candidateIndex].responses}, {pair[trustedIndex].failures, pair[candidateIndex].failures}};
}

std::int64_t sumFrom(const evidence_counts &counts, std::size_t firstBucket)
{
    return std::accumulate(counts.latencies.begin() + static_cast<std::ptrdiff_t>(firstBucket), counts.latencies.end(), std::int64_t(0));
}

std::size_t medianBucket(const evidence_counts &counts)
{
    const std::int64_t half = (sumFrom(counts, 0) + 1) / 2;
    std::int64_t seen = 0;
    for (std::size_t bucket = 0; bucket < latencyBucketCount; ++bucket) {
        seen += counts.latencies[bucket];
        if (seen >= half) {
            return bucket;
        }
    }
    return latencyBucketCount - 1;
}

/// Responses that are slower than the trusted versions' median by at least the given number of buckets.
stratum slowOf(const evidence_pair &pair, std::size_t distance)
{
    const std::size_t first = std::min(medianBucket(pair[trustedIndex]) + distance, latencyBucketCount);
    return {{sumFrom(pair[trustedIndex], 0), sumFrom(pair[candidateIndex], 0)},
            {sumFrom(pair[trustedIndex], first), sumFrom(pair[candidateIndex], first)}};
}

using pair_selection = std::vector<const evidence_pair *>;

strata collect(const pair_selection &pairs, const std::function<stratum(const evidence_pair &)> &measure)
{
    strata all;
    all.reserve(pairs.size());
    for (const evidence_pair *pair : pairs) {
        all.push_back(measure(*pair));
    }
    return all;
}

std::optional<rollout_finding> findFault(const pair_selection &pairs, const route_id &route)
{
    const auto found = [&](const comparison &compared, std::string measure) {
        return rollout_finding {rollout_verdict::bad, route, std::move(measure), compared.responses, compared.events, compared.expected};
    };
    const comparison failures = compare(collect(pairs, failuresOf));
    if (failures.isWorse(0.0)) {
        return found(failures, "failures");
    }
    for (std::size_t distance = slowBucketDistance; distance < latencyBucketCount; ++distance) {
        const comparison slow = compare(collect(pairs, [&](const evidence_pair &pair) { return slowOf(pair, distance); }));
        if (slow.isWorse(minSlowDifference)) {
            return found(slow, "slower than " + std::to_string(1 << (distance - 1)) + " medians");
        }
    }
    return std::nullopt;
}

/// The evidence by route, with data centres joined in which the trusted versions have given no response to compare with.
std::map<route_id, std::vector<evidence_pair>> byRoute(const rollout_evidence &evidence)
{
    std::map<std::pair<route_id, attempt_kind>, evidence_pair> joined;
    std::map<route_id, std::vector<evidence_pair>> result;
    const auto add = [](evidence_pair &to, const evidence_pair &from) {
        rollout_evidence sum = {{{}, to}};
        addEvidence(sum, {{{}, from}});
        to = sum.begin()->second;
    };
    for (const auto &[key, pair] : evidence) {
        add(joined[{key.route, key.attemptKind}], pair);
    }
    for (const auto &[key, pair] : evidence) {
        if (pair[trustedIndex].responses > 0) {
            result[key.route].push_back(pair);
        } else if (pair[candidateIndex].responses > 0) {
            evidence_pair alone = joined[{key.route, key.attemptKind}];
            alone[candidateIndex] = pair[candidateIndex];
            result[key.route].push_back(alone);
        }
    }
    return result;
}

std::optional<rollout_finding> findFault(const rollout_evidence &evidence)
{
    pair_selection all;
    const auto routes = byRoute(evidence);
    for (const auto &[route, pairs] : routes) {
        pair_selection own;
        for (const evidence_pair &pair : pairs) {
            own.push_back(&pair);
            all.push_back(&pair);
        }
        if (auto fault = findFault(own, route)) {
            return fault;
        }
    }
    return findFault(all, route_id());
}

/// What has been added since an earlier state. Where nothing of the trusted versions was added, the candidate is compared with all they
/// have done before: no new requests go to them once the target is promoted.
rollout_evidence addedSince(const rollout_evidence &total, const rollout_evidence &before)
{
    rollout_evidence added = total;
    for (const auto &[key, earlier] : before) {
        evidence_pair &pair = added[key];
        for (std::size_t side = 0; side < rolloutSideCount; ++side) {
            const bool hasAdded = pair[side].responses > earlier[side].responses;
            if (side == trustedIndex && !hasAdded) {
                continue;
            }
            pair[side].responses -= earlier[side].responses;
            pair[side].failures -= earlier[side].failures;
            for (std::size_t bucket = 0; bucket < latencyBucketCount; ++bucket) {
                pair[side].latencies[bucket] = std::max<std::int64_t>(pair[side].latencies[bucket] - earlier[side].latencies[bucket], 0);
            }
            pair[side].responses = std::max<std::int64_t>(pair[side].responses, 0);
            pair[side].failures = std::max<std::int64_t>(pair[side].failures, 0);
        }
    }
    return added;
}

std::int64_t candidateResponses(const rollout_evidence &total)
{
    return std::accumulate(total.begin(), total.end(), std::int64_t(0), [](std::int64_t sum, const auto &entry) {
        return sum + entry.second[candidateIndex].responses;
    });
}

} // namespace

const rollout_finding &rollout_judge::review(const rollout_evidence &total, instant now)
{
    if (m_finding.verdict == rollout_verdict::bad) {
        return m_finding;
    }
    std::optional<rollout_finding> fault = findFault(total);
    if (!fault && !m_windowBase.empty()) {
        fault = findFault(addedSince(total, m_windowBase));
    }
    moveWindow(total, now);
    if (fault) {
        m_finding = *fault;
        return m_finding;
    }
    m_finding.candidateResponses = candidateResponses(total);
    m_finding.verdict = m_finding.candidateResponses >= minResponsesForGood ? rollout_verdict::good : rollout_verdict::collecting;
    return m_finding;
}

void rollout_judge::moveWindow(const rollout_evidence &total, instant now)
{
    if (!m_windowMovesAt.hasPassed(now)) {
        return;
    }
    m_windowBase = std::exchange(m_nextBase, total);
    m_windowMovesAt = deadline::after(now, windowStep);
}

const rollout_finding &rollout_judge::finding() const
{
    return m_finding;
}

void addEvidence(rollout_evidence &total, const rollout_evidence &part)
{
    for (const auto &[key, pair] : part) {
        evidence_pair &sum = total[key];
        for (std::size_t side = 0; side < rolloutSideCount; ++side) {
            sum[side].responses += pair[side].responses;
            sum[side].failures += pair[side].failures;
            for (std::size_t bucket = 0; bucket < latencyBucketCount; ++bucket) {
                sum[side].latencies[bucket] += pair[side].latencies[bucket];
            }
        }
    }
}

std::size_t latencyBucketOf(boot_clock::duration latency)
{
    const auto milliseconds = std::chrono::duration<double, std::milli>(latency).count();
    const double bucket = std::floor(std::log2(std::max(milliseconds, 1.0)));
    return std::min(static_cast<std::size_t>(bucket), latencyBucketCount - 1);
}

} // namespace burdockshelf
