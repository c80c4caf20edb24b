#include "gateway/caller_memory.h"

#include "support/property.h"

#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;

namespace
{

constexpr auto here = source_address(1);
constexpr auto there = source_address(2);

std::shared_ptr<caller_memory> account()
{
    return std::make_shared<caller_memory>(
        caller_memory_limits {byte_count(100 * 1024), byte_count(60 * 1024), byte_count(50 * 1024), 4, 3});
}

} // namespace

TEST_GROUP(caller_memory) {};

// Guards against a bound that is not enforced, or is reported as another one.
TEST(caller_memory, namesTheBoundThatIsExceeded)
{
    const auto shared = account();
    memory_charge first(shared, here);
    CHECK(first.resize(byte_count(51 * 1024)) == memory_bound::connection);
    CHECK(first.resize(byte_count(50 * 1024)) == memory_bound::none);
    memory_charge second(shared, here);
    CHECK(second.resize(byte_count(20 * 1024)) == memory_bound::source);
    memory_charge third(shared, there);
    CHECK(third.resize(byte_count(50 * 1024)) == memory_bound::none);
    CHECK(second.resize(byte_count(1024)) == memory_bound::total);
    LONGS_EQUAL(100 * 1024, shared->held().value());
}

// Guards against amounts that stay in the account after their data was released, which would refuse callers for ever.
TEST(caller_memory, isEmptyOnceAllChargesAreGone)
{
    CHECK_TRUE(rc::check("charges that are resized, forced and moved release what they hold", [] {
        const auto shared = account();
        {
            std::vector<memory_charge> charges;
            const auto amounts = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 80'000));
            for (const int amount : amounts) {
                memory_charge fresh(shared, amount % 2 == 0 ? here : there);
                if (amount % 3 == 0) {
                    fresh.force(byte_count(amount));
                } else if (fresh.resize(byte_count(amount)) != memory_bound::none) {
                    RC_ASSERT(fresh.amount() == byte_count());
                }
                charges.push_back(std::move(fresh));
                if (amount % 5 == 0) {
                    charges.front() = std::exchange(charges.back(), memory_charge());
                }
            }
        }
        RC_ASSERT(shared->held() == byte_count());
    }));
}

// Guards against one source that takes every connection.
TEST(caller_memory, leavesConnectionsToOtherSources)
{
    const auto shared = account();
    for (int i = 0; i < 3; ++i) {
        CHECK(shared->boundForConnection(here) == memory_bound::none);
        shared->addConnection(here);
    }
    CHECK(shared->boundForConnection(here) == memory_bound::source);
    CHECK(shared->boundForConnection(there) == memory_bound::none);
    shared->addConnection(there);
    CHECK(shared->boundForConnection(there) == memory_bound::total);
    shared->removeConnection(here);
    CHECK(shared->boundForConnection(there) == memory_bound::none);
}
