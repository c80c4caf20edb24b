#pragma once

#include "core/deadline.h"
#include "core/random_source.h"

#include <chrono>

namespace burdockshelf
{

struct endpoint_health_settings
{
    /// Failures in a row that open the breaker.
    int openAfter = 3;
    std::chrono::milliseconds firstOpenTime {500};
    std::chrono::milliseconds longestOpenTime {10000};
    /// A probe without a result after this time no longer keeps others out.
    std::chrono::milliseconds probeTime {5000};
};

/// Circuit breaker of one endpoint, as one instance sees it. After failures in a row the endpoint gets nothing for a while, then a single
/// probe, whose result decides. The waiting time doubles with every failed probe and is jittered, so that instances do not probe together.
class endpoint_health
{
public:
    explicit endpoint_health(endpoint_health_settings settings = {});

    /// True when an attempt may be started now.
    bool allows(instant now) const;
    /// An attempt starts; while the breaker is half open it is the probe.
    void started(instant now);
    void succeeded();
    void failed(instant now, random_source &random);

    bool isOpen() const;

private:
    endpoint_health_settings m_settings;
    int m_failures = 0;
    bool m_isOpen = false;
    std::chrono::milliseconds m_openTime {};
    deadline m_openUntil;
    deadline m_probeUntil;
};

} // namespace burdockshelf
