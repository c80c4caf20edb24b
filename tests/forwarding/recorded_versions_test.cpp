#include "forwarding/recorded_versions.h"

#include <vector>

#include "support/property.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

const service_id engine("engine");

service_versions versionsOf(const std::set<service_version> &versions)
{
    return {{engine, versions}};
}

/// Instances that write and read the record of one service and see the same endpoints, and the streams that they begin. Instances may be
/// killed at any time.
struct recording_fleet
{
    struct instance
    {
        recorded_versions versions;
        /// The number of writes when the records were last read.
        int readAt = -1;
    };

    struct stream
    {
        service_version version;
        instant begun;
    };

    instant now {1000s};
    std::set<service_version> registered;
    std::vector<instance> instances;
    service_versions stored;
    int writes = 0;
    std::vector<stream> streams;

    recording_fleet()
    {
        for (const auto spread : {0ms, 5000ms, 10000ms}) {
            instances.push_back({recorded_versions(spread)});
        }
    }

    void read(instance &reader)
    {
        reader.readAt = writes;
        reader.versions.setRecorded(stored, false, now);
    }

    void write(instance &writer, bool isAnswerLost)
    {
        const auto record = writer.versions.nextRecord(now);
        if (!record) {
            return;
        }
        if (writer.readAt != writes) {
            read(writer);
            return;
        }
        stored[record->service] = record->versions;
        ++writes;
        if (!isAnswerLost) {
            writer.readAt = writes;
            writer.versions.noteWritten(*record);
        }
    }

    void begin(const instance &at, const service_version &version)
    {
        const auto recorded = at.versions.recorded().find(engine);
        if (registered.count(version) > 0 && recorded != at.versions.recorded().end() && recorded->second.count(version) > 0) {
            streams.push_back({version, now});
        }
    }

    /// Every stream that a caller may still resume goes on at its own version, or is refused.
    bool areOriginsRight(instance &at)
    {
        read(at);
        const auto origin = at.versions.hasLost() ? std::nullopt : onlyOrigin({engine}, at.versions.possible());
        for (const stream &each : streams) {
            if (now - each.begun < recorded_versions::retention && origin && origin->version != each.version) {
                return false;
            }
        }
        return true;
    }

    void step(std::uint8_t choice)
    {
        static const std::vector<service_version> versions = {service_version("v1"), service_version("v2"), service_version("")};
        instance &chosen = instances[choice / 8 % instances.size()];
        const service_version &version = versions[choice / 32 % versions.size()];
        switch (choice % 8) {
        case 0:
        case 1:
            if (!registered.insert(version).second) {
                registered.erase(version);
            }
            for (instance &each : instances) {
                each.versions.setRegistered(versionsOf(registered), now);
            }
            break;
        case 2:
        case 3:
            write(chosen, choice > 224);
            break;
        case 4:
        case 5:
            begin(chosen, version);
            break;
        case 6:
            now += choice > 128 ? 70s : 5s;
            break;
        default:
            chosen = {recorded_versions(0ms)};
            chosen.versions.setRegistered(versionsOf(registered), now);
        }
    }
};

} // namespace

TEST_GROUP(recorded_versions) {};

// Guards against an instance that has seen nothing of a stream and concludes a version that did not begin it, whichever instances are
// killed, whoever writes at the same time, and whichever answers are lost.
TEST(recorded_versions, leaveOnlyTheVersionThatBeganAStream)
{
    CHECK_PROPERTY("the origin of each stream", [](const std::vector<std::uint8_t> &choices) {
        recording_fleet fleet;
        for (const std::uint8_t choice : choices) {
            fleet.step(choice);
            RC_ASSERT(fleet.areOriginsRight(fleet.instances[choice % fleet.instances.size()]));
        }
    });
}

// Guards against a stream that begins at a version before the store has it, so that a kill of all instances leaves nothing of it.
TEST(recorded_versions, areWrittenBeforeTheyAreUsed)
{
    recorded_versions versions(0ms);
    const instant now(1000s);
    versions.setRegistered(versionsOf({service_version("v1")}), now);
    CHECK_TRUE(versions.recorded().empty());
    const auto record = versions.nextRecord(now);
    CHECK_TRUE(record.has_value());
    versions.noteWritten(*record);
    CHECK_TRUE(versions.recorded() == versionsOf({service_version("v1")}));
    CHECK_FALSE(versions.nextRecord(now).has_value());
    CHECK_FALSE(versions.isMixed());
}

