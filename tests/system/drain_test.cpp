#include "deployment_test.h"

using namespace burdockshelf;

namespace
{

class drained_data_centre_test : public deployment_test
{
protected:
    void change(const std::string &command)
    {
        std::vector<std::string> arguments = {command, "data-centre", "north"};
        const auto wait = running().waitArguments();
        arguments.insert(arguments.end(), wait.begin(), wait.end());
        const auto changed = running().processes().tool(arguments);
        CHECK_SEEN(changed.has_value(), changed.error().message);
    }
};

} // namespace

TEST_GROUP_BASE(drained_data_centre, drained_data_centre_test) {};

// Guards against new work at a data centre that operators have taken out, callers there that are no longer served, and a data centre that
// stays unused after its return (P6, P10).
TEST(drained_data_centre, getsNoNewWorkAndIsUsedAgainAfterItsReturn)
{
    constexpr int rounds = 10;
    change("drain");
    const int before = running().requestsReceived("north");
    for (int round = 0; round < rounds; ++round) {
        for (site_instance &instance : running().processes().instances()) {
            CHECK_SEEN(running().doesServe(instance), running().lastAnswer());
            const std::string key = "drain-" + instance.name + std::to_string(round);
            const auto booked = running().processes().call(instance, running().key(), "/booking/slots", key, "{}");
            CHECK_SEEN(booked.has_value() && booked.value().status == 200, instance.name + " has not booked");
        }
    }
    LONGS_EQUAL(before, running().requestsReceived("north"));
    change("return");
    const bool isUsed = running().waitFor([&] {
        running().doAllServe();
        return running().requestsReceived("north") > before;
    });
    CHECK_SEEN(isUsed, "north gets no work after its return");
}
