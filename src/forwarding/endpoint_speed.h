#pragma once

#include "core/boot_clock.h"
#include "core/deadline.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace burdockshelf
{

/// How long work takes at an endpoint. An endpoint that fails is not a class of its own: its failure rate says so.
enum class speed_class
{
    usual,
    /// Work takes longer at the moment, probably because of other processes on the same machine.
    disturbed,
    /// Work has taken longer for a while.
    slow,
};

/// How long work takes at one endpoint relative to what is usual: 1.0 is as usual, 2.0 twice as long. Combines the figures that the
/// endpoint reports, the times that were observed here, and what other instances have seen. The newest evidence of this instance has a
/// weight that decays within some hundred milliseconds; what remains is the median of the evidence of all instances, which a disturbance of
/// less than a second does not move.
class endpoint_speed
{
public:
    /// Records the figure of a load report; 100 means as usual.
    void noteReported(std::int64_t workTimePercent, instant now);
    /// Records a time relative to the service's usual one. Counts only while there is no report, or if the reports contradict the observed
    /// times.
    void noteObserved(double factor, instant now);
    /// Records what another instance has seen.
    void notePeer(double factor, instant now);

    /// Factor for how long work takes at this moment; 1.0 without evidence.
    double slowdown(instant now) const;
    /// The part of the slowdown that persists.
    double steadySlowdown(instant now) const;
    /// The newest evidence of this instance that was used.
    std::optional<double> newestFactor() const;
    speed_class classify(instant now) const;
    bool areReportsTrusted() const;
    /// How long evidence is used. Instances report it to each other every 10 to 60 seconds.
    static boot_clock::duration evidenceLifetime();

private:
    struct sample
    {
        double factor = 1.0;
        instant at;
    };

    void noteOwn(double factor, instant now);
    void addSample(double factor, instant now);

    /// The newest report, trusted or not.
    std::optional<sample> m_reported;
    /// The newest evidence of this instance.
    std::optional<sample> m_newest;
    /// Own evidence is sampled again when this has passed.
    deadline m_sampledUntil;
    /// Evidence of all instances, oldest first.
    std::vector<sample> m_samples;
    double m_steady = 1.0;
    /// Mean logarithm of the observed times relative to the reports.
    double m_contradiction = 0.0;
    std::int64_t m_compared = 0;
};

} // namespace burdockshelf
