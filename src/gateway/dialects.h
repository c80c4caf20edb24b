#pragma once

#include "forwarding/forward_flow.h"
#include "http/http_message.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace burdockshelf
{

/// A refusal as the caller's side encodes it.
struct caller_refusal
{
    refusal_cause cause = refusal_cause::not_ready;
    std::optional<std::chrono::milliseconds> retryAfter;
};

/// How callers put their requests and are answered. Stateless; one object serves all requests.
class caller_dialect
{
public:
    virtual ~caller_dialect() = default;

    virtual forward_facts decodeRequestFacts(const http_request &request, instant now) const = 0;
    virtual http_response refusal(const caller_refusal &refusal, const forward_facts &facts) const = 0;
};

/// What an endpoint's answer says besides its body.
struct response_facts
{
    /// The request that the answer belongs to; empty when it does not say.
    attempt_id answered;
    /// The endpoint promises that it did not run the request.
    bool isNotExecuted = false;
    /// Another endpoint has the address.
    bool isMisdirected = false;
    /// The proof that comes with every answer of a run.
    bool hasServerSeal = false;
    /// The body is not as the endpoint made it.
    bool isBodyUnusable = false;
    std::optional<endpoint_load> load;
};

/// What an engine reports about its orders.
struct engine_status
{
    engine_stage stage = engine_stage::decode;
    /// An order is being carried out.
    bool isBusy = false;
    std::int64_t ordersAccepted = 0;
};

/// An order to an engine, valid only while the engine has accepted as many orders as are expected.
struct stage_change_order
{
    endpoint_id endpoint;
    engine_stage stage = engine_stage::decode;
    instance_id holder;
    fencing_token fence;
    std::int64_t expectedOrders = 0;
};

/// How endpoints are called.
class endpoint_dialect
{
public:
    virtual ~endpoint_dialect() = default;

    /// The request as an endpoint gets it for an attempt.
    virtual http_request
    forward(const http_request &original, const admitted_request &admitted, const start_attempt &attempt, instant now) const = 0;
    virtual response_facts decodeResponseHead(const http_response &head) const = 0;
    /// Asks an endpoint to set room aside for an attempt that will follow.
    virtual http_request reserve(const start_attempt &attempt) const = 0;
    /// The reservation in the answer; nothing when there was no room.
    virtual std::optional<std::string> decodeReservation(std::string_view body) const = 0;
    virtual http_request releaseReservation(const std::string &reservation) const = 0;
    /// The handle in the answer to a prompt that was read; nothing when the answer is not usable.
    virtual std::optional<std::string> decodePromptHandle(std::string_view body) const = 0;
    virtual http_request releaseHandle(const std::string &handle) const = 0;
    virtual http_request requestEngineStatus(const endpoint_id &endpoint) const = 0;
    virtual outcome<engine_status> decodeEngineStatus(const http_response &response) const = 0;
    virtual http_request orderStageChange(const stage_change_order &order) const = 0;
};

/// A topic of the platform's store in which the newest record of each key is kept.
enum class store_topic
{
    /// The operator's configuration and evacuations.
    operators,
    endpoints,
    /// The instances of this system, written by themselves.
    members,
};

/// Position in a topic.
using store_offset = quantity<struct store_offset_unit>;

/// The newest value of a key; no value when the key was dropped.
struct store_record
{
    std::string key;
    std::optional<std::string> value;
    store_offset offset;
};

/// Part of the newest records of a topic.
struct store_page
{
    std::vector<store_record> records;
    bool hasMore = false;
    store_offset end;
};

/// Records of a topic from an offset on.
struct store_batch
{
    std::vector<store_record> records;
    store_offset end;
};

/// What the store says to a member of the group that shares the duties of the fleet.
struct group_assignment
{
    /// Rises with each change of the group.
    fencing_token generation;
    /// The duty to order engines.
    bool holdsStageControl = false;
    /// Parts of the quotas' pool.
    std::vector<quota_partition> quotaPartitions;
};

/// How the platform's store is called.
class store_dialect
{
public:
    virtual ~store_dialect() = default;

    /// Asks for the newest records, from the first key behind the given one.
    virtual http_request readNewest(store_topic topic, const std::string &afterKey) const = 0;
    virtual http_request readFrom(store_topic topic, store_offset from, std::chrono::milliseconds wait) const = 0;
    virtual http_request write(store_topic topic, const std::string &key, std::string_view value) const = 0;
    virtual outcome<store_page> decodeNewest(const http_response &response) const = 0;
    /// An error with error_code::not_found means that the records are gone and the newest have to be read.
    virtual outcome<store_batch> decodeBatch(const http_response &response) const = 0;
    /// Joins the group of the duties or stays in it, with the last generation that was received. Duties of a member that is silent for the
    /// given time go to others.
    virtual http_request joinGroup(const peer_instance &member, fencing_token generation, std::chrono::milliseconds silence) const = 0;
    virtual http_request leaveGroup(const peer_instance &member) const = 0;
    virtual outcome<group_assignment> decodeAssignment(const http_response &response) const = 0;
    /// Asks which members hold the parts of the quotas' pool.
    virtual http_request readHolders() const = 0;
    virtual outcome<std::vector<quota_partition_holder>> decodeHolders(const http_response &response) const = 0;
    virtual outcome<void> decodeWriteResult(const http_response &response) const = 0;
};

/// A change that the operator has made.
struct evacuation_record
{
    data_centre_id dataCentre;
};

using operator_record = std::variant<traffic_plan, evacuation_record>;

/// What the records of the store say.
class record_dialect
{
public:
    virtual ~record_dialect() = default;

    /// Nothing for keys that concern no router. The key alone decides what kind of record it is.
    virtual outcome<std::optional<operator_record>> decodeOperator(const std::string &key, std::string_view value) const = 0;
    /// The data centre whose evacuation the key stands for.
    virtual std::optional<data_centre_id> evacuationOfKey(const std::string &key) const = 0;
    virtual outcome<endpoint_entry> decodeEndpoint(const std::string &key, std::string_view value) const = 0;
};

/// The dialects that a gateway speaks; the main program chooses them. They outlive the supervisor tree.
struct gateway_dialects
{
    const caller_dialect &callers;
    const endpoint_dialect &endpoints;
    const store_dialect &store;
    const record_dialect &records;
};

} // namespace burdockshelf
