#include "deployment_test.h"

using namespace burdockshelf;

namespace
{

class booking_test : public deployment_test
{
protected:
    static constexpr const char *path = "/booking/slots";
    static constexpr const char *body = R"({"slot":"A7"})";

    /// The recorded outcome of the one execution, "in progress" or "outcome unknown".
    static bool isTruthful(const http_call_result &answer)
    {
        if (!answer) {
            return false;
        }
        const auto document = nlohmann::json::parse(answer.value().body, nullptr, false);
        if (!document.is_object()) {
            return false;
        }
        if (answer.value().status == 200) {
            return document.value("execution", 0) == 1;
        }
        const auto refusal = document.value("error", nlohmann::json::object());
        const std::string code = refusal.value("code", "");
        return (code == "in_progress" || code == "outcome_unknown") && !refusal.value("not_run", true);
    }

    static std::string describe(const site_instance &at, const http_call_result &answer)
    {
        return at.name + " answered "
            + (answer ? std::to_string(answer.value().status) + " " + answer.value().body : answer.error().cause.message);
    }

    void sendAgainEverywhere(const std::string &key, const site_instance *except)
    {
        for (site_instance &other : running().processes().instances()) {
            if (&other == except) {
                continue;
            }
            const auto answer = running().processes().call(other, running().key(), path, key, body);
            CHECK_SEEN(isTruthful(answer), describe(other, answer));
            CHECK_SEEN(running().executions(key) <= 1, key + " was executed again after " + describe(other, answer));
        }
    }

    /// Kills the instance that has accepted the booking while the service executes it, and sends the booking again through the others.
    void killWhileExecuting(site_instance &accepting, const std::string &key)
    {
        running().control("plain", {{"delay_ms", 2000}});
        const auto first = running().callerAt(accepting);
        first->startCall(path, key, body);
        CHECK_SEEN(running().waitFor([&] { return running().executions(key) == 1; }), "not executed: " + first->description());
        accepting.process.kill();
        constexpr int rounds = 4;
        for (int round = 0; round < rounds; ++round) {
            sendAgainEverywhere(key, &accepting);
        }
        running().control("plain", {{"delay_ms", 0}});
        const auto restarted = running().processes().restart(accepting);
        CHECK_SEEN(restarted.has_value(), "the daemon does not start again");
        CHECK_SEEN(running().waitFor([&] { return running().doesServe(accepting); }), running().lastAnswer());
        sendAgainEverywhere(key, nullptr);
        CHECK_SEEN(running().waitFor([&] { return running().areRostersWhole(); }), running().statusOf(accepting).dump());
        LONGS_EQUAL(1, running().executions(key));
    }
};

} // namespace

TEST_GROUP_BASE(booking, booking_test) {};

// Guards against a second execution, or an answer that is not true, when the instance that accepted a booking dies (P9, P8).
TEST(booking, runsOnceWhenItsInstanceIsKilled)
{
    killWhileExecuting(running().instance(0), "killed-1");
}

// Guards against a second claim when the log has taken an append whose reply was lost (P9, P8).
TEST(booking, runsOnceWhenTheLogLosesRepliesAndItsInstanceIsKilled)
{
    running().controlPlatform({{"lose_append_replies", 3}});
    killWhileExecuting(running().instance(2), "killed-2");
    running().controlPlatform({{"lose_append_replies", 0}});
}
