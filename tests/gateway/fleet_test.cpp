#include "gateway/gateway_fleet.h"

using namespace burdockshelf;

TEST_GROUP(quota_pools) {};

// Guards against refusing a request that is larger than the share of one of 60 instances. An instance that holds no partition of the quota
// pool must get the tokens from the holder, also after the store has assigned the partitions to another instance.
TEST(quota_pools, serveRequestsThatAreLargerThanAnInstancesShare)
{
    gateway_fleet site;
    site.store.assignPartitionsTo("one");
    CHECK_TRUE(site.callUntil(1, 200));
    CHECK_TRUE(site.callUntil(1, 200));
    site.store.assignPartitionsTo("two");
    CHECK_TRUE(site.callUntil(0, 200));
    CHECK_TRUE(site.callUntil(0, 200));
    CHECK_TRUE(site.callUntil(1, 200));
}

// Guards against tokens that are lost when a request that the pool has granted is refused because no endpoint is available.
TEST(quota_pools, refundARefusedRequest)
{
    gateway_fleet site;
    site.store.assignPartitionsTo("one");
    CHECK_TRUE(site.callUntil(1, 200));
    site.store.drop("keyed.servers", "d");
    CHECK_TRUE(site.callUntil(1, 503));
    int refusals = 0;
    for (int round = 0; round < 20; ++round) {
        refusals += site.call(1) == 503 ? 1 : 0;
    }
    // Without refunds the quota would run out: twenty requests cost 180000 tokens, almost four times the workspace's burst.
    LONGS_EQUAL(20, refusals);
}

// Guards against a lease that is lost between the holder's decision and the instance, which would show only when the holder is unreachable.
// A new holder grants leases after its first period of 7.65 s.
TEST(quota_pools, leaseToAnInstanceThatAsksRegularly)
{
    gateway_fleet site;
    site.store.assignPartitionsTo("one");
    while (!site.isTimedOut && site.logOf(1).find("event=lease_granted") == std::string::npos) {
        site.call(1);
        site.pause.start(deadline::after(boot_clock::now(), 300ms));
        site.loop.run();
    }
    CHECK_FALSE(site.isTimedOut);
}

TEST_GROUP(read_topics) {};

namespace
{

// Has the second instance read the topics for the first one, which holds partitions, too.
void makeSecondTheReader(gateway_fleet &site)
{
    site.store.assignPartitionsFrom("two");
    CHECK_TRUE(site.callUntil(0, 200));
    CHECK_TRUE(site.callUntil(1, 200));
    site.waitForLog(0, "event=reader_chosen reader=two");
    site.waitForLog(1, "event=holders_listed");
}

// Adds a member to the group that holds partitions and cannot be connected to.
void addUnreachableMember(gateway_fleet &site, const std::string &name)
{
    http_client client(site.loop, site.store.address());
    http_request request;
    request.method = "POST";
    request.target = "/log-join?group=x";
    request.body = R"({"member":")" + name + R"(@127.0.0.1:1","topics":[],"ttl_ms":6000})";
    http_call_handlers handlers;
    handlers.onDone = [&](const http_call_result & /*result*/) {
        site.loop.stop();
    };
    client.send(request, std::move(handlers), deadline::after(boot_clock::now(), guardTime));
    site.loop.run();
}

void runFor(gateway_fleet &site, std::chrono::milliseconds time)
{
    site.pause.start(deadline::after(boot_clock::now(), time));
    site.loop.run();
}

} // namespace

// Guards against an instance that the store refuses to serve and that accepts withdrawn keys until the store serves it again.
TEST(read_topics, reachAnInstanceThatTheStoreRefuses)
{
    gateway_fleet site;
    site.store.assignPartitionsTo("one");
    CHECK_TRUE(site.callUntil(1, 200));
    site.waitForLog(1, "event=reader_chosen");
    site.store.setSecondaryRefusing(true);
    site.store.put("keyed.op", "config", fleetConfig(5, "k2"));
    CHECK_TRUE(site.callUntil(1, 401));
    CHECK_TRUE(site.callUntil(1, 200, "k2"));
}

// Guards against an instance that reads for the others, is itself turned away by the store, and stays on old records although the other
// holders of partitions are up to date.
TEST(read_topics, reachTheReaderThatTheStoreRefuses)
{
    gateway_fleet site(0);
    makeSecondTheReader(site);
    site.store.setSecondaryRefusing(true);
    site.store.put("keyed.op", "config", fleetConfig(5, "k2"));
    CHECK_TRUE(site.callUntil(1, 200, "k2"));
    site.store.put("keyed.op", "config", fleetConfig(9, "k3"));
    CHECK_TRUE(site.callUntil(1, 200, "k3"));
    CHECK_TRUE(site.callUntil(1, 401, "k2"));
    CHECK_TRUE(site.callUntil(0, 200, "k3"));
}

