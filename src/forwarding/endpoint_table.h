#pragma once

#include "core/random_source.h"
#include "forwarding/endpoint_entry.h"
#include "forwarding/rate_window.h"
#include "forwarding/traffic_plan.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace burdockshelf
{

/// What a request needs an endpoint for.
enum class attempt_kind
{
    /// The whole request at a plain service.
    plain_call,
    /// Setting aside room for a request that will be generated.
    reserve,
    /// Reading the prompt.
    prefill,
    /// Generating the answer.
    decode,
};

/// How an attempt at an endpoint ended, as far as the endpoint's health is concerned.
enum class endpoint_verdict
{
    good,
    /// The endpoint has refused without running the request.
    refused,
    /// A failure of the endpoint's own, or a broken, wrong or missing answer.
    failed,
    /// No connection.
    unreachable,
    /// Given up for a reason that says nothing about the endpoint.
    abandoned,
};

/// An endpoint as this instance knows it. Owned by endpoint_table.
struct endpoint_state
{
    endpoint_entry entry;
    deadline coldUntil;
    /// Share of the cold rate that this instance may use.
    rate_window coldShare;
    std::int64_t outstanding = 0;
    token_count outstandingTokens;
    /// Work of other instances there, from the last load report.
    double requestsOfOtherInstances = 0.0;
    instant loadReportedAt;
    double failureShare = 0.0;
    double latencySeconds = 0.0;
    /// How much longer than the reading itself the last prompt took here, and when that was seen.
    std::chrono::duration<double> readDelay {};
    instant readDelaySeen;
    std::int64_t failuresInRow = 0;
    /// No requests before this instant, after failures in a row.
    deadline blockedUntil;
    /// The endpoint has just had no room for a reservation.
    deadline fullUntil;
    /// Results of prompts that are read there have lapsed before they could be fetched.
    deadline handlesLapseUntil;
    /// When the oldest attempt without an answer was sent; unset while there is none.
    std::multiset<instant> unanswered;
    /// When the endpoint last answered anything.
    instant lastAnswer;
    bool isListed = true;
};

/// How far the arrivals at a cold endpoint in one second may exceed its cold rate, over all instances.
struct cold_start_tolerance
{
    /// Factor on the rate.
    double rateFactor = 1.0;
    /// Requests on top.
    std::int64_t fixedAllowance = 1;
};

/// Bounds of all endpoint choices of an instance.
struct endpoint_table_settings
{
    instance_id self;
    data_centre_id dataCentre;
    cold_start_tolerance cold;
};

/// The endpoints, their health as far as the answers show it, and the choice among them. A pure value: time and random numbers are passed
/// in.
class endpoint_table
{
public:
    explicit endpoint_table(endpoint_table_settings settings);

    /// Adds or changes an endpoint. Returns true when something that matters for requests has changed.
    bool put(const endpoint_entry &entry, const traffic_service *service, instant now);
    /// The endpoint has left or its entry has lapsed.
    bool remove(const endpoint_id &endpoint);
    void setEvacuated(std::set<data_centre_id> dataCentres);
    /// The instances that share the cold rates, this one included.
    void setInstances(std::vector<instance_id> instances);

    /// The best endpoint for a duty, excluding some. Nothing when none may get requests.
    const endpoint_state *choose(const service_id &service,
                                 attempt_kind attemptKind,
                                 token_count tokens,
                                 const std::vector<endpoint_id> &excluded,
                                 const traffic_service *profile,
                                 instant now,
                                 random_source &random);
    const endpoint_state *find(const endpoint_id &endpoint) const;
    std::size_t size() const;
    void forEach(const std::function<void(const endpoint_state &)> &visit) const;
    const std::set<data_centre_id> &evacuated() const;

    /// How long a prompt would wait at an endpoint before it is read, and how long the reading takes, as far as answers have shown.
    struct read_estimate
    {
        std::chrono::duration<double> wait {};
        std::chrono::duration<double> reading {};
    };

    read_estimate estimateRead(const endpoint_state &reader, token_count tokens, instant now) const;

    /// True while the endpoint may still be sent to; checked once more before each send.
    bool mayReceive(const endpoint_id &endpoint) const;
    /// Takes one request out of the cold share of a cold endpoint.
    bool takeColdShare(const endpoint_id &endpoint, instant now);
    void noteSent(const endpoint_id &endpoint, token_count tokens, instant now);
    /// First byte of an answer for an attempt that was sent at the given time.
    void noteResponse(const endpoint_id &endpoint, instant sentAt, instant now);
    void
    noteEnded(const endpoint_id &endpoint, token_count tokens, instant sentAt, bool wasAnswered, endpoint_verdict verdict, instant now);
    void noteLoad(const endpoint_id &endpoint, const endpoint_load &load, instant now);
    /// The endpoint has no room now.
    void noteFull(const endpoint_id &endpoint, instant now);
    /// The result of a prompt that was read there could not be fetched.
    void noteHandleLapsed(const endpoint_id &endpoint, instant now);
    /// False for a while after such a failure; a prompt that is read there is likely to be read for nothing.
    bool keepsHandles(const endpoint_state &reader, instant now) const;
    /// The address belongs to another endpoint by now.
    void noteMisdirected(const endpoint_id &endpoint);

private:
    using service_endpoints = std::vector<endpoint_state *>;

    /// What attempts tell about the way to a data centre.
    struct way_state
    {
        std::int64_t failuresInRow = 0;
        instant lastFailure;
    };

    bool isCutOff(const data_centre_id &dataCentre, instant now) const;
    void noteWay(const data_centre_id &dataCentre, bool isOpen, instant now);
    void noteRead(endpoint_state &reader, token_count tokens, boot_clock::duration took, instant now);

    endpoint_state *state(const endpoint_id &endpoint);
    static void forgetUnanswered(endpoint_state &endpoint, instant sentAt);
    double
    score(const endpoint_state &candidate, attempt_kind attemptKind, token_count tokens, const traffic_service *profile, instant now) const;
    static double
    load(const endpoint_state &candidate, attempt_kind attemptKind, token_count tokens, const traffic_service *profile, instant now);
    void setColdShare(endpoint_state &endpoint, const traffic_service *service, instant now) const;
    /// Of a number of instances that share an endpoint, whether this is one.
    bool isAmongSharers(const endpoint_id &endpoint, std::int64_t count) const;

    endpoint_table_settings m_settings;
    std::map<endpoint_id, std::unique_ptr<endpoint_state>> m_endpoints;
    std::map<service_id, service_endpoints> m_byService;
    std::set<data_centre_id> m_evacuated;
    std::map<data_centre_id, way_state> m_ways;
    /// Seconds that an idle reader of each service needs for a token, as far as seen; 0 while nothing was seen.
    std::map<service_id, double> m_secondsPerToken;
    std::vector<instance_id> m_instances;
};

} // namespace burdockshelf
