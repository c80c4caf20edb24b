#pragma once

#include "core/deadline.h"
#include "core/random_source.h"

#include <chrono>

namespace burdockshelf
{

struct circuit_breaker_settings
{
    /// Consecutive failures that open the breaker.
    int failureThreshold = 3;
    std::chrono::milliseconds initialOpenTime {500};
    std::chrono::milliseconds maxOpenTime {10000};
    /// A probe that has no result after this time no longer blocks other attempts.
    std::chrono::milliseconds probeTimeout {5000};
};

/// Circuit breaker of one endpoint, as seen by one instance. After consecutive failures the endpoint receives no attempts for a while, then
/// a single probe, whose result decides. The open time doubles with every failed probe and is jittered, so that instances do not probe at
/// the same time.
class endpoint_circuit_breaker
{
public:
    explicit endpoint_circuit_breaker(circuit_breaker_settings settings = {});

    /// True if an attempt may be started now.
    bool allows(instant now) const;
    /// Records the start of an attempt. While the breaker is half open, the attempt is the probe.
    void started(instant now);
    void succeeded();
    void failed(instant now, random_source &random);

    bool isOpen() const;

private:
    circuit_breaker_settings m_settings;
    int m_failures = 0;
    bool m_isOpen = false;
    std::chrono::milliseconds m_openTime {};
    deadline m_openUntil;
    deadline m_probeUntil;
};

} // namespace burdockshelf
