#pragma once

#include "core/random_source.h"
#include "forwarding/attempt_kind.h"
#include "forwarding/endpoint_entry.h"
#include "forwarding/endpoint_pace_log.h"
#include "forwarding/endpoint_restrictions.h"
#include "forwarding/endpoint_speed.h"
#include "forwarding/expected_completion_score.h"
#include "forwarding/fractional_token_bucket.h"
#include "forwarding/rollout_gate.h"
#include "forwarding/seen_speed.h"
#include "forwarding/service_speed.h"
#include "forwarding/spill_over.h"
#include "forwarding/traffic_plan.h"
#include "forwarding/usual_figures.h"
#include "forwarding/utilisation_score.h"
#include "forwarding/version_filter.h"
#include "forwarding/version_record.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace burdockshelf
{

/// True when an endpoint in this stage can serve an attempt of the given kind.
bool matchesStage(const endpoint_entry &entry, attempt_kind attemptKind);

/// What the end of an attempt says about the health of the endpoint.
enum class health_verdict
{
    good,
    /// The endpoint has refused without executing the request.
    refused,
    /// The endpoint has reported a failure of its own, or its response is missing, truncated or invalid.
    failed,
    /// No connection could be made, or another endpoint has the address.
    unreachable,
    /// Ended for a reason that says nothing about the endpoint.
    abandoned,
};

/// State of an endpoint as seen by this instance. Owned by endpoint_table.
struct endpoint_state
{
    endpoint_entry entry;
    /// Until when the endpoint is cold according to its entry.
    deadline registeredColdUntil;
    /// Until when its requests are limited; has passed if the service sets no cold rate.
    deadline coldUntil;
    /// Requests per second that the endpoint bears while cold, over all instances.
    double coldRate = 0.0;
    /// This instance's share of the request rate that the endpoint bears while cold.
    fractional_token_bucket coldStartBucket;
    std::int64_t outstanding = 0;
    token_count outstandingTokens;
    /// Requests of other instances at the endpoint, according to its last load report.
    double requestsOfOtherInstances = 0.0;
    instant loadReportedAt;
    endpoint_load lastLoad;
    double failureRate = 0.0;
    double meanLatencySeconds = 0.0;
    /// How much longer the last prefill took here than processing its prompt takes at an idle endpoint, and when that was measured.
    std::chrono::duration<double> prefillDelay {};
    instant prefillDelaySeenAt;
    std::int64_t consecutiveFailures = 0;
    /// The endpoint is avoided until then, which means that it is used only when there is no better one. Set after consecutive failures, or
    /// after a single attempt with the verdict unreachable.
    deadline blockedUntil;
    /// Set when the endpoint has refused a reservation for lack of capacity.
    deadline fullUntil;
    /// Set when the result of a prefill at this endpoint could not be fetched.
    deadline handlesUnreliableUntil;
    /// Send times of the attempts without a response, in ascending order.
    std::multiset<instant> unanswered;
    /// When the endpoint last responded to any attempt.
    instant lastResponseAt;
    /// Has evidence only while endpoints of the service report how long work takes.
    endpoint_speed speed;
    bool isListed = true;
    endpoint_pace pace;
    /// The endpoint or its data centre is usable again; pacing begins when the endpoint is next considered.
    bool hasRecovered = false;
};

/// How far the requests that reach a cold endpoint within a second may exceed its cold rate, over all instances.
struct cold_start_tolerance
{
    /// Multiple of the rate.
    double rateFactor = 1.0;
    /// Requests added to that.
    std::int64_t fixedAllowance = 1;
};

/// Settings for the choice of endpoints on one instance.
struct endpoint_table_settings
{
    instance_id self;
    data_centre_id dataCentre;
    cold_start_tolerance cold;
    /// Paces endpoints that have started or recovered also in services that do not report their work time.
    bool pacesAllServices = false;
    /// Strategy for services whose endpoints report how long work takes.
    expected_completion_score completionScore = expected_completion_score();
    /// Unset where versions are not rolled out by order.
    std::optional<rollout_settings> rollouts;
};

/// The number of endpoints in each class of speed.
struct speed_counts
{
    std::int64_t usual = 0;
    std::int64_t disturbed = 0;
    std::int64_t slow = 0;
};

/// The end of a restriction that followed from an endpoint's responses.
struct lifted_restriction
{
    endpoint_id endpoint;
    /// The request whose response ended the restriction; empty when a restart did.
    attempt_id request;
};

/// The known endpoints, their health and load as observed from responses, and the choice among them. Does no I/O: time and random numbers
/// are passed in.
class endpoint_table
{
public:
    explicit endpoint_table(endpoint_table_settings settings);

    /// Adds or updates an endpoint. Returns true when the endpoint is new or restarted, or when its draining, stage or listing has changed.
    bool put(const endpoint_entry &entry, const traffic_service *service, instant now);
    /// Removes an endpoint that has left or whose entry has expired. Returns false for an unknown one.
    bool remove(const endpoint_id &endpoint);
    void setEvacuated(std::set<data_centre_id> dataCentres);
    /// The instances among which the cold rates are split, including this one.
    void setInstances(std::vector<instance_id> instances, instant now);

    /// The best endpoint for an attempt of the given kind, leaving out the excluded ones and those of other versions than the accepted
    /// ones; null when no endpoint may receive it.
    const endpoint_state *choose(const service_id &service,
                                 attempt_kind attemptKind,
                                 token_count tokens,
                                 const std::vector<endpoint_id> &excluded,
                                 const traffic_service *profile,
                                 instant now,
                                 random_source &random,
                                 rollout_side side = rollout_side::trusted,
                                 const version_filter &versions = {});
    const endpoint_state *find(const endpoint_id &endpoint) const;
    /// The endpoint that is registered at an address, leaving out the given one; null if there is none.
    const endpoint_state *findAt(const socket_address &address, const endpoint_id &except) const;
    std::size_t size() const;
    /// The versions of the registered endpoints.
    service_versions versions() const;
    void forEach(const std::function<void(const endpoint_state &)> &visit) const;
    const std::set<data_centre_id> &evacuated() const;

    /// Estimated time that a prompt waits at an endpoint before it is processed, and the time that processing it takes.
    struct prefill_estimate
    {
        std::chrono::duration<double> wait {};
        std::chrono::duration<double> processingTime {};
        /// The time that processing takes at an endpoint that is as fast as usual.
        std::chrono::duration<double> usualProcessingTime {};
    };

    prefill_estimate estimatePrefill(const endpoint_state &prefillEndpoint, token_count tokens, instant now) const;

    /// Whether the endpoint may get a new request at this moment, and if not, why and until when. The only place that decides this; checked
    /// again before each send.
    endpoint_availability availability(const endpoint_id &endpoint, instant now) const;
    bool mayReceive(const endpoint_id &endpoint, instant now) const;
    /// The conditions of a service's endpoints that could serve an attempt of the given kind.
    service_availability availabilityOf(const service_id &service, attempt_kind attemptKind, instant now) const;
    /// Takes one request from this instance's share of a cold endpoint's rate; false when the share is used up.
    bool takeColdStartToken(const endpoint_id &endpoint, instant now);
    void noteSent(const endpoint_id &endpoint, token_count tokens, instant now);
    /// Records the first byte of the response to an attempt that was sent at the given time.
    void noteResponse(const endpoint_id &endpoint, instant sentAt, instant now);
    void noteEnded(const endpoint_id &endpoint, token_count tokens, instant sentAt, bool hadResponse, health_verdict verdict, instant now);
    void noteLoad(const endpoint_id &endpoint, const endpoint_load &load, instant now);
    /// Records the first event of a decode that uses the result of a prefill and was sent at the given time.
    void noteFirstEvent(const endpoint_id &endpoint, instant sentAt, instant now);
    /// Records what another instance has seen of endpoints.
    void notePeerSpeeds(const std::vector<seen_speed> &speeds, instant now);
    /// What this instance has seen of endpoints since the last call, for the others. Bounded; what exceeds the bound is dropped, another
    /// part of the endpoints each time.
    std::vector<seen_speed> takeSeenSpeeds();
    /// Factor for how long work takes at an endpoint; 1.0 unless its service reports that.
    double slowdown(const endpoint_id &endpoint, instant now) const;
    speed_counts countBySpeed(instant now) const;
    /// The number of services and kinds of attempts for which requests also go to other data centres.
    std::int64_t countSpilling() const;
    /// The latency targets of the services.
    void setTargets(const traffic_plan &plan);
    /// The rates that the endpoints of the services bear while cold.
    void setColdRates(const plan_index &plan, instant now);
    /// The endpoint has no capacity for a reservation at present.
    void noteFull(const endpoint_id &endpoint, instant now);
    /// The result of a prefill at the endpoint could not be fetched.
    void noteHandleExpired(const endpoint_id &endpoint, instant now);
    /// False for some time after noteHandleExpired(): the result of a prefill there is likely to expire before it is fetched.
    bool hasReliableHandles(const endpoint_state &prefillEndpoint, instant now) const;
    /// Another endpoint has taken over the address.
    void noteMisdirected(const endpoint_id &endpoint);
    /// Records what a process of an endpoint has stated about the further requests that it wants. The statement of an earlier process than
    /// the registered one is ignored.
    notice_change noteNotice(const endpoint_process &from, const endpoint_notice &notice, instant now, random_source &random);
    /// Records the status of a response to an attempt that was sent at the given time, which may end the endpoint's return from a pause.
    /// The request is the one that was answered.
    void noteStatus(const endpoint_id &endpoint, instant sentAt, int status, const attempt_id &request);
    /// The endpoints that got rid of a restriction since the last call.
    std::vector<lifted_restriction> takeLifted();
    /// The steps of paced endpoints since the last call.
    endpoint_pace_log::content takePaceChanges();
    std::size_t pacedEndpoints() const;
    /// Which versions may get requests.
    rollout_gate &rollouts();
    const rollout_gate &rollouts() const;

private:
    using service_endpoints = std::vector<endpoint_state *>;

    /// Consecutive failures after which an endpoint is avoided for a while, and then probed with one request at a time until one succeeds.
    /// An endpoint that is unreachable (health_verdict::unreachable) is avoided after the first failure.
    static constexpr std::int64_t failuresToBlock = 2;

    /// Reachability of a data centre, derived from the attempts at its endpoints.
    struct reachability_state
    {
        std::int64_t consecutiveFailures = 0;
        instant firstFailure;
        instant lastFailure;
    };

    /// This many consecutive failures at endpoints of a data centre mean that the data centre is unreachable. These are attempts that found
    /// no connection or were misdirected (another endpoint has the address), and attempts that failed before a response head could be
    /// relayed: no response, a server error (5xx), or a truncated or invalid response that was not streamed.
    static constexpr std::int64_t failuresToPartition = 2;
    /// The time of shorter prompts depends more on the network than on the speed of the endpoint.
    static constexpr token_count minTokensToMeasure {200};

    bool isPartitioned(const data_centre_id &dataCentre, instant now) const;
    void noteReachability(const data_centre_id &dataCentre, bool isReachable, instant now);
    void notePrefillTime(endpoint_state &prefillEndpoint, token_count tokens, boot_clock::duration elapsed, instant now);

    endpoint_state *state(const endpoint_id &endpoint);
    void discard(std::map<endpoint_id, std::unique_ptr<endpoint_state>>::iterator found);
    endpoint_availability availabilityOf(const endpoint_state &known, instant now) const;
    static void removeUnanswered(endpoint_state &endpoint, instant sentAt);
    usual_figures &usualOf(const endpoint_entry &entry);
    pace_surroundings paceSurroundings(const endpoint_state &endpoint);
    /// Paces an endpoint that has started or recovered while its service had traffic, unless pacing is disabled for the service.
    void beginPace(endpoint_state &endpoint, pace_cause cause, instant now);
    void noteRecovered(const data_centre_id &dataCentre);
    /// What the pace adds to a candidate's score; empty when the candidate must be left out.
    std::optional<double> paceTerm(endpoint_state &candidate, instant now);
    void notePaceSent(endpoint_state &endpoint);
    void notePaceLoad(endpoint_state &endpoint, const endpoint_load &load);
    void notePaceEnded(endpoint_state &endpoint, token_count tokens, instant sentAt, bool hadResponse, health_verdict verdict, instant now);
    void notePace(endpoint_state &endpoint, const pace_observation &observed, instant now);
    void logPace(const endpoint_state &endpoint, pace_step step, std::optional<pace_observation> observed, instant now);
    /// Seconds for each unit of an attempt's work; empty when its duration says nothing about the endpoint's speed.
    static std::optional<double>
    paceTime(const endpoint_state &endpoint, token_count tokens, instant sentAt, bool hadResponse, instant now);
    /// The strategy by which the endpoints of a service are scored, and what is usual for the service; null if nothing is known.
    struct placement_rule
    {
        const placement_score &strategy;
        const service_speed *usual = nullptr;
        /// Added to the scores of the endpoints in other data centres.
        double remotePenalty = 0.0;
    };

    /// The best scores of a service's endpoints in this instance's data centre and in others.
    struct best_scores
    {
        std::optional<double> atHome;
        std::optional<double> elsewhere;
    };

    placement_rule ruleFor(const service_id &service, attempt_kind attemptKind, instant now) const;
    /// The score without the penalty for another data centre.
    double score(const endpoint_state &candidate,
                 const placement_rule &rule,
                 attempt_kind attemptKind,
                 token_count tokens,
                 const traffic_service *profile,
                 instant now) const;
    double healthPenalty(const endpoint_state &candidate, instant now) const;
    /// Records a time that was observed at an endpoint, if its service reports how long work takes.
    void noteSpeed(endpoint_state &endpoint, running_median service_speed::*usual, double seconds, instant now);
    static double load(const endpoint_state &candidate,
                       const placement_rule &rule,
                       attempt_kind attemptKind,
                       token_count tokens,
                       const traffic_service *profile,
                       instant now);
    void noteSeen(const endpoint_state &endpoint);
    void setColdStartLimit(endpoint_state &endpoint, const traffic_service *service, instant now) const;
    /// Sets this instance's share of the endpoint's cold rate.
    void setColdStartShare(endpoint_state &endpoint, instant now) const;
    /// True when this instance is one of the count instances that share the endpoint's cold rate.
    bool isAmongSharers(const endpoint_id &endpoint, std::int64_t count) const;

    endpoint_table_settings m_settings;
    std::map<endpoint_id, std::unique_ptr<endpoint_state>> m_endpoints;
    std::map<service_id, service_endpoints> m_byService;
    /// Number of endpoints of each version that has any.
    std::map<std::pair<service_id, service_version>, std::int64_t> m_versionCounts;
    std::set<data_centre_id> m_evacuated;
    std::map<data_centre_id, reachability_state> m_reachability;
    /// Seconds that an idle prefill endpoint of each service needs per prompt token. A service has no entry, which counts as 0, before its
    /// first measured prefill.
    std::map<service_id, double> m_prefillSecondsPerToken;
    std::map<service_id, service_speed> m_speeds;
    utilisation_score m_utilisationScore;
    std::map<std::pair<service_id, attempt_kind>, spill_over> m_spillOvers;
    /// The newest evidence of this instance for each endpoint since takeSeenSpeeds().
    std::map<endpoint_id, std::int64_t> m_seenPercents;
    /// The last endpoint that takeSeenSpeeds() has returned.
    endpoint_id m_lastShared;
    std::vector<instance_id> m_instances;
    endpoint_restrictions m_restrictions;
    rollout_gate m_rollouts;
    std::vector<lifted_restriction> m_lifted;
    std::map<std::pair<service_id, std::optional<engine_stage>>, usual_figures> m_usual;
    endpoint_pace_log m_paceLog;
};

} // namespace burdockshelf
