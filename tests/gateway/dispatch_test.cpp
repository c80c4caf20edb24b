#include "gateway/dispatch_fixture.h"
#include "support/peak_memory.h"

#include <array>

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

TEST_GROUP(dispatcher) {};

// A request whose quota request or response was lost, for example with a restart of the quota broker, got neither an answer nor a refusal
// (issue 18, LOST).
TEST(dispatcher, refusesRequestsWhoseQuotaRequestIsNotAnswered)
{
    dispatch_fixture fixture;
    fixture.arrive(1);
    fixture.run(1300ms);
    CHECK(std::holds_alternative<quota_request>(fixture.toQuotas.back()));
    const http_response *refused = fixture.responseTo(1);
    CHECK(refused != nullptr);
    LONGS_EQUAL(503, refused->status);
    CHECK_TRUE(refused->headers.has("Retry-After"));
    // A grant that arrives later goes back to the workspace's quota; the request must not run any more.
    fixture.post(quota_response {flow_id(1), quota_granted {{workspace_id("w"), 200.0, std::nullopt}}});
    fixture.run(20ms);
    CHECK(std::holds_alternative<quota_returned>(fixture.toQuotas.back()));
    CHECK_FALSE(fixture.hasSentAttempt());
}

// A quota request that does not fit into the mailbox of the quota broker is lost at once, so the caller need not wait for the refusal.
TEST(dispatcher, refusesRequestsWhoseQuotaRequestIsDropped)
{
    dispatch_fixture fixture(dispatch_fixture::capacity, 0);
    fixture.arrive(1);
    fixture.run(20ms);
    const http_response *refused = fixture.responseTo(1);
    CHECK(refused != nullptr);
    LONGS_EQUAL(503, refused->status);
    CHECK_TRUE(refused->headers.has("Retry-After"));
}

// An attempt that does not fit into the mailbox of the endpoint client never ends by itself; its request waited for the time limit of its
// route and then got 504, although nothing had run.
TEST(dispatcher, refusesRequestsWhoseAttemptIsDropped)
{
    dispatch_fixture fixture(0);
    fixture.arrive(1);
    fixture.run(20ms);
    fixture.post(quota_response {flow_id(1), quota_granted {{workspace_id("w"), 200.0, std::nullopt}}});
    fixture.run(100ms);
    const http_response *refused = fixture.responseTo(1);
    CHECK(refused != nullptr);
    LONGS_EQUAL(503, refused->status);
    CHECK_TRUE(refused->headers.has("Retry-After"));
}

// Guards against tasks that keep the quotas and limits of an older plan because their mailbox was full when the newer one came into force.
TEST(dispatcher, repeatsWhatFollowsFromAPlanUntilItIsDelivered)
{
    dispatch_fixture fixture;
    fixture.callersBox->detach();
    fixture.endpointsBox->detach();
    fixture.quotasBox->detach();
    while (fixture.callersBox->post(limits_changed {}) == post_result::delivered) { }
    while (fixture.endpointsBox->post(connection_limits {}) == post_result::delivered) { }
    while (fixture.quotasBox->post(instance_count_changed {}) == post_result::delivered) { }
    fixture.setPlan(7);
    fixture.run(20ms);
    fixture.attachReceivers();
    fixture.run(20ms);
    fixture.toCallers.clear();
    fixture.toEndpoints.clear();
    fixture.toQuotas.clear();
    for (int round = 0; round < 20 && fixture.toQuotas.empty(); ++round) {
        fixture.run(100ms);
    }
    LONGS_EQUAL(1, fixture.countOf<limits_changed>());
    LONGS_EQUAL(1, fixture.toEndpoints.size());
    CHECK(std::holds_alternative<connection_limits>(fixture.toEndpoints.front()));
    LONGS_EQUAL(1, fixture.toQuotas.size());
    LONGS_EQUAL(7, std::get<quotas_changed>(fixture.toQuotas.front()).plan->plan().version.value());
    // What has been delivered is not sent again.
    fixture.run(1200ms);
    LONGS_EQUAL(1, fixture.countOf<limits_changed>());
    LONGS_EQUAL(1, fixture.toEndpoints.size());
    LONGS_EQUAL(1, fixture.toQuotas.size());
}

// Every request is answered exactly once, whether its quota is granted, refused or not answered, early or late.
TEST(dispatcher, answersEveryRequestThatWaitsForItsQuota)
{
    dispatch_fixture fixture;
    constexpr std::int64_t requests = 40;
    for (std::int64_t flow = 1; flow <= requests; ++flow) {
        fixture.arrive(flow);
    }
    fixture.run(20ms);
    for (std::int64_t flow = 1; flow <= requests; flow += 2) {
        fixture.post(quota_response {flow_id(flow), quota_refused {100ms, 0.5, std::nullopt}});
    }
    fixture.run(800ms);
    for (std::int64_t flow = 1; flow <= requests; ++flow) {
        fixture.post(quota_response {flow_id(flow), quota_refused {100ms, 0.5, std::nullopt}});
    }
    fixture.run(20ms);
    LONGS_EQUAL(requests, fixture.toCallers.size() - fixture.countOf<limits_changed>());
    for (std::int64_t flow = 1; flow <= requests; ++flow) {
        const http_response *response = fixture.responseTo(flow);
        CHECK(response != nullptr);
        LONGS_EQUAL(flow % 2 == 1 ? 429 : 503, response->status);
    }
}

