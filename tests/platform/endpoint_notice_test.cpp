#include "platform/platform.h"

#include "support/property.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

TEST_GROUP(endpoint_notice)
{
    platform_adapter adapter;
    instant now {1000s};

    endpoint_notice decode(int status, const http_headers &headers) const
    {
        return adapter.dialects().endpoints.decodeResponseHead({status, headers, ""}, now).notice;
    }

    std::optional<std::chrono::milliseconds> pause(const std::string &value) const
    {
        const endpoint_notice notice = decode(503, {{"Retry-After", value}});
        if (!notice.pausedUntil) {
            return std::nullopt;
        }
        return std::chrono::duration_cast<std::chrono::milliseconds>(notice.pausedUntil->at() - now);
    }
};

// Every response may say that the endpoint leaves: successes, failures, and those to engine and status calls.
TEST(endpoint_notice, isReadFromEveryStatus)
{
    for (const int status : {200, 202, 400, 409, 412, 421, 429, 500, 503, 504}) {
        CHECK_TRUE(decode(status, {{"server-leaving", "1"}}).isLeaving);
        CHECK_FALSE(decode(status, {}).isLeaving);
        CHECK_FALSE(decode(status, {{"Server-Leaving", "0"}}).isLeaving);
    }
    CHECK_TRUE(decode(200, {}).isEmpty());
}

// A pause follows only from a request that was turned away.
TEST(endpoint_notice, takesThePauseOnlyFrom503)
{
    for (const int status : {200, 202, 421, 429, 500}) {
        CHECK_TRUE(decode(status, {{"Retry-After", "2"}}).isEmpty());
    }
    CHECK(decode(503, {{"Retry-After", "2"}}).pausedUntil == deadline::after(now, 2s));
    CHECK_TRUE(decode(503, {}).isEmpty());
}

TEST(endpoint_notice, readsWholeAndFractionalSeconds)
{
    CHECK(pause("2") == 2s);
    CHECK(pause("0.25") == 250ms);
    CHECK(pause(" 1.5 ") == 1500ms);
    CHECK(pause(".5") == 500ms);
    CHECK(pause("0.0004") == 1ms);
    CHECK_FALSE(pause("0").has_value());
    CHECK_FALSE(decode(503, {{"Retry-After", "0"}}).isPauseMalformed);
}

// Nonsense must neither block an endpoint for longer than the bound nor be mistaken for a number.
TEST(endpoint_notice, decidesOnNonsense)
{
    for (const char *huge : {"31", "86400", "1000000000000", "99999999999999999999999999999999999999999"}) {
        CHECK(pause(huge) == maxEndpointPause);
    }
    CHECK(pause(std::string(400, '9')) == maxEndpointPause);
    for (const char *nonsense :
         {"", " ", "-1", "-0.5", "+1", "soon", "nan", "inf", "1e3", "0x10", "1.2.3", ".", "1 2", "Sat, 05 Dec 2026 03:00:00 GMT"}) {
        CHECK_FALSE(pause(nonsense).has_value());
        CHECK_TRUE(decode(503, {{"Retry-After", nonsense}}).isPauseMalformed);
    }
}

// The endpoint has stated two times; keeping away for the longer one satisfies both.
TEST(endpoint_notice, takesTheLargestOfSeveralTimes)
{
    CHECK(decode(503, {{"Retry-After", "1"}, {"Retry-After", "3"}}).pausedUntil == deadline::after(now, 3s));
    CHECK(decode(503, {{"Retry-After", "3"}, {"Retry-After", "soon"}}).pausedUntil == deadline::after(now, 3s));
    CHECK(pause("2, 1") == 2s);
}

TEST(endpoint_notice, survivesAnyValue)
{
    CHECK_PROPERTY("any value", [this](const std::string &value) {
        const endpoint_notice notice = decode(503, {{"Retry-After", value}, {"Server-Leaving", value}});
        RC_ASSERT(!notice.pausedUntil || *notice.pausedUntil <= deadline::after(now, maxEndpointPause));
        RC_ASSERT(!notice.pausedUntil || *notice.pausedUntil > deadline(now));
    });
}
