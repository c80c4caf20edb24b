#include <nlohmann/json.hpp>

#include "gateway/scripted_deployment.h"

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

// The bounds of the instance's settings for a change of the configuration and for an endpoint that leaves.
constexpr auto configurationBound = 2000ms;
constexpr auto drainBound = 2000ms;

std::string configurationWith(int version, const std::string &key)
{
    std::string changed = scripted_deployment::configuration();
    changed.replace(changed.find("\"k1\""), 4, "\"" + key + "\"");
    changed.replace(changed.find("\"version\":3"), 11, "\"version\":" + std::to_string(version));
    return changed;
}

std::string drainingEntry(const scripted_endpoint &endpoint, const std::string &dataCentre)
{
    nlohmann::json entry = nlohmann::json::parse(endpoint.entry("plain", dataCentre));
    entry["state"] = "draining";
    return entry.dump();
}

} // namespace

/// One gateway whose store comes back from an older copy.
TEST_GROUP(store_restore)
{
    scripted_deployment site;
    scripted_endpoint other {site.loop};

    void setup() override
    {
        other.setRequestHandler(&scripted_deployment::answer);
    }

    int statusWith(const std::string &key)
    {
        http_request request;
        request.method = "GET";
        request.target = "/safe/x";
        request.headers = {{"Host", "h"},
                           {"X-Attempt-Id", "k" + std::to_string(++site.lastRequest)},
                           {"X-Deadline-Ms", "4000"},
                           {"Authorization", "Bearer " + key}};
        int status = 0;
        http_call_handlers handlers;
        handlers.onDone = [&](const http_call_result &result) {
            status = result ? result.value().status : -1;
            site.loop.stop();
        };
        site.client->send(request, std::move(handlers), deadline::after(boot_clock::now(), scripted_deployment::testTimeout));
        site.loop.run();
        return status;
    }

    bool isInForceWithin(const std::string &key, std::chrono::milliseconds time)
    {
        const deadline until = deadline::after(boot_clock::now(), time);
        while (!until.hasPassed(boot_clock::now())) {
            if (statusWith(key) == 200) {
                return true;
            }
            site.pause(20ms);
        }
        return false;
    }

    // Sends requests for the given time and returns how many of them the other endpoint received.
    std::size_t callsToOther(std::chrono::milliseconds time, const std::string &key = "k1")
    {
        const std::size_t before = other.requests().size();
        const deadline until = deadline::after(boot_clock::now(), time);
        while (!until.hasPassed(boot_clock::now())) {
            LONGS_EQUAL(200, statusWith(key));
            site.pause(10ms);
        }
        return other.requests().size() - before;
    }

    void startWithVersionNine()
    {
        site.startServing();
        for (const int version : {5, 7, 9}) {
            site.store.put("keyed.op", "config", configurationWith(version, "k" + std::to_string(version)));
        }
        CHECK_TRUE(isInForceWithin("k9", configurationBound));
    }
};

// Guards against an instance that takes every response of a restored store for a late one, and stays on its configuration until the store
// has as many records as before.
TEST(store_restore, laterVersionIsInForceWithinTheBound)
{
    startWithVersionNine();
    site.store.restore({{"keyed.op", 3}});
    site.store.put("keyed.op", "config", configurationWith(9, "k9"));
    site.store.put("keyed.op", "config", configurationWith(11, "k11"));
    CHECK_TRUE(isInForceWithin("k11", configurationBound));
    LONGS_EQUAL(401, statusWith("k9"));
}

// Guards against records that an instance skips because others had their offsets before the restore.
TEST(store_restore, recordsAtReusedOffsetsAreRead)
{
    startWithVersionNine();
    site.store.restore({{"keyed.op", 3}});
    site.store.put("keyed.op", "config", configurationWith(9, "k9"));
    site.store.put("keyed.op", "config", configurationWith(11, "k11"));
    site.store.put("keyed.op", "evacuate/elsewhere", "{}");
    site.store.drop("keyed.op", "evacuate/elsewhere");
    site.store.put("keyed.op", "evacuate/elsewhere", "{}");
    CHECK_TRUE(isInForceWithin("k11", configurationBound));
}

// Guards against an instance that goes back to the configuration of the copy.
TEST(store_restore, configurationDoesNotRegress)
{
    startWithVersionNine();
    site.store.restore({{"keyed.op", 3}});
    const deadline until = deadline::after(boot_clock::now(), configurationBound);
    while (!until.hasPassed(boot_clock::now())) {
        LONGS_EQUAL(200, statusWith("k9"));
        LONGS_EQUAL(401, statusWith("k1"));
        site.pause(20ms);
    }
}

// Guards against requests to a data centre whose evacuation is missing from the copy, and against an evacuation that cannot be ended.
TEST(store_restore, evacuationIsKeptUntilARecordOfItsKeyArrives)
{
    // Both endpoints are outside the instance's own data centre, which it would prefer.
    site.store.put("keyed.servers", "p", site.plain.entry("plain", "x"));
    site.store.put("keyed.servers", "q", other.entry("plain", "y"));
    site.startServing();
    CHECK(callsToOther(1000ms) > 0);
    site.store.put("keyed.op", "evacuate/y", "{}");
    callsToOther(configurationBound);
    site.store.restore({{"keyed.op", 1}});
    LONGS_EQUAL(0, callsToOther(configurationBound));
    site.store.put("keyed.op", "evacuate/y", "{}");
    LONGS_EQUAL(0, callsToOther(configurationBound));
    site.store.drop("keyed.op", "evacuate/y");
    callsToOther(configurationBound);
    CHECK(callsToOther(1000ms) > 0);
}

// Guards against requests that reach an endpoint long after the restored store has acknowledged that it leaves.
TEST(store_restore, endpointThatLeavesAfterwardsIsNotUsed)
{
    site.store.put("keyed.servers", "q", other.entry("plain", "z"));
    site.startServing();
    for (int heartbeat = 0; heartbeat < 5; ++heartbeat) {
        site.store.put("keyed.servers", "p", site.plain.entry("plain", "z"));
    }
    CHECK(callsToOther(drainBound) > 0);
    site.store.restore({{"keyed.servers", 4}});
    site.store.put("keyed.servers", "q", drainingEntry(other, "z"));
    callsToOther(drainBound);
    LONGS_EQUAL(0, callsToOther(1000ms));
}

// Guards against an endpoint that is used again because the copy is older than its leaving.
TEST(store_restore, endpointThatLeftBeforeStaysOutOfUse)
{
    site.store.put("keyed.servers", "q", other.entry("plain", "z"));
    site.startServing();
    site.store.put("keyed.servers", "q", drainingEntry(other, "z"));
    callsToOther(drainBound);
    site.store.restore({{"keyed.servers", 1}});
    LONGS_EQUAL(0, callsToOther(drainBound));
    site.store.put("keyed.servers", "q", drainingEntry(other, "z"));
    site.store.drop("keyed.servers", "q");
    LONGS_EQUAL(0, callsToOther(drainBound));
    site.store.restore({{"keyed.servers", 2}});
    LONGS_EQUAL(0, callsToOther(drainBound));
}