// Guards against requests that are sent to an endpoint after the dispatcher has learnt that it leaves, because they were admitted before or
// are retried (DRAIN).
TEST(dispatcher, sendsNothingToAnEndpointThatHasLeftMeanwhile)
{
    std::string draining = dispatch_fixture::endpointEntry();
    draining.replace(draining.find("ready"), 5, "draining");
    const std::array<topic_update, 3> departures = {
        topic_update {store_topic::endpoints, {{"p", draining, store_offset(2)}}},
        topic_update {store_topic::endpoints, {{"p", std::nullopt, store_offset(2)}}},
        topic_update {store_topic::operators, {{"evacuate/z", "{}", store_offset(2)}}},
    };
    for (const topic_update &departure : departures) {
        dispatch_fixture fixture;
        // One request waits for its quota, and another one is retried after its endpoint has refused it.
        fixture.arrive(1);
        fixture.arrive(2);
        fixture.run(20ms);
        fixture.post(quota_response {flow_id(2), quota_granted {{workspace_id("w"), 200.0, std::nullopt}}});
        fixture.run(20ms);
        CHECK_TRUE(fixture.hasSentAttempt());
        fixture.toEndpoints.clear();
        fixture.post(departure);
        fixture.post(quota_response {flow_id(1), quota_granted {{workspace_id("w"), 200.0, std::nullopt}}});
        fixture.post(attempt_ended {flow_id(2), attempt_number(1), attempt_outcome::not_sent, {}, {}, false, "cannot connect"});
        fixture.run(300ms);
        CHECK_FALSE(fixture.hasSentAttempt());
        CHECK(fixture.responseTo(1) != nullptr);
        CHECK(fixture.responseTo(2) != nullptr);
    }
}

// Guards against an instance that answers no request any more because a new configuration has streams at a service whose versions are not
// recorded, for example while the store does not respond.
TEST(dispatcher, staysReadyWhileTheVersionsOfAnAddedServiceAreNotRecorded)
{
    dispatch_fixture fixture;
    fixture.setConfiguration(dispatch_fixture::resumableConfiguration(4), 4);
    fixture.run(20ms);
    CHECK(!fixture.toVersions.empty() && std::holds_alternative<versions_registered>(fixture.toVersions.back()));
    fixture.arrive(1);
    fixture.run(20ms);
    CHECK_TRUE(fixture.isAdmitted(1));
    CHECK(fixture.responseTo(1) == nullptr);
}

// Guards against the same after a restore of the store that has lost the records.
TEST(dispatcher, staysReadyWhenTheRecordedVersionsAreLost)
{
    dispatch_fixture fixture(dispatch_fixture::capacity, dispatch_fixture::capacity, dispatch_fixture::resumableConfiguration(3));
    fixture.post(versions_recorded {{{service_id("streams"), {service_version("v1")}}}});
    fixture.post(versions_recorded {});
    fixture.arrive(1);
    fixture.run(20ms);
    CHECK_TRUE(fixture.isAdmitted(1));
}

// Guards against an instance that never becomes ready because the store gives it everything but the recorded versions. Until they are
// recorded or have been awaited for long enough, requests are refused as not ready.
TEST(dispatcher, awaitsTheRecordedVersionsForALimitedTime)
{
    dispatch_fixture fixture(dispatch_fixture::capacity, dispatch_fixture::capacity, dispatch_fixture::resumableConfiguration(3));
    fixture.arrive(1);
    fixture.run(20ms);
    CHECK_FALSE(fixture.isAdmitted(1));
    CHECK(fixture.responseTo(1) != nullptr);
    fixture.run(2200ms);
    fixture.arrive(2);
    fixture.run(20ms);
    CHECK_TRUE(fixture.isAdmitted(2));
}

// Failures that are not passed on, because the request is retried, were kept until the request had ended, outside of every bound.
TEST(dispatcher, keepsNoFailuresThatAreRetried)
{
    constexpr std::int64_t failureBytes = 7 * 1024 * 1024;
    constexpr std::int64_t requests = 60;
    dispatch_fixture fixture;
    topic_snapshot endpoints = {store_topic::endpoints, {}, {}};
    for (std::int64_t i = 0; i < requests; ++i) {
        endpoints.records.push_back({"p" + std::to_string(i), dispatch_fixture::endpointEntry(), store_offset(i)});
    }
    fixture.post(std::move(endpoints));
    fixture.run(20ms);
    const peak_memory memory;
    std::size_t retries = 0;
    for (std::int64_t flow = 1; flow <= requests; ++flow) {
        fixture.arrive(flow);
        fixture.run(1ms);
        fixture.post(quota_response {flow_id(flow), quota_granted {{workspace_id("w"), 200.0, std::nullopt}}});
        fixture.run(1ms);
        attempt_ended failed = {flow_id(flow), attempt_number(1), attempt_outcome::whole, {}, {}, false, ""};
        failed.response = {500, {}, std::string(failureBytes, 'x')};
        failed.facts.hasServerSeal = true;
        fixture.toEndpoints.clear();
        fixture.post(std::move(failed));
        fixture.run(1ms);
        retries += fixture.hasSentAttempt() ? 1 : 0;
        fixture.toCallers.clear();
    }
    CHECK(retries >= 4);
    CHECK(memory.growthKb() < 3 * failureBytes / 1024);
}
