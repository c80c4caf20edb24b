#pragma once

#include "forwarding/endpoint_entry.h"
#include "forwarding/service_rollout.h"

#include <optional>
#include <vector>

namespace burdockshelf
{

/// Answers which versions of the services may get requests from this instance. The only part of the rollouts that the choice of endpoints
/// and the flows call. Without settings every version may. Owned by endpoint_table. Does no I/O: time is passed in.
class rollout_gate
{
public:
    explicit rollout_gate(std::optional<rollout_settings> settings);

    bool isEnabled() const;
    void noteRegistered(const endpoint_entry &entry, instant now);
    void noteRemoved(const endpoint_entry &entry);
    /// The store has responded at the given time.
    void noteContact(instant at);

    /// Returns whether the order is new.
    bool setOrder(const rollout_order &order, rollout_number number, deadline completeBy, instant now);
    /// Returns whether there was an order.
    bool clearOrder(const service_id &service);
    std::vector<service_id> orderedServices() const;
    /// Returns whether the decision changes what applies here.
    bool applyDecision(const rollout_decision &decided, instant now);
    /// Replaces what another instance has reported; no reports when it has withdrawn them.
    void setReports(const instance_id &reporter, std::vector<rollout_report> reports, instant now);

    bool mayReceive(const endpoint_entry &entry, instant now) const;
    /// True when a request on this side may be sent to the endpoint. Requests without a side began before the order.
    bool isOnSide(const endpoint_entry &entry, rollout_side side) const;
    /// The side for a new request that needs so many attempts. Those at an untrusted version are taken from its share at once.
    rollout_side chooseSide(const service_id &service, std::int64_t attempts, instant now);
    /// Takes a further attempt at an endpoint from the share of its version, if that is bounded.
    bool takeExposure(const endpoint_entry &entry, instant now);
    /// A request has reached the service, which a response shows.
    void noteReached(const service_id &service);
    void noteResult(const service_id &service,
                    const service_version &version,
                    const evidence_key &key,
                    bool isFailure,
                    std::optional<boot_clock::duration> latency);

    /// True while any order is in force.
    bool isFollowing() const;
    /// Judges the evidence. Returns the services for which the verdict has become bad.
    std::vector<service_id> review(instant now);
    /// What this instance tells the others.
    std::vector<rollout_report> reports() const;
    const service_rollout *find(const service_id &service) const;
    /// True when this and all of the given other instances, the silent ones excepted, have reported that nothing is in progress at the
    /// replaced endpoints.
    bool isDrained(const service_id &service, const std::vector<instance_id> &instances, std::int64_t ownInProgress, instant now) const;
    /// The decisions that the holder has to write next.
    std::vector<rollout_decision> nextDecisions(const std::vector<instance_id> &instances, instant now) const;
    /// Sets the attempts in progress at the endpoints that are replaced.
    void setInProgress(const service_id &service, std::int64_t count);

private:
    struct instance_reports
    {
        std::vector<rollout_report> reports;
        instant receivedAt;
    };

    service_rollout *state(const service_id &service);
    bool isInContact(instant now) const;
    rollout_evidence totalEvidence(const service_rollout &rollout) const;

    std::optional<rollout_settings> m_settings;
    std::map<service_id, service_rollout> m_services;
    std::map<instance_id, instance_reports> m_reports;
    /// Decisions about orders that have not been read here yet.
    std::map<service_id, rollout_decision> m_early;
    std::map<service_id, std::int64_t> m_inProgress;
    deadline m_contactUntil;
};

} // namespace burdockshelf
