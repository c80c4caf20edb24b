#include "gateway/store_retry.h"

#include "gateway/store_gate.h"
#include "gateway/store_task.h"

#include "support/property.h"

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

constexpr auto responseTime = 5ms;
constexpr auto extendedTimeout = 2000ms;

/// The calls of one topic to a store that never answers what reaches it during an outage, in simulated time.
struct simulated_topic
{
    store_retry retry {450ms, extendedTimeout};
    store_gate gate;
    backoff pauses {40ms, topic_follower::maxRetryDelay};
    random_source random {7};
    instant now {std::chrono::seconds(1000)};
    int calls = 0;

    // Makes one call, and whatever pause follows it. Returns whether everything has been read.
    bool makeCall(instant outageBegins, instant outageEnds)
    {
        now = std::max(now, gate.nextCallAt(now).at());
        gate.noteBegun(now);
        ++calls;
        const bool isProbe = retry.mustProbe();
        if (now < outageBegins || now >= outageEnds) {
            now += responseTime;
            gate.noteSuccess();
            isProbe ? retry.noteProbeAnswered() : retry.noteComplete();
            return !isProbe;
        }
        now += isProbe ? retry.probeTimeout() : retry.readTimeout();
        retry.noteFailure();
        gate.noteFailure(now, random);
        now += pauses.next(random);
        return false;
    }
};

} // namespace

TEST_GROUP(store_retry) {};

// Guards against calls that hang after the store's return, whenever an outage begins and however long it lasts.
TEST(store_retry, readsWithinABoundAfterTheStoresReturn)
{
    CHECK_PROPERTY("time between the store's return and a complete read", [](std::uint16_t begins, std::uint16_t length) {
        simulated_topic topic;
        const instant outageBegins = topic.now + std::chrono::milliseconds(begins % 1000);
        const instant outageEnds = outageBegins + std::chrono::milliseconds(length % 20000);
        while (!topic.makeCall(outageBegins, outageEnds) || topic.now < outageEnds) {
            if (!topic.retry.isFailing()) {
                topic.now += 100ms;
            }
        }
        RC_ASSERT(topic.now - outageEnds < 450ms + topic_follower::maxRetryDelay + 250ms);
    });
}

// A second silence right after a probe was answered must not be waited for any longer than the extended timeout.
TEST(store_retry, givesUpAReadThatIsLostAfterAProbe)
{
    simulated_topic topic;
    const instant never = topic.now;
    topic.retry.noteFailure();
    CHECK_FALSE(topic.makeCall(never, never));
    const instant begun = topic.now;
    CHECK_FALSE(topic.makeCall(begun, begun + 300ms));
    CHECK(topic.now - begun <= extendedTimeout + topic_follower::maxRetryDelay);
    CHECK_TRUE(topic.retry.mustProbe());
    CHECK_FALSE(topic.makeCall(never, never));
    CHECK_TRUE(topic.makeCall(never, never));
}

// All instances that read a busy store at once must wait for its late responses: giving up and beginning again would keep it busy.
TEST(store_retry, waitsLongerForAStoreThatAnswersProbes)
{
    store_retry retry(450ms, extendedTimeout);
    CHECK(retry.readTimeout() == 450ms);
    retry.noteFailure();
    CHECK_TRUE(retry.mustProbe());
    retry.noteProbeAnswered();
    CHECK_FALSE(retry.mustProbe());
    CHECK(retry.readTimeout() == extendedTimeout);
    retry.noteComplete();
    CHECK(retry.readTimeout() == 450ms);
}

// A call that hangs from before the store's return has to leave time for the next ones within the bound.
TEST(store_retry, extendedTimeoutsKeepTheBoundOnSilence)
{
    CHECK_PROPERTY("extended timeouts", [](std::uint16_t bound) {
        const std::chrono::milliseconds silence(1500 + bound % 10000);
        for (const topic_follower_settings &topic : topicFollowerSettings({2000ms, silence, 2000ms})) {
            RC_ASSERT(topic.extendedTimeout >= topic.responseTimeout);
            RC_ASSERT(topic.extendedTimeout + topic_follower::maxRetryDelay <= silence || topic.extendedTimeout == topic.responseTimeout);
        }
    });
}
