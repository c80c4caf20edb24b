#include "gateway/relay_readers.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

peer_instance instance(const std::string &name)
{
    return {instance_id(name), {"127.0.0.1", 1}};
}

std::vector<quota_partition_holder> holders(const std::vector<std::string> &names)
{
    std::vector<quota_partition_holder> result;
    result.reserve(names.size());
    for (const std::string &name : names) {
        result.push_back({quota_partition(static_cast<std::int64_t>(result.size())), instance(name)});
    }
    return result;
}

} // namespace

TEST_GROUP(relay_readers)
{
    relay_readers readers;
    instant now = boot_clock::now();
};

// Guards against instances that all call the store while it turns away their reader, although other readers have its records.
TEST(relay_readers, takesTheNextOneWhileAReaderIsBlocked)
{
    readers.set({instance("a"), instance("b")});
    STRCMP_EQUAL("a", readers.current(now)->instance.value().c_str());
    CHECK_TRUE(readers.block(instance_id("a"), deadline::after(now, 1500ms), now));
    STRCMP_EQUAL("b", readers.current(now)->instance.value().c_str());
    CHECK_TRUE(readers.block(instance_id("b"), deadline::after(now, 1500ms), now));
    POINTERS_EQUAL(nullptr, readers.current(now));
    STRCMP_EQUAL("a", readers.current(now + 1600ms)->instance.value().c_str());
}

// Several topics are requested at the same time. Guards against a second failure of one reader that blocks the next one, too.
TEST(relay_readers, blocksAReaderOnce)
{
    readers.set({instance("a"), instance("b")});
    CHECK_TRUE(readers.block(instance_id("a"), deadline::after(now, 1500ms), now));
    CHECK_FALSE(readers.block(instance_id("a"), deadline::after(now, 3000ms), now));
    CHECK_FALSE(readers.block(instance_id("unknown"), deadline::after(now, 3000ms), now));
    STRCMP_EQUAL("b", readers.current(now)->instance.value().c_str());
}

// Guards against a list of holders that is read again and makes an instance return to a reader that has just failed.
TEST(relay_readers, keepsABlockWhenTheListIsReadAgain)
{
    readers.set({instance("a"), instance("b")});
    readers.block(instance_id("a"), deadline::after(now, 1500ms), now);
    CHECK_FALSE(readers.set({instance("a"), instance("b")}));
    CHECK_TRUE(readers.set({instance("a"), instance("c")}));
    STRCMP_EQUAL("c", readers.current(now)->instance.value().c_str());
}

// Guards against an instance that requests records from itself, and against one holder of several partitions that is tried twice.
TEST(relay_readers, areDistinctOtherInstances)
{
    for (const char *self : {"a", "b", "c", "d", "e"}) {
        const std::vector<peer_instance> chosen = chooseReaders(instance_id(self), 3, holders({"a", "b", "a", "c"}));
        CHECK(!chosen.empty());
        for (const peer_instance &one : chosen) {
            CHECK(one.instance != instance_id(self));
            LONGS_EQUAL(1, std::count(chosen.begin(), chosen.end(), one));
        }
    }
    CHECK_TRUE(chooseReaders(instance_id("a"), 3, {}).empty());
}

// Guards against an instance that reads for all others and knows nobody else to ask when the store turns it away.
TEST(relay_readers, leaveOtherHoldersForAnInstanceThatTheStoreRefuses)
{
    const std::vector<quota_partition_holder> held = holders({"a", "b", "a", "c", "d", "e", "b"});
    for (const char *self : {"a", "b", "c", "d", "e", "f"}) {
        const std::vector<peer_instance> chosen = chooseReaders(instance_id(self), 1, held);
        const std::vector<peer_instance> others = chooseOtherHolders(instance_id(self), chosen, held);
        LONGS_EQUAL(3, chosen.size() + others.size());
        for (const peer_instance &one : others) {
            CHECK(one.instance != instance_id(self));
            LONGS_EQUAL(1, std::count(others.begin(), others.end(), one));
            LONGS_EQUAL(0, std::count(chosen.begin(), chosen.end(), one));
        }
    }
}

// Guards against instances that ask themselves or the same holder again and again when there are few holders.
TEST(relay_readers, haveNoOtherHoldersWhenThereAreNone)
{
    CHECK_TRUE(chooseOtherHolders(instance_id("a"), {}, {}).empty());
    CHECK_TRUE(chooseOtherHolders(instance_id("a"), {}, holders({"a", "a"})).empty());
    CHECK_TRUE(chooseOtherHolders(instance_id("b"), {instance("a")}, holders({"a", "b"})).empty());
    LONGS_EQUAL(1, chooseOtherHolders(instance_id("a"), {}, holders({"a", "b", "a"})).size());
}

// Guards against an instance of a large site that is cut off and tries holder after holder before it returns to the store.
TEST(relay_readers, areFewTogetherWithTheOtherHolders)
{
    constexpr std::size_t count = 64;
    std::vector<std::string> names;
    names.reserve(count);
    for (std::size_t number = 0; number < count; ++number) {
        names.push_back("i" + std::to_string(number));
    }
    const std::vector<quota_partition_holder> held = holders(names);
    for (const std::string &self : names) {
        const std::vector<peer_instance> chosen = chooseReaders(instance_id(self), 4, held);
        LONGS_EQUAL(3, chosen.size() + chooseOtherHolders(instance_id(self), chosen, held).size());
    }
}
