#include "routing/service_level.h"

#include <utility>

namespace burdockshelf
{

service_level::service_level(workspace_id workspace, urgency_class_id urgency, const urgency_class_settings &targets, instant acceptedAt)
    : m_workspace(std::move(workspace))
    , m_urgency(std::move(urgency))
    , m_targets(targets)
    , m_acceptedAt(acceptedAt)
{
}

void service_level::noteToken(instant now)
{
    if (!m_firstToken) {
        m_firstToken = now;
    }
    m_lastToken = now;
    ++m_tokens;
}

const workspace_id &service_level::workspace() const
{
    return m_workspace;
}

const urgency_class_id &service_level::urgency() const
{
    return m_urgency;
}

service_level::duration service_level::timeToFirstToken(instant now) const
{
    return std::chrono::duration_cast<duration>(m_firstToken.value_or(now) - m_acceptedAt);
}

std::optional<service_level::duration> service_level::timeBetweenTokens() const
{
    if (m_tokens < 2) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<duration>(m_lastToken - *m_firstToken) / (m_tokens - 1);
}

service_level_outcome service_level::causeOfAnswer(instant now) const
{
    const bool isFirstTokenInTime = timeToFirstToken(now) <= m_targets.firstTokenTarget;
    const bool areLaterTokensInTime = timeBetweenTokens().value_or(duration::zero()) <= m_targets.betweenTokensTarget;
    return isFirstTokenInTime && areLaterTokensInTime ? service_level_outcome::good : service_level_outcome::latency;
}

std::optional<service_level_outcome> causeOfRefusal(error_code code, bool isNotExecuted)
{
    switch (code) {
    case error_code::quota_exceeded:
    case error_code::key_withdrawn:
    case error_code::in_progress:
    case error_code::conflict:
        return std::nullopt;
    default:
        return isNotExecuted ? service_level_outcome::refusal : service_level_outcome::failure;
    }
}

} // namespace burdockshelf
