#pragma once

#include "core/boot_clock.h"
#include "core/error.h"
#include "core/ids.h"
#include "metrics/latency_sketch.h"
#include "metrics/service_level_tracker.h"
#include "state/configuration.h"

#include <cstdint>
#include <optional>

namespace burdockshelf
{

/// Latencies of one request in comparison with the targets of its urgency class. A plain value; the current time is passed in.
class service_level
{
public:
    using duration = latency_sketch::duration;

    service_level() = default;
    service_level(workspace_id workspace, urgency_class_id urgency, const urgency_class_settings &targets, instant acceptedAt);

    void noteToken(instant now);

    const workspace_id &workspace() const;
    const urgency_class_id &urgency() const;
    /// Time to the first token, or the time elapsed until now when there was none.
    duration timeToFirstToken(instant now) const;
    /// Mean over the request; empty with fewer than two tokens.
    std::optional<duration> timeBetweenTokens() const;
    /// How a request that was answered completely counts against the service level.
    service_level_outcome causeOfAnswer(instant now) const;

private:
    workspace_id m_workspace;
    urgency_class_id m_urgency;
    urgency_class_settings m_targets;
    instant m_acceptedAt;
    std::optional<instant> m_firstToken;
    instant m_lastToken;
    std::int64_t m_tokens = 0;
};

/// How a refusal counts against the service level; empty when the caller caused it, or when the workspace may have exceeded its rate.
std::optional<service_level_outcome> causeOfRefusal(error_code code, bool isNotExecuted);

} // namespace burdockshelf
