#include "forwarding/service_rollout.h"

#include <algorithm>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

// Endpoints that are read within this time after the first one of their service were registered before this instance started.
constexpr milliseconds initialPeriod {1000};
// Streams at the old endpoints need seconds to end, and the decision has to reach all instances before that.
constexpr milliseconds maxPromotionTime {4000};
constexpr std::int64_t promotionTimeDivisor = 3;
// Time for the decision and the status to be written before the deadline.
constexpr milliseconds writeMargin {800};

bool contains(const std::vector<service_version> &list, const service_version &version)
{
    return std::find(list.begin(), list.end(), version) != list.end();
}

} // namespace

std::string_view rolloutStateName(rollout_state state)
{
    static constexpr std::array<std::string_view, 4> names = {"collecting", "promoting", "completed", "rolled_back"};
    return names.at(static_cast<std::size_t>(state));
}

service_rollout::service_rollout(rollout_settings settings)
    : m_settings(settings)
{
}

void service_rollout::noteRegistered(const service_version &version, instant now)
{
    if (!m_initialUntil) {
        m_initialUntil = deadline::after(now, initialPeriod);
    }
    const bool isInitial = !m_initialUntil->hasPassed(now);
    const deadline trustedFrom = isInitial ? deadline() : deadline::after(now, m_settings.configurationDelay);
    m_versions.try_emplace(version, version_info {trustedFrom, 0}).first->second.endpoints += 1;
}

void service_rollout::noteRemoved(const service_version &version)
{
    const auto found = m_versions.find(version);
    if (found == m_versions.end()) {
        return;
    }
    found->second.endpoints = std::max<std::int64_t>(found->second.endpoints - 1, 0);
    // A later endpoint of a replaced version belongs to another release.
    if (found->second.endpoints == 0 && m_retired.erase(version) > 0) {
        m_versions.erase(found);
    }
}

bool service_rollout::setOrder(const rollout_order &order, rollout_number number, deadline completeBy, instant now)
{
    if (m_order && number <= m_number) {
        return false;
    }
    // The target of an order that is still in force is not trusted by the order that replaces it.
    if (!isInForce()) {
        m_trustedAtOrder.clear();
        for (const auto &[version, info] : m_versions) {
            if (isTrusted(version, now)) {
                m_trustedAtOrder.push_back(version);
            }
        }
        m_wasTargetTrusted = contains(m_trustedAtOrder, order.target);
        // An instance that has just started takes endpoints of the target for established ones, so the target is tried like a new version.
        if (m_trustedAtOrder.size() > 1) {
            std::erase(m_trustedAtOrder, order.target);
        }
    }
    m_order = order;
    m_number = number;
    m_completeBy = completeBy;
    m_promoteAt = deadline(completeBy.at() - std::min(maxPromotionTime, order.allowed / promotionTimeDivisor));
    m_exposure = rollout_exposure(m_settings.share);
    m_evidence.clear();
    m_judge = rollout_judge();
    m_rejected.erase(order.target);
    return true;
}

void service_rollout::clearOrder()
{
    if (isInForce() && !m_wasTargetTrusted) {
        m_rejected.insert(m_order->target);
    }
    m_order.reset();
    m_number = rollout_number();
    m_decision.reset();
    m_trustedAtOrder.clear();
}

bool service_rollout::applyDecision(const rollout_decision &decided, instant now)
{
    if (!m_order || decided.order < m_number) {
        return false;
    }
    if (m_decision && decided.order <= m_decision->order) {
        const bool isOlder = decided.order < m_decision->order || decided.generation < m_decision->generation;
        const bool leavesTerminal = isTerminal(m_decision->state) && decided.state != m_decision->state;
        if (isOlder || leavesTerminal || decided == *m_decision) {
            return false;
        }
    }
    const bool isFirst = !m_decision || m_decision->order != decided.order;
    if (isFirst || m_decision->state != decided.state) {
        m_appliedAt = now;
    }
    m_decision = decided;
    m_trustedAtOrder = decided.trusted;
    m_rejected.insert(decided.rejected.begin(), decided.rejected.end());
    m_rejected.erase(decided.target);
    // An instance that has read the order late does not know how much of its time was left.
    if (isFirst && decided.completeBy < m_completeBy) {
        m_promoteAt = deadline(m_promoteAt.at() - (m_completeBy.at() - decided.completeBy.at()));
        m_completeBy = decided.completeBy;
    }
    if (isTerminal(decided.state)) {
        enterTerminal(decided);
    }
    return true;
}

void service_rollout::enterTerminal(const rollout_decision &decided)
{
    if (decided.state == rollout_state::rolled_back) {
        m_rejected.insert(decided.target);
        return;
    }
    m_versions[decided.target].trustedFrom = deadline();
    for (const service_version &old : decided.trusted) {
        if (old != decided.target && hasEndpoints(old)) {
            m_retired.insert(old);
        }
    }
}

bool service_rollout::hasDecision() const
{
    return m_order && m_decision && m_decision->order >= m_number;
}

bool service_rollout::isInForce() const
{
    return m_order && !(hasDecision() && isTerminal(m_decision->state));
}

const std::optional<rollout_decision> &service_rollout::decision() const
{
    return m_decision;
}

instant service_rollout::appliedAt() const
{
    return m_appliedAt;
}

