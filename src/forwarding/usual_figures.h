#pragma once

#include "core/boot_clock.h"
#include "forwarding/endpoint_entry.h"

namespace burdockshelf
{

/// Moving averages of what is usual at the endpoints of one service in one stage. The owner feeds it from endpoints that are not paced, so
/// that an endpoint that warms up is compared with the others and not with itself. Does no I/O.
class usual_figures
{
public:
    using seconds = std::chrono::duration<double>;

    /// A request has been sent to an endpoint of the service.
    void noteTraffic();
    /// The time that one unit of work took: a plain call, or one token of a prompt.
    void noteTime(seconds perUnit);
    /// How long a request occupied an endpoint.
    void noteDuration(seconds occupied);
    void noteLoad(const endpoint_load &load);

    bool hasTraffic() const;
    bool reportsWorkTime() const;
    /// The time relative to the usual one; 1 when none is known.
    double relativeTime(seconds perUnit) const;
    /// The work time of a report relative to the usual one; 1 when either is not known.
    double relativeWorkTime(const endpoint_load &load) const;
    /// How long a request usually occupies an endpoint.
    seconds duration() const;
    /// Requests of all instances that an endpoint usually has at the same time. Half of the slots when no endpoint has reported its load.
    double requestsAtOnce(slot_count slots) const;

private:
    bool m_hasTraffic = false;
    double m_secondsPerUnit = 0.0;
    double m_duration = 0.0;
    double m_requests = -1.0;
    double m_workTimePercent = 0.0;
};

} // namespace burdockshelf