// Guards against records that grow for ever, and against a version that is removed while its streams may be resumed.
TEST(recorded_versions, areRemovedAfterTheRetention)
{
    recorded_versions versions(0ms);
    const instant begun(1000s);
    versions.setRegistered(versionsOf({service_version("v1"), service_version("v2")}), begun);
    versions.noteWritten(*versions.nextRecord(begun));
    CHECK_TRUE(versions.isMixed());
    versions.setRegistered(versionsOf({service_version("v2")}), begun);
    CHECK_FALSE(versions.nextRecord(begun + recorded_versions::retention - 1ms).has_value());
    CHECK(versions.nextRemoval() == deadline::after(begun, recorded_versions::retention));
    const auto record = versions.nextRecord(begun + recorded_versions::retention);
    CHECK_TRUE(record.has_value());
    CHECK_TRUE(record->versions == std::set<service_version> {service_version("v2")});
    versions.noteWritten(*record);
    CHECK_FALSE(versions.isMixed());
}

// Guards against conclusions from a store that came back from an older copy without a version that it had acknowledged.
TEST(recorded_versions, areWrittenAgainWhenTheStoreHasLostThem)
{
    recorded_versions versions(0ms);
    const instant now(1000s);
    versions.setRegistered(versionsOf({service_version("v1"), service_version("v2")}), now);
    versions.noteWritten(*versions.nextRecord(now));
    versions.setRegistered(versionsOf({service_version("v2")}), now);
    versions.setRecorded(versionsOf({service_version("v2")}), true, now);
    CHECK_TRUE(versions.hasLost());
    const auto record = versions.nextRecord(now);
    CHECK_TRUE(record.has_value());
    LONGS_EQUAL(2, record->versions.size());
    versions.noteWritten(*record);
    CHECK_FALSE(versions.hasLost());
    // Another instance may write it first.
    versions.setRecorded(versionsOf({service_version("v2")}), true, now);
    CHECK_TRUE(versions.hasLost());
    versions.setRecorded(versionsOf({service_version("v1"), service_version("v2")}), false, now);
    CHECK_FALSE(versions.hasLost());
    CHECK_FALSE(versions.nextRecord(now).has_value());
}

// Guards against a version that another instance has removed and that is written again, so that versions stay mixed for ever.
TEST(recorded_versions, areNotWrittenAgainAfterAnotherInstanceHasRemovedThem)
{
    recorded_versions versions(10000ms);
    const instant now(1000s);
    versions.setRegistered(versionsOf({service_version("v1"), service_version("v2")}), now);
    versions.noteWritten(*versions.nextRecord(now));
    versions.setRegistered(versionsOf({service_version("v2")}), now);
    const instant later = now + 45s;
    versions.setRecorded(versionsOf({service_version("v2")}), false, later);
    CHECK_FALSE(versions.hasLost());
    CHECK_FALSE(versions.nextRecord(later).has_value());
}

// Guards against a stream that begins at a version which has returned, after another instance has removed its record.
TEST(recorded_versions, areReadAgainWhenAVersionReturns)
{
    recorded_versions versions(10000ms);
    const instant now(1000s);
    versions.setRegistered(versionsOf({service_version("v1"), service_version("v2")}), now);
    versions.noteWritten(*versions.nextRecord(now));
    versions.setRegistered(versionsOf({service_version("v2")}), now);
    versions.setRegistered(versionsOf({service_version("v1"), service_version("v2")}), now + 65s);
    CHECK_TRUE(versions.recorded() == versionsOf({service_version("v2")}));
    CHECK_TRUE(versions.nextRecord(now + 65s).has_value());
}

// Guards against an unknown version that is taken for the only one.
TEST(recorded_versions, showNoOriginForAnUnknownVersionOrSeveralServices)
{
    CHECK_FALSE(onlyOrigin({engine}, versionsOf({service_version("")})).has_value());
    CHECK_FALSE(onlyOrigin({engine}, versionsOf({})).has_value());
    CHECK_FALSE(onlyOrigin({engine}, {}).has_value());
    CHECK_FALSE(onlyOrigin({engine, service_id("other")}, versionsOf({service_version("v1")})).has_value());
    CHECK_TRUE(onlyOrigin({engine}, versionsOf({service_version("v1")})).has_value());
}
