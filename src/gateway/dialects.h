#pragma once

#include "forwarding/endpoint_notices.h"
#include "forwarding/forward_flow.h"
#include "gateway/store_position.h"
#include "http/http_message.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace burdockshelf
{

/// A refused request, to be encoded as an HTTP response for the caller.
struct caller_refusal
{
    refusal_cause cause = refusal_cause::not_ready;
    std::optional<std::chrono::milliseconds> retryAfter;
};

/// Decodes callers' requests and encodes refusals for them. Stateless; one object serves all requests.
class caller_dialect
{
public:
    virtual ~caller_dialect() = default;

    /// The id that the caller has given to the request; empty if it gave none.
    virtual attempt_id decodeRequestId(const http_request &request) const = 0;
    virtual forward_facts decodeRequestFacts(const http_request &request, instant now) const = 0;
    virtual http_response refusal(const caller_refusal &refusal, const forward_facts &facts) const = 0;
};

/// Facts from the head of an endpoint's response.
struct response_facts
{
    /// The attempt that the response belongs to; empty if the response does not state it.
    attempt_id answered;
    /// The endpoint states that it did not execute the request.
    bool isNotExecuted = false;
    /// The address now belongs to another endpoint.
    bool isMisdirected = false;
    /// The seal that an endpoint adds to every response of an executed request; shows that the endpoint itself produced it.
    bool hasServerSeal = false;
    /// The body differs from what the endpoint produced, or is too large to buffer.
    bool isBodyUnusable = false;
    std::optional<endpoint_load> load;
    /// What the endpoint states about the further requests that it wants.
    endpoint_notice notice;
};

/// State of an engine with regard to stage change orders.
struct engine_status
{
    engine_stage stage = engine_stage::decode;
    /// A stage change is in progress.
    bool isBusy = false;
    std::int64_t ordersAccepted = 0;
};

/// Orders an engine to change its stage. Only valid if the engine has accepted exactly the expected number of orders before.
struct stage_change_order
{
    endpoint_id endpoint;
    engine_stage stage = engine_stage::decode;
    instance_id holder;
    fencing_token fence;
    std::int64_t expectedOrders = 0;
};

/// Encodes requests to endpoints and decodes their responses.
class endpoint_dialect
{
public:
    virtual ~endpoint_dialect() = default;

    /// The request to send to the endpoint for an attempt.
    virtual http_request
    forward(const http_request &original, const admitted_request &admitted, const start_attempt &attempt, instant now) const = 0;
    /// Deadlines in the facts are counted from the given time, at which the head was received.
    virtual response_facts decodeResponseHead(const http_response &head, instant now) const = 0;
    /// Requests a capacity reservation for a later attempt.
    virtual http_request reserve(const start_attempt &attempt) const = 0;
    /// The id of the granted reservation; nullopt if the endpoint had no capacity.
    virtual std::optional<std::string> decodeReservation(std::string_view body) const = 0;
    virtual http_request releaseReservation(const std::string &reservation) const = 0;
    /// The handle of the prefill result; nullopt if the response is unusable.
    virtual std::optional<std::string> decodePromptHandle(std::string_view body) const = 0;
    virtual http_request releaseHandle(const std::string &handle) const = 0;
    virtual http_request requestEngineStatus(const endpoint_id &endpoint) const = 0;
    virtual outcome<engine_status> decodeEngineStatus(const http_response &response) const = 0;
    virtual http_request orderStageChange(const stage_change_order &order) const = 0;
};

/// A compacted topic of the platform's store, which keeps the newest record of each key.
enum class store_topic
{
    /// The operator's configuration, and evacuations of data centres.
    operators,
    endpoints,
    /// Member reports; each instance publishes its own.
    members,
    /// Crashes of endpoints and quarantined prompt parts; each instance publishes what it has seen.
    crash_reports,
    /// Evidence of all instances about rollouts, and the decisions of the holder of stage control. Followed only while an order is in
    /// force.
    rollouts,
    /// The versions of each service that may have begun streams. Read when something is asked or written; see version_task.
    versions,
    /// The open streams of each instance while versions are mixed; read when a stream is looked up.
    streams,
};

/// The topics before store_topic::versions are followed.
constexpr std::size_t followedTopicCount = 5;

/// The newest value of a key; no value if the key was deleted.
struct store_record
{
    std::string key;
    std::optional<std::string> value;
    store_offset offset;
};

/// One page of the newest records of a topic.
struct store_page
{
    std::vector<store_record> records;
    bool hasMore = false;
    store_offset end;
};

/// Records of a topic, starting at an offset.
struct store_batch
{
    std::vector<store_record> records;
    store_offset end;
};

/// The work that the store has assigned to a member of the gateways' group.
struct group_assignment
{
    /// Increases with every change of the group's membership.
    fencing_token generation;
    /// This member may order engines to change their stage.
    bool holdsStageControl = false;
    /// The partitions of the quota pool that this member holds.
    std::vector<quota_partition> quotaPartitions;
};

/// Encodes requests to the platform's store and decodes its responses.
class store_dialect
{
public:
    virtual ~store_dialect() = default;

    /// Reads the newest record of each key, starting after the given key.
    virtual http_request readNewest(store_topic topic, const std::string &afterKey) const = 0;
    /// A small request with the response of readNewest(), usually without records, which shows whether the store responds for the topic.
    virtual http_request probe(store_topic topic) const = 0;
    virtual http_request readFrom(store_topic topic, store_offset from, std::chrono::milliseconds wait) const = 0;
    virtual http_request write(store_topic topic, const std::string &key, std::string_view value) const = 0;
    /// Writes only while the topic ends at the given offset; see decodeWriteEnd().
    virtual http_request writeAt(store_topic topic, const std::string &key, std::string_view value, store_offset end) const = 0;
    /// Tells the operator how far the rollout of a service has come.
    virtual http_request writeRolloutStatus(const rollout_decision &decided) const = 0;
    virtual outcome<store_page> decodeNewest(const http_response &response) const = 0;
    /// error_code::not_found means that the requested records are no longer stored; the caller has to start over with readNewest().
    virtual outcome<store_batch> decodeBatch(const http_response &response) const = 0;
    /// Joins the group or renews the membership. The generation is the last one received. A member that does not renew its membership
    /// within the given silence loses its assignment to other members.
    virtual http_request joinGroup(const peer_instance &member, fencing_token generation, std::chrono::milliseconds silence) const = 0;
    virtual http_request leaveGroup(const peer_instance &member) const = 0;
    virtual outcome<group_assignment> decodeAssignment(const http_response &response) const = 0;
    /// Asks which members hold the partitions of the quota pool.
    virtual http_request readHolders() const = 0;
    virtual outcome<std::vector<quota_partition_holder>> decodeHolders(const http_response &response) const = 0;
    virtual outcome<void> decodeWriteResult(const http_response &response) const = 0;
    /// The end of the topic after a write. error_code::conflict means that the topic did not end at the given offset, and nothing was
    /// written.
    virtual outcome<store_offset> decodeWriteEnd(const http_response &response) const = 0;
    /// The era of any response of the store; nullopt if it states none, or none that can be read.
    virtual std::optional<store_era> decodeEra(const http_response &response) const = 0;
};

/// An evacuation of a data centre, ordered by the operator.
struct evacuation_record
{
    data_centre_id dataCentre;
};

using operator_record = std::variant<traffic_plan, evacuation_record, rollout_order>;

/// Decodes the records of the store.
class record_dialect
{
public:
    virtual ~record_dialect() = default;

    /// nullopt for keys that are irrelevant to routers. The key alone determines the type of the record.
    virtual outcome<std::optional<operator_record>> decodeOperator(const std::string &key, std::string_view value) const = 0;
    /// The data centre that the key evacuates; nullopt if the key does not belong to an evacuation.
    virtual std::optional<data_centre_id> evacuationOfKey(const std::string &key) const = 0;
    /// The service whose rollout the key orders; nullopt if the key does not belong to a rollout.
    virtual std::optional<service_id> rolloutOfKey(const std::string &key) const = 0;
    virtual outcome<endpoint_entry> decodeEndpoint(const std::string &key, std::string_view value) const = 0;
};

/// The protocol implementations of a gateway, chosen by the main program. They must outlive the supervisor tree.
struct gateway_dialects
{
    const caller_dialect &callers;
    const endpoint_dialect &endpoints;
    const store_dialect &store;
    const record_dialect &records;
};

} // namespace burdockshelf
