#include "gateway/gateway_fleet.h"

using namespace burdockshelf;

namespace
{

std::string withVersion(std::string entry, const std::string &version)
{
    const std::string old = R"("version":"v1")";
    return entry.replace(entry.find(old), old.size(), R"("version":")" + version + "\"");
}

} // namespace

TEST_GROUP(rollout)
{
    gateway_fleet fleet;
    standin_backend newPrefill {fleet.loop, "r2"};
    standin_backend newDecode {fleet.loop, "d2"};

    void setup() override
    {
        fleet.exposeShare = 0.1;
        fleet.start(0);
        fleet.start(1);
        fleet.callUntil(0, 200);
        fleet.pause.start(deadline::after(boot_clock::now(), 1500ms));
        fleet.loop.run();
        fleet.store.put("keyed.servers", "r2", withVersion(newPrefill.entry("engine", "z", "prefill"), "v2"));
        fleet.store.put("keyed.servers", "d2", withVersion(newDecode.entry("engine", "z", "decode"), "v2"));
        fleet.store.put("keyed.op", "rollout/engine", R"({"service":"engine","target":"v2","deadline_s":6})");
    }
};

// Guards against an order that is read and not carried out, and against requests at the old endpoints once it is completed.
TEST(rollout, completesAnOrderAndWritesItsStatus)
{
    fleet.store.assignPartitionsTo("one");
    fleet.waitForLog(0, "rollout_ordered");
    fleet.waitForLog(0, "state=completed");
    fleet.waitForLog(0, "rollouts_not_followed");
    const std::size_t runsBefore = fleet.decode.runs().size();
    CHECK_EQUAL(200, fleet.call(0));
    CHECK_EQUAL(runsBefore, fleet.decode.runs().size());
    CHECK_EQUAL(1, newDecode.runs().size());
}
