#include "gateway/crash_report_codec.h"

// CppUTest redefines new, so every header that uses it comes before those that include CppUTest.
#include <rapidcheck.h>

#include "gateway/gateway_fleet.h"
#include "support/property.h"

using namespace burdockshelf;

namespace
{

/// A fleet whose decode endpoint crashes, and starts again, whenever it begins to generate output for a prompt with the part "dead".
struct crashing_fleet : gateway_fleet
{
    int prompts = 0;

    crashing_fleet()
    {
        decode.setRequestHandler([this](const std::shared_ptr<http_exchange> &exchange) {
            if (exchange->request().headers.value("X-Prompt-Prefix").find("dead:") == std::string_view::npos) {
                http_headers headers = decode.success(exchange->request()).headers;
                headers.add("Content-Type", "text/event-stream");
                exchange->startStream(200, headers);
                exchange->sendData("id: 1\ndata: piece\n\n");
                exchange->endStream();
                return;
            }
            exchange->abort();
            decode.restart();
            store.put("keyed.servers", "d", decode.entry("engine", "z", "decode"));
        });
    }

    int callWithPrompt(std::size_t gateway, const std::string &sharedParts)
    {
        http_request request;
        request.headers = {{"Authorization", "Bearer k1"},
                           {"X-Token-Counts", "100,10"},
                           {"X-Prompt-Prefix", sharedParts + ",own" + std::to_string(++prompts) + ":50"}};
        return call(gateway, std::move(request));
    }

    void callDeadlyUntilRefused(std::size_t gateway)
    {
        while (!isTimedOut && callWithPrompt(gateway, "first:10,dead:20") != 503) {
            // Crashes at separate moments count separately for an instance that has just started.
            pause.start(deadline::after(boot_clock::now(), 260ms));
            loop.run();
        }
        CHECK_FALSE(isTimedOut);
    }
};

std::string quarantineLog()
{
    return "event=prompt_part_quarantined prompt_part=dead";
}

} // namespace

TEST_GROUP(quarantine) {};

// Guards against requests that crash one endpoint after the other at all instances: an instance must refuse them after the crashes that
// another one has seen, and so must a process that starts later. Requests that share the other parts must still be served.
TEST(quarantine, isSharedByTheInstancesAndOutlivesAProcess)
{
    crashing_fleet site;
    CHECK_TRUE(site.callUntil(0, 200));
    CHECK_TRUE(site.callUntil(1, 200));
    site.callDeadlyUntilRefused(0);
    site.waitForLog(1, quarantineLog());
    const std::size_t runs = site.decode.runs().size();
    LONGS_EQUAL(503, site.callWithPrompt(1, "first:10,dead:20"));
    LONGS_EQUAL(503, site.callWithPrompt(1, "second:10,dead:20"));
    LONGS_EQUAL(runs, site.decode.runs().size());
    LONGS_EQUAL(200, site.callWithPrompt(0, "first:10"));
    LONGS_EQUAL(200, site.callWithPrompt(1, "first:10"));

    site.start(0);
    CHECK_TRUE(site.callUntil(0, 200));
    const std::size_t runsBefore = site.decode.runs().size();
    LONGS_EQUAL(503, site.callWithPrompt(0, "third:10,dead:20"));
    LONGS_EQUAL(runsBefore, site.decode.runs().size());
}

// Guards against instances that learn nothing of each other's crashes while the store does not respond.
TEST(quarantine, isSharedWhileTheStoreDoesNotRespond)
{
    crashing_fleet site;
    site.store.assignPartitionsTo("two");
    CHECK_TRUE(site.callUntil(0, 200));
    CHECK_TRUE(site.callUntil(1, 200));
    site.waitForLog(0, "event=reader_chosen reader=two");
    // The store cannot announce that an endpoint has started again, so each crash takes down another endpoint.
    for (int index = 0; index < 8; ++index) {
        site.store.put("keyed.servers", "d" + std::to_string(index), site.decode.entry("engine", "z", "decode"));
    }
    site.waitForLog(0, "endpoint=d7");
    site.store.setAvailability(standin_store::availability::silent);
    site.callDeadlyUntilRefused(0);
    site.waitForLog(1, quarantineLog());
    const std::size_t runs = site.decode.runs().size();
    LONGS_EQUAL(503, site.callWithPrompt(1, "second:10,dead:20"));
    LONGS_EQUAL(runs, site.decode.runs().size());
}

// Ids come from callers and may hold any bytes. A report with them must neither end the process nor be lost.
TEST(quarantine, reportsSurviveEncodingWithIdsOfAnyBytes)
{
    CHECK_PROPERTY("crash reports", [](const std::vector<std::string> &parts, const std::string &request, std::uint16_t age) {
        const instant now {std::chrono::hours(1)};
        crash_suspect suspect;
        suspect.request = attempt_id(request);
        for (const std::string &part : parts) {
            suspect.parts.shared.emplace_back(part);
        }
        crash_report report;
        report.crashes.push_back({{endpoint_id("d"), endpoint_start_time(7)}, now - std::chrono::milliseconds(age), {suspect}});
        report.quarantined.push_back({prompt_part_id("dead"), deadline::after(now, 5s), {}});
        const std::string text = encodeCrashReport(report, now, 1'000'000ms);
        const instant later {std::chrono::hours(2)};
        const auto decoded = decodeStoredCrashReport(text, later, 1'000'400ms);
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(decoded.value().crashes.front().process == report.crashes.front().process);
        RC_ASSERT(decoded.value().crashes.front().at == later - std::chrono::milliseconds(age));
        RC_ASSERT(decoded.value().crashes.front().suspects.front().parts.shared.size() == parts.size());
        RC_ASSERT(decoded.value().quarantined.front().until == deadline::after(later, 5s));
    });
}

// A record of another writer must not stop an instance that reads crash reports, and one written long ago must not renew a quarantine.
TEST(quarantine, rejectsUnreadableReportsAndAgesOldOnes)
{
    const instant now {std::chrono::hours(1)};
    CHECK_FALSE(decodeCrashReport("[]", now).has_value());
    CHECK_FALSE(decodeCrashReport("\xff", now).has_value());
    CHECK_FALSE(decodeCrashReport(R"({"incarnation":"x","sequence":1,"crashes":[{"endpoint":7}],"quarantined":[]})", now).has_value());
    crash_report report;
    report.quarantined.push_back({prompt_part_id("dead"), deadline::after(now, 60s), {}});
    const auto old = decodeStoredCrashReport(encodeCrashReport(report, now, 0ms), now, 120s);
    CHECK_TRUE(old.value().quarantined.front().until.hasPassed(now));
    // A report that has just arrived is new, whatever the clocks say.
    const auto fresh = decodeCrashReport(encodeCrashReport(report, now, 3600s), now);
    CHECK_FALSE(fresh.value().quarantined.front().until.hasPassed(now));
}