// Guards against a refused reader that gets no more changes once its partitions have been assigned to the instance that it asks, because
// that one no longer counts it among the holders.
TEST(read_topics, reachARefusedReaderWhosePartitionsAreAssignedAnew)
{
    gateway_fleet site(0);
    makeSecondTheReader(site);
    site.store.setSecondaryRefusing(true);
    site.store.put("keyed.op", "config", fleetConfig(5, "k2"));
    CHECK_TRUE(site.callUntil(1, 200, "k2"));
    site.store.assignPartitionsTo("one");
    site.waitForLog(1, "event=records_received topic=operators reader=one");
    site.store.put("keyed.op", "config", fleetConfig(9, "k3"));
    CHECK_TRUE(site.callUntil(1, 200, "k3"));
    site.store.setSecondaryRefusing(false);
    site.store.put("keyed.op", "config", fleetConfig(14, "k4"));
    CHECK_TRUE(site.callUntil(1, 200, "k4"));
    CHECK_TRUE(site.callUntil(0, 200, "k4"));
}

// Guards against a refused reader that asks only holders that do not respond, and not the next one, which has the records.
TEST(read_topics, reachARefusedReaderBesideHoldersThatDoNotRespond)
{
    gateway_fleet site(0);
    site.store.assignPartitionsFrom("two");
    addUnreachableMember(site, "gone-1");
    addUnreachableMember(site, "gone-2");
    makeSecondTheReader(site);
    site.waitForLog(1, "other_holders=3");
    site.store.setSecondaryRefusing(true);
    site.store.put("keyed.op", "config", fleetConfig(5, "k2"));
    CHECK_TRUE(site.callUntil(1, 200, "k2"));
    site.store.put("keyed.op", "config", fleetConfig(9, "k3"));
    CHECK_TRUE(site.callUntil(1, 200, "k3"));
}

// Guards against a refused reader that waits for the store before it asks anybody, because a check of all newest records was due.
TEST(read_topics, reachARefusedReaderWhenItsCheckIsDue)
{
    gateway_fleet site(0);
    makeSecondTheReader(site);
    site.store.setSecondaryRefusing(true);
    // Longer than the interval at which a reader reads all newest records again.
    runFor(site, 11s);
    site.store.put("keyed.op", "config", fleetConfig(5, "k2"));
    CHECK_TRUE(site.callUntil(1, 200, "k2"));
}

// Guards against two instances that ask each other in a loop without a pause while the store refuses both, and against records that each
// takes from the other for new ones.
TEST(read_topics, waitForAStoreThatRefusesAllInstances)
{
    gateway_fleet site(0);
    makeSecondTheReader(site);
    site.store.setAvailability(standin_store::availability::refusing);
    const std::size_t callsBefore = site.store.callCount();
    runFor(site, 2s);
    // An instance makes about five calls a second, and those of its membership.
    CHECK(site.store.callCount() - callsBefore < 100);
    site.store.put("keyed.op", "config", fleetConfig(5, "k2"));
    LONGS_EQUAL(200, site.call(1, "k1"));
    site.store.setAvailability(standin_store::availability::serving);
    CHECK_TRUE(site.callUntil(1, 200, "k2"));
    CHECK_TRUE(site.callUntil(0, 200, "k2"));
}

// Guards against further calls or requests of instances that the store serves.
TEST(read_topics, areRequestedFromOtherHoldersOnlyWhileTheStoreRefuses)
{
    gateway_fleet site(0);
    makeSecondTheReader(site);
    site.store.put("keyed.op", "config", fleetConfig(5, "k2"));
    CHECK_TRUE(site.callUntil(0, 200, "k2"));
    CHECK_TRUE(site.callUntil(1, 200, "k2"));
    site.waitForLog(0, "event=records_received topic=operators reader=two");
    CHECK(site.logOf(1).find("event=records_received") == std::string::npos);
}

// Guards against an instance that misses changes because its reader no longer responds.
TEST(read_topics, areReadAtTheStoreWhenTheReaderStops)
{
    gateway_fleet site;
    site.store.assignPartitionsTo("one");
    CHECK_TRUE(site.callUntil(1, 200));
    site.waitForLog(1, "event=reader_chosen");
    site.gateways.front().reset();
    site.store.put("keyed.op", "config", fleetConfig(5, "k2"));
    CHECK_TRUE(site.callUntil(1, 401));
}
