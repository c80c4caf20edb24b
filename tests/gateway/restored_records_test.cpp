#include "gateway/dispatch_fixture.h"
#include "gateway/fleet_state.h"

using namespace burdockshelf;
using namespace std::chrono_literals;

/// What an instance knows when newest records arrive that may be older than that.
TEST_GROUP(restored_records)
{
    platform_adapter adapter;
    fleet_state fleet {{instance_id("me"), data_centre_id("z"), {}}, {}, adapter.dialects().records, event_log()};
    const instant now = boot_clock::now();
    const record_arrival ordinary = {now, {}};
    const record_arrival restored = {now, {}, true};

    void setup() override
    {
        fleet.reset(store_topic::operators, {config(9)}, ordinary);
    }

    static store_record config(int version)
    {
        return {"config", dispatch_fixture::configuration(version), store_offset(1)};
    }

    static store_record entry(const std::string &id, const std::string &state, int startTime)
    {
        return {id,
                R"({"service":"plain","address":"127.0.0.1:1","zone":"z","slots":8,"state":")" + state + R"(","born":)"
                    + std::to_string(startTime) + "}",
                store_offset(1)};
    }

    bool mayReceive(const std::string &id) const
    {
        return fleet.endpoints().find(endpoint_id(id)) != nullptr && fleet.endpoints().mayReceive(endpoint_id(id), now);
    }
};

TEST(restored_records, doNotReplaceANewerPlan)
{
    fleet.reset(store_topic::operators, {config(3)}, restored);
    LONGS_EQUAL(9, fleet.planVersion().value());
}

// Guards against an evacuation that ends because the copy or a later reading lacks it, and against one that never ends.
TEST(restored_records, keepEvacuationsUntilARecordOfTheirKey)
{
    const data_centre_id evacuated("y");
    fleet.change(store_topic::operators, {{"evacuate/y", "{}", store_offset(2)}}, ordinary);
    fleet.reset(store_topic::operators, {config(9)}, restored);
    fleet.reset(store_topic::operators, {config(9)}, ordinary);
    LONGS_EQUAL(1, fleet.endpoints().evacuated().count(evacuated));
    fleet.change(store_topic::operators, {{"evacuate/y", "{}", store_offset(2)}}, ordinary);
    LONGS_EQUAL(1, fleet.endpoints().evacuated().count(evacuated));
    fleet.reset(store_topic::operators, {config(9)}, ordinary);
    LONGS_EQUAL(0, fleet.endpoints().evacuated().count(evacuated));
    fleet.change(store_topic::operators, {{"evacuate/y", "{}", store_offset(3)}}, ordinary);
    fleet.reset(store_topic::operators, {config(9)}, restored);
    fleet.change(store_topic::operators, {{"evacuate/y", std::nullopt, store_offset(3)}}, ordinary);
    LONGS_EQUAL(0, fleet.endpoints().evacuated().count(evacuated));
}

// Guards against requests to a process that was draining, from the first snapshot after the restore or from a later one.
TEST(restored_records, keepADrainingProcessDraining)
{
    fleet.reset(store_topic::endpoints, {entry("p", "ready", 1000)}, ordinary);
    CHECK_TRUE(mayReceive("p"));
    fleet.change(store_topic::endpoints, {entry("p", "draining", 1000)}, ordinary);
    fleet.reset(store_topic::endpoints, {entry("p", "ready", 1000)}, restored);
    CHECK_FALSE(mayReceive("p"));
    fleet.reset(store_topic::endpoints, {entry("p", "ready", 1000)}, ordinary);
    CHECK_FALSE(mayReceive("p"));
    fleet.reset(store_topic::endpoints, {entry("p", "ready", 2000)}, ordinary);
    CHECK_TRUE(mayReceive("p"));
}

// Guards against requests to a process that has left, and against a running endpoint that is never used again.
TEST(restored_records, doNotBringBackAProcessThatLeft)
{
    fleet.reset(store_topic::endpoints, {entry("p", "ready", 1000)}, ordinary);
    fleet.change(store_topic::endpoints, {{"p", std::nullopt, store_offset(2)}}, ordinary);
    fleet.reset(store_topic::endpoints, {entry("p", "ready", 1000)}, restored);
    CHECK_FALSE(mayReceive("p"));
    fleet.change(store_topic::endpoints, {entry("p", "ready", 1000)}, ordinary);
    CHECK_TRUE(mayReceive("p"));
}

// Guards against endpoints that are dropped because they registered after the copy was made, and against keeping them without an entry.
TEST(restored_records, giveMissingEndpointsAGracePeriod)
{
    fleet.reset(store_topic::endpoints, {entry("p", "ready", 1000), entry("q", "draining", 1000)}, ordinary);
    fleet.reset(store_topic::endpoints, {}, restored);
    CHECK_TRUE(mayReceive("p"));
    CHECK(fleet.endpoints().find(endpoint_id("q")) == nullptr);
    fleet.removeOverdueEndpoints(now + 2000ms);
    CHECK(fleet.endpoints().find(endpoint_id("p")) == nullptr);
}

// Guards against snapshots that count as older than what is known long after the restore.
TEST(restored_records, areMergedForAMinute)
{
    fleet.reset(store_topic::endpoints, {entry("p", "draining", 1000)}, ordinary);
    fleet.reset(store_topic::endpoints, {entry("p", "ready", 1000)}, restored);
    fleet.reset(store_topic::endpoints, {entry("p", "ready", 1000)}, {now + 61s, {}});
    CHECK_TRUE(mayReceive("p"));
}

// Guards against a rollout that ends because the copy lacks its order.
TEST(restored_records, keepRolloutOrders)
{
    rollout_settings rollouts;
    fleet_state ordered {{instance_id("me"), data_centre_id("z"), {}, false, expected_completion_score(), rollouts},
                         {},
                         adapter.dialects().records,
                         event_log()};
    ordered.reset(store_topic::operators,
                  {config(9), {"rollout/plain", R"({"service":"plain","target":"v2","deadline_s":6})", store_offset(2)}},
                  ordinary);
    LONGS_EQUAL(1, ordered.endpoints().rollouts().orderedServices().size());
    ordered.reset(store_topic::operators, {config(9)}, restored);
    LONGS_EQUAL(1, ordered.endpoints().rollouts().orderedServices().size());
    ordered.reset(store_topic::operators, {config(9)}, {now + 61s, {}});
    LONGS_EQUAL(0, ordered.endpoints().rollouts().orderedServices().size());
}