const std::optional<rollout_order> &service_rollout::order() const
{
    return m_order;
}

bool service_rollout::isTrusted(const service_version &version, instant now) const
{
    const auto found = m_versions.find(version);
    return found != m_versions.end() && found->second.trustedFrom.hasPassed(now) && m_rejected.count(version) == 0
        && m_retired.count(version) == 0;
}

bool service_rollout::isListedAsTrusted(const service_version &version) const
{
    return contains(m_trustedAtOrder, version);
}

bool service_rollout::isCollecting() const
{
    return m_order && hasDecision() && m_decision->state == rollout_state::collecting;
}

bool service_rollout::mayReceive(const service_version &version, bool isInContact, instant now) const
{
    if (hasDecision() && m_decision->state == rollout_state::promoting) {
        return version == m_decision->target;
    }
    if (!isInForce()) {
        return isTrusted(version, now);
    }
    if (isCollecting() && version == m_decision->target) {
        return isInContact && m_judge.finding().verdict != rollout_verdict::bad;
    }
    return isListedAsTrusted(version);
}

std::optional<rollout_side> service_rollout::sideOf(const service_version &version) const
{
    if (!isCollecting()) {
        return std::nullopt;
    }
    return version == m_decision->target ? rollout_side::candidate : rollout_side::trusted;
}

bool service_rollout::isReplaced(const service_version &version) const
{
    return hasDecision() && version != m_decision->target && isListedAsTrusted(version);
}

bool service_rollout::isUnrestricted(instant now) const
{
    return !isInForce() && m_rejected.empty() && m_retired.empty()
        && std::all_of(m_versions.begin(), m_versions.end(), [&](const auto &one) { return one.second.trustedFrom.hasPassed(now); });
}

bool service_rollout::hasEndpoints(const service_version &version) const
{
    const auto found = m_versions.find(version);
    return found != m_versions.end() && found->second.endpoints > 0;
}

bool service_rollout::mayExpose(std::int64_t attempts, bool isInContact) const
{
    return isCollecting() && isInContact && m_judge.finding().verdict != rollout_verdict::bad && hasEndpoints(m_decision->target)
        && m_exposure.mayTake(attempts);
}

bool service_rollout::takeExposure(std::int64_t attempts, bool isInContact)
{
    return mayExpose(attempts, isInContact) && m_exposure.take(attempts);
}

void service_rollout::noteReached()
{
    if (isInForce()) {
        m_exposure.noteReached();
    }
}

void service_rollout::noteResult(const evidence_key &key,
                                 const service_version &version,
                                 bool isFailure,
                                 std::optional<boot_clock::duration> latency)
{
    if (!isInForce() || !hasDecision()) {
        return;
    }
    const bool isCandidate = version == m_decision->target;
    if (!isCandidate && !isListedAsTrusted(version)) {
        return;
    }
    evidence_counts &counts = m_evidence[key][static_cast<std::size_t>(isCandidate ? rollout_side::candidate : rollout_side::trusted)];
    ++counts.responses;
    counts.failures += isFailure ? 1 : 0;
    if (!isFailure && latency) {
        ++counts.latencies.at(latencyBucketOf(*latency));
    }
}

const rollout_exposure &service_rollout::exposure() const
{
    return m_exposure;
}

rollout_report service_rollout::report() const
{
    rollout_report report;
    report.service = m_order ? m_order->service : service_id();
    report.order = m_number;
    report.state = hasDecision() ? m_decision->state : rollout_state::collecting;
    report.evidence = m_evidence;
    return report;
}

const rollout_finding &service_rollout::review(const rollout_evidence &total, instant now)
{
    return m_judge.review(total, now);
}

const rollout_finding &service_rollout::finding() const
{
    return m_judge.finding();
}

rollout_decision service_rollout::firstDecision() const
{
    rollout_decision first;
    first.service = m_order->service;
    first.target = m_order->target;
    first.order = m_number;
    first.trusted = m_trustedAtOrder;
    first.rejected.assign(m_rejected.begin(), m_rejected.end());
    first.completeBy = m_completeBy;
    const bool isInForceAlready = m_trustedAtOrder.size() == 1 && m_trustedAtOrder.front() == m_order->target;
    first.state = isInForceAlready ? rollout_state::completed : rollout_state::collecting;
    return first;
}

std::optional<rollout_decision> service_rollout::nextDecision(bool isOldDrained, instant now) const
{
    if (!m_order || (hasDecision() && isTerminal(m_decision->state))) {
        return std::nullopt;
    }
    if (!hasDecision()) {
        return firstDecision();
    }
    rollout_decision next = *m_decision;
    if (m_judge.finding().verdict == rollout_verdict::bad) {
        next.state = rollout_state::rolled_back;
        return next;
    }
    const bool isLast = deadline(m_completeBy.at() - writeMargin).hasPassed(now);
    if (m_decision->state == rollout_state::promoting) {
        next.state = rollout_state::completed;
        return isOldDrained || isLast ? std::optional(next) : std::nullopt;
    }
    // Without endpoints of the target, a completed rollout would leave the service without any.
    if (!hasEndpoints(m_order->target) || !m_promoteAt.hasPassed(now)) {
        return std::nullopt;
    }
    next.state = isLast ? rollout_state::completed : rollout_state::promoting;
    return next;
}

} // namespace burdockshelf
