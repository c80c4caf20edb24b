#include "deployment_test.h"

using namespace burdockshelf;

namespace
{

class outage_test : public deployment_test
{
protected:
    /// Sends a booking at every instance at once.
    std::vector<std::unique_ptr<caller>> bookEverywhere()
    {
        std::vector<std::unique_ptr<caller>> callers;
        for (const site_instance &instance : running().processes().instances()) {
            callers.push_back(running().callerAt(instance));
            callers.back()->startCall("/booking/slots", "outage-" + instance.name, "{}");
        }
        return callers;
    }

    static bool isRefusedAsNotRun(const caller &booking)
    {
        const auto document = nlohmann::json::parse(booking.body(), nullptr, false);
        return booking.status() == 503 && document.is_object() && document.value("error", nlohmann::json::object()).value("not_run", false);
    }
};

} // namespace

TEST_GROUP_BASE(outage, outage_test) {};

// Guards against instances that stop serving, or book without a claim, while the platform's log is down for several leases (P8, P12).
TEST(outage, modelRequestsGoOnAndBookingsAreRefusedAsNotRun)
{
    constexpr int leases = 4;
    running().controlPlatform({{"outage", true}});
    const deadline until = deadline::after(boot_clock::now(), leases * deployment::lease);
    while (!until.hasPassed(boot_clock::now())) {
        for (site_instance &instance : running().processes().instances()) {
            const auto answer = running().processes().complete(instance, running().key(), "Where is wagon 12?", 4);
            CHECK_SEEN(answer.isWhole, instance.name + " answered " + std::to_string(answer.status) + " " + answer.refusalBody);
        }
    }
    const auto bookings = bookEverywhere();
    CHECK_SEEN(running().waitUntilDone(bookings), "a booking has no answer");
    for (const auto &booking : bookings) {
        CHECK_SEEN(isRefusedAsNotRun(*booking), booking->description());
    }
    running().controlPlatform({{"outage", false}});
    for (site_instance &instance : running().processes().instances()) {
        const std::string key = "outage-" + instance.name;
        LONGS_EQUAL(0, running().executions(key));
        const bool isBooked = running().waitFor([&] {
            const auto answer = running().processes().call(instance, running().key(), "/booking/slots", key, "{}");
            return answer.has_value() && answer.value().status == 200;
        });
        CHECK_SEEN(isBooked, instance.name + " does not book after the outage");
        LONGS_EQUAL(1, running().executions(key));
        CHECK_SEEN(running().doesServe(instance), instance.name + " does not serve after the outage");
    }
}
