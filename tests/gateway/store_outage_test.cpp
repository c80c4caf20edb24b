#include "gateway/scripted_deployment.h"

using namespace burdockshelf;
using namespace std::chrono_literals;

TEST_GROUP(store_outage)
{
    scripted_deployment site;

    bool isKeyInForce(const std::string &key)
    {
        http_request request;
        request.method = "GET";
        request.target = "/safe/x";
        request.headers = {{"Host", "h"}, {"X-Attempt-Id", "k" + std::to_string(++site.lastRequest)}, {"Authorization", "Bearer " + key}};
        int status = 0;
        http_call_handlers handlers;
        handlers.onDone = [&](http_call_result result) {
            status = result ? result.value().status : 0;
            site.loop.stop();
        };
        site.client->send(request, std::move(handlers), deadline::after(boot_clock::now(), scripted_deployment::testTimeout));
        site.loop.run();
        return status == 200;
    }

    // Silences the store, then replaces the key of the only workspace, and waits until the instance follows.
    boot_clock::duration timeToFollow(std::chrono::milliseconds outage, const std::string &oldKey, const std::string &newKey)
    {
        site.store.setAvailability(standin_store::availability::silent);
        site.pause(outage);
        site.store.setAvailability(standin_store::availability::serving);
        const instant returned = boot_clock::now();
        std::string changed = scripted_deployment::configuration();
        changed.replace(changed.find("\"k1\""), 4, "\"" + newKey + "\"");
        changed.replace(changed.find("\"version\":3"), 11, "\"version\":" + std::to_string(++version));
        site.store.put("keyed.op", "config", changed);
        while (!site.isTimedOut && (isKeyInForce(oldKey) || !isKeyInForce(newKey))) {
            site.pause(20ms);
        }
        return boot_clock::now() - returned;
    }

    int version = 3;
};

// Guards against calls that are lost in a silence of the store and hang on after its return, while withdrawn keys still work and new ones
// are refused. The time until the instance follows must not grow with the outage.
TEST(store_outage, followsSoonAfterASilenceOfAnyLength)
{
    site.startServing();
    std::string key = "k1";
    for (const auto outage : {700ms, 2200ms, 5600ms}) {
        const std::string next = key + "x";
        CHECK(timeToFollow(outage, key, next) < 1500ms);
        key = next;
    }
    CHECK_FALSE(site.isTimedOut);
}
