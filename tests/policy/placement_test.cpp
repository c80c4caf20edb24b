#include "policy/placement.h"

#include <algorithm>

#include "support/property.h"

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

std::vector<endpoint_candidate> pool()
{
    return {
        {endpoint_id("local-1"), true, slot_count(0), slot_count(20), {}},
        {endpoint_id("local-2"), true, slot_count(0), slot_count(20), {}},
        {endpoint_id("local-3"), true, slot_count(0), slot_count(20), {}},
        {endpoint_id("remote-1"), false, slot_count(0), slot_count(20), {}},
    };
}

} // namespace

TEST_GROUP(placements) {};

// Guards against requests with a shared prefix that are spread over all caches while the preferred endpoint has free slots, and against a
// frequent prefix that overloads one endpoint.
TEST(placements, keepAPrefixTogetherWhileTheLoadAllows)
{
    const affinity_placement placement;
    random_source random(7);
    std::vector<endpoint_candidate> candidates = pool();
    const endpoint_id home = placement.order({42, {}, instant(1s)}, candidates, random).front();
    for (int i = 0; i < 20; ++i) {
        CHECK_TRUE(placement.order({42, {}, instant(1s)}, candidates, random).front() == home);
    }
    for (endpoint_candidate &candidate : candidates) {
        candidate.used = slot_count(candidate.id == home ? 15 : 0);
    }
    CHECK_FALSE(placement.order({42, {}, instant(1s)}, candidates, random).front() == home);
}

// Guards against traffic between data centres while the local one has free slots, and against requests that wait for full local endpoints.
TEST(placements, leaveTheDataCentreOnlyWhenItIsFull)
{
    const affinity_placement placement;
    random_source random(7);
    CHECK_PROPERTY("local first", [&](std::uint64_t prefix) {
        const auto order = placement.order({prefix, {}, instant(1s)}, pool(), random);
        RC_ASSERT(order.back() == endpoint_id("remote-1"));
    });
    std::vector<endpoint_candidate> paused = pool();
    for (endpoint_candidate &candidate : paused) {
        candidate.retryAt = candidate.isLocal ? deadline(instant(2s)) : deadline();
    }
    const auto order = placement.order({1, {}, instant(1s)}, paused, random);
    CHECK_EQUAL(1U, order.size());
    CHECK_TRUE(order.front() == endpoint_id("remote-1"));
}
