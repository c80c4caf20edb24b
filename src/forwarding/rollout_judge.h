#pragma once

#include "forwarding/rollout_types.h"

#include <optional>
#include <string>

namespace burdockshelf
{

enum class rollout_verdict
{
    collecting,
    bad,
    good,
};

/// A verdict with the comparison that it rests on.
struct rollout_finding
{
    rollout_verdict verdict = rollout_verdict::collecting;
    /// The route that shows the fault; empty when all routes together do.
    route_id route;
    /// What differs: failures, or the share of responses that are slower than a limit.
    std::string measure;
    std::int64_t candidateResponses = 0;
    std::int64_t candidateEvents = 0;
    /// The events that the trusted versions lead to expect of as many responses.
    double expectedEvents = 0.0;
};

/// Compares the responses of a new version with those of the trusted ones in the same period. Each route is judged alone and all together,
/// by a Mantel-Haenszel test over the kinds of attempt and data centres, so that a general outage or a slow data centre affects both sides.
/// Besides all evidence, the latest is judged alone, because a version may become bad later.
class rollout_judge
{
public:
    /// Judges cumulative evidence. Once the verdict is bad it stays bad.
    const rollout_finding &review(const rollout_evidence &total, instant now);
    const rollout_finding &finding() const;

private:
    void moveWindow(const rollout_evidence &total, instant now);

    rollout_finding m_finding;
    /// The evidence before the latest window, and at the middle of it.
    rollout_evidence m_windowBase;
    rollout_evidence m_nextBase;
    deadline m_windowMovesAt;
};

/// Adds the counts of one instance to those of others.
void addEvidence(rollout_evidence &total, const rollout_evidence &part);
/// The bucket of a latency in evidence_counts.
std::size_t latencyBucketOf(boot_clock::duration latency);

} // namespace burdockshelf
