#include "deployment_test.h"

#include <csignal>

using namespace burdockshelf;

namespace
{

class withdrawn_key_test : public deployment_test
{
protected:
    std::string grant()
    {
        const auto key = running().processes().grantKey("dispatch");
        CHECK_SEEN(key.has_value(), key.error().message);
        return key.value();
    }

    /// A caller at every instance that has used the key with success and keeps its connection.
    std::vector<std::unique_ptr<caller>> connectEverywhere(const std::string &key)
    {
        std::vector<std::unique_ptr<caller>> callers;
        for (const site_instance &instance : running().processes().instances()) {
            callers.push_back(running().callerAt(instance, key));
            const bool isServed = running().waitFor([&] { return isAnswered(*callers.back()); });
            CHECK_SEEN(isServed, callers.back()->description());
        }
        return callers;
    }

    bool isAnswered(caller &with)
    {
        with.startCompletion("Which track is free?", 2);
        running().waitFor([&] { return with.isDone(); });
        return with.isWhole();
    }

    void checkRefused(caller &with)
    {
        CHECK_SEEN(!isAnswered(with) && with.status() == 401, with.description());
    }

    void withdraw(const std::string &key, const site_instance *except)
    {
        const std::string id = key.substr(4, key.rfind('_') - 4);
        std::vector<std::string> arguments = {"key", "withdraw", id};
        const auto wait = running().waitArguments(except);
        arguments.insert(arguments.end(), wait.begin(), wait.end());
        const auto withdrawn = running().processes().tool(arguments);
        CHECK_SEEN(withdrawn.has_value(), withdrawn.error().message);
    }

    /// No endpoint has seen the secret of the key in a header or a target.
    void checkNotForwarded(const std::string &key)
    {
        const std::string secret = key.substr(key.rfind('_') + 1);
        for (const site_endpoint &endpoint : running().processes().endpoints()) {
            const std::string headers = running().stateOf(endpoint).value("headers", nlohmann::json::array()).dump();
            CHECK_SEEN(headers.find(secret) == std::string::npos, endpoint.name + " has seen the key");
        }
    }
};

} // namespace

TEST_GROUP_BASE(withdrawn_key, withdrawn_key_test) {};

// Guards against a key that goes on working on kept connections after its withdrawal is in force, and against a key that is forwarded (P3).
TEST(withdrawn_key, isRefusedEverywhereOnKeptConnections)
{
    const std::string key = grant();
    const auto callers = connectEverywhere(key);
    withdraw(key, nullptr);
    for (const auto &each : callers) {
        checkRefused(*each);
    }
    checkNotForwarded(key);
}

// Guards against an instance that serves with a key that was withdrawn while the instance was paused (P3).
TEST(withdrawn_key, isRefusedByAnInstanceThatWasPaused)
{
    const std::string key = grant();
    const auto callers = connectEverywhere(key);
    site_instance &paused = running().instance(1);
    paused.process.signal(SIGSTOP);
    withdraw(key, &paused);
    // Longer than the lease, so that the instance may not trust what it knew before.
    running().processes().pause(2 * deployment::lease);
    callers[1]->startCompletion("Which track is free?", 2);
    paused.process.signal(SIGCONT);
    CHECK_SEEN(running().waitFor([&] { return callers[1]->isDone(); }), callers[1]->description());
    CHECK_SEEN(!callers[1]->isWhole(), "served with a withdrawn key after the pause: " + callers[1]->description());
    const auto hasReadOn = [&] {
        const auto covered = [&](std::size_t index) {
            return running().statusOf(running().instance(index)).at("configuration").at("covered").get<int>();
        };
        return covered(1) >= covered(0);
    };
    CHECK_SEEN(running().waitFor(hasReadOn), paused.name + " has not read on");
    checkRefused(*callers[1]);
    checkNotForwarded(key);
    CHECK_SEEN(running().waitFor([&] { return running().doesServe(paused); }), running().lastAnswer());
}
