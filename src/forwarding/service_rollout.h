#pragma once

#include "forwarding/rollout_exposure.h"
#include "forwarding/rollout_judge.h"

#include <optional>
#include <set>

namespace burdockshelf
{

/// The versions of one service, the order in force for it and the decision about it. Owned by rollout_gate.
class service_rollout
{
public:
    explicit service_rollout(rollout_settings settings);

    void noteRegistered(const service_version &version, instant now);
    void noteRemoved(const service_version &version);

    /// Returns whether the order is new. The deadline is the order's own for one that has just been written.
    bool setOrder(const rollout_order &order, rollout_number number, deadline completeBy, instant now);
    /// The operator has deleted the order. Versions that are not trusted stay so.
    void clearOrder();
    /// Returns whether the decision changes what applies here. A terminal state is never left, and a holder that has been replaced is
    /// ignored.
    bool applyDecision(const rollout_decision &decided, instant now);

    /// An order is in force and not decided for good.
    bool isInForce() const;
    /// A decision about the order in force, or about a later one that has not been read here yet.
    const std::optional<rollout_decision> &decision() const;
    /// When the state of the decision was first applied here.
    instant appliedAt() const;
    const std::optional<rollout_order> &order() const;
    /// True when the version may get requests at this moment, apart from the bound on its exposure.
    bool mayReceive(const service_version &version, bool isInContact, instant now) const;
    /// The side that a version is on while evidence is collected; nothing when requests need not stay on a side.
    std::optional<rollout_side> sideOf(const service_version &version) const;
    /// True for versions that are replaced by the order in force.
    bool isReplaced(const service_version &version) const;
    /// Every version that has been seen may receive requests, whatever the time.
    bool isUnrestricted(instant now) const;

    bool mayExpose(std::int64_t attempts, bool isInContact) const;
    bool takeExposure(std::int64_t attempts, bool isInContact);
    void noteReached();
    void noteResult(const evidence_key &key, const service_version &version, bool isFailure, std::optional<boot_clock::duration> latency);
    const rollout_exposure &exposure() const;
    /// What this instance has to tell the others, without the attempts in progress.
    rollout_report report() const;
    /// Judges the evidence of all instances.
    const rollout_finding &review(const rollout_evidence &total, instant now);
    const rollout_finding &finding() const;

    /// The decision that the holder has to write next; nothing when the newest one stands.
    std::optional<rollout_decision> nextDecision(bool isOldDrained, instant now) const;

private:
    struct version_info
    {
        /// Until then an order for the version may still be on its way.
        deadline trustedFrom;
        std::int64_t endpoints = 0;
    };

    bool hasDecision() const;
    bool isTrusted(const service_version &version, instant now) const;
    bool isCollecting() const;
    bool isListedAsTrusted(const service_version &version) const;
    bool hasEndpoints(const service_version &version) const;
    rollout_decision firstDecision() const;
    void enterTerminal(const rollout_decision &decided);

    rollout_settings m_settings;
    std::map<service_version, version_info> m_versions;
    /// Until then all versions belong to the state that this instance has found when it started.
    std::optional<deadline> m_initialUntil;
    std::set<service_version> m_rejected;
    /// Versions that a completed rollout has replaced and that still have endpoints.
    std::set<service_version> m_retired;
    std::optional<rollout_order> m_order;
    rollout_number m_number;
    deadline m_completeBy = deadline::never();
    deadline m_promoteAt = deadline::never();
    std::vector<service_version> m_trustedAtOrder;
    bool m_wasTargetTrusted = false;
    std::optional<rollout_decision> m_decision;
    instant m_appliedAt;
    rollout_exposure m_exposure;
    rollout_evidence m_evidence;
    rollout_judge m_judge;
};

} // namespace burdockshelf
