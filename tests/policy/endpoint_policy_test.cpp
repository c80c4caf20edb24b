#include "policy/endpoint_circuit_breaker.h"
#include "policy/retry_budget.h"
#include "policy/slow_start.h"

#include "support/property.h"

using namespace burdockshelf;
using namespace std::chrono_literals;

TEST_GROUP(slow_starts) {};

// Guards against full load on an endpoint that has just started, or that has become cold without a restart.
TEST(slow_starts, growWithSuccessesAndCollapse)
{
    slow_start start;
    start.observe(incarnation_id("a"), slot_count(3));
    CHECK_EQUAL(1, start.window().value());
    for (int i = 0; i < 5; ++i) {
        start.record(attempt_verdict::succeeded, start.generation(), slot_count(3));
    }
    CHECK_EQUAL(3, start.window().value());
    const auto old = start.generation();
    start.record(attempt_verdict::slow, old, slot_count(3));
    start.record(attempt_verdict::failed, old, slot_count(3));
    start.record(attempt_verdict::cancelled, old, slot_count(3));
    CHECK_EQUAL(3, start.window().value());
    start.record(attempt_verdict::slow, old, slot_count(3));
    CHECK_EQUAL(1, start.window().value());
    start.record(attempt_verdict::succeeded, old, slot_count(3));
    CHECK_EQUAL(1, start.window().value());
    start.record(attempt_verdict::succeeded, start.generation(), slot_count(3));
    CHECK_EQUAL(2, start.window().value());
    start.observe(incarnation_id("b"), slot_count(3));
    CHECK_EQUAL(1, start.window().value());
}

TEST_GROUP(endpoint_healths) {};

// Guards against a failing endpoint that still receives attempts, and a recovered one that receives none.
TEST(endpoint_healths, openAndProbe)
{
    random_source random(7);
    endpoint_circuit_breaker health;
    const instant now(100s);
    health.failed(now, random);
    health.failed(now, random);
    health.succeeded();
    health.failed(now, random);
    health.failed(now, random);
    CHECK_TRUE(health.allows(now));
    health.failed(now, random);
    CHECK_FALSE(health.allows(now + 300ms));
    CHECK_TRUE(health.allows(now + 700ms));
    health.started(now + 700ms);
    CHECK_FALSE(health.allows(now + 701ms));
    CHECK_TRUE(health.allows(now + 700ms + 5s));
    health.failed(now + 800ms, random);
    CHECK_FALSE(health.allows(now + 800ms + 700ms));
    CHECK_TRUE(health.allows(now + 800ms + 1300ms));
    health.succeeded();
    CHECK_TRUE(health.allows(now + 801ms) && !health.isOpen());
}

TEST_GROUP(retry_budgets) {};

// Guards against retries that multiply the load while all attempts fail.
TEST(retry_budgets, boundRetriesByFirstAttempts)
{
    CHECK_PROPERTY("retries <= limit + earned share + rate * time", [](const std::vector<std::uint8_t> &moves) {
        const instant start(100s);
        const retry_budget_settings settings;
        retry_budget budget(settings, start);
        instant now = start;
        std::int64_t attempts = 0;
        std::int64_t retries = 0;
        for (const std::uint8_t move : moves) {
            now += std::chrono::milliseconds(move);
            if (move % 2 == 0) {
                ++attempts;
                budget.earn();
            }
            for (int i = 0; i < 3; ++i) {
                retries += budget.spend(now) ? 1 : 0;
            }
        }
        const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now - start).count();
        const double bound = settings.limit + attempts * settings.perHundred / 100.0 + settings.perSecond * milliseconds / 1000.0;
        RC_ASSERT(static_cast<double>(retries) <= bound);
    });
    retry_budget empty({0, 1, 1}, instant(100s));
    CHECK_TRUE(empty.spend(instant(100s)));
    CHECK_FALSE(empty.spend(instant(100s) + 500ms));
    CHECK_TRUE(empty.spend(instant(100s) + 1000ms));
}
