#include "forwarding/stream_origins.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

const stream_origin first = {service_id("engine"), service_version("v1")};
const stream_origin second = {service_id("engine"), service_version("v2")};

} // namespace

TEST_GROUP(stream_origins)
{
    instant now {1000s};
    stream_origins streams;
};

// Guards against a chain of resumptions that moves from version to version.
TEST(stream_origins, keepTheFirstOriginOfATry)
{
    streams.begin(attempt_id("a"), first, deadline::never(), now);
    streams.begin(attempt_id("a"), second, deadline::never(), now);
    CHECK_TRUE(streams.find(attempt_id("a"), now) == std::optional(first));
    LONGS_EQUAL(1, streams.newest(10, now).size());
}

// Guards against entries without an end.
TEST(stream_origins, areForgottenAtTheCallersDeadlineAndAtTheLatestAge)
{
    streams.begin(attempt_id("a"), first, deadline::after(now, 14s), now);
    streams.begin(attempt_id("b"), first, deadline::never(), now);
    streams.begin(attempt_id("c"), first, deadline::never(), now);
    streams.end(attempt_id("c"));
    CHECK_FALSE(streams.find(attempt_id("c"), now).has_value());
    now += 14s;
    CHECK_FALSE(streams.find(attempt_id("a"), now).has_value());
    CHECK_TRUE(streams.find(attempt_id("b"), now).has_value());
    now += stream_origins::maxAge;
    streams.removeExpired(now);
    CHECK_FALSE(streams.find(attempt_id("b"), now).has_value());
    CHECK_TRUE(streams.newest(10, now).empty());
}

// Guards against memory that grows with the streams of callers which never return.
TEST(stream_origins, areBounded)
{
    for (std::size_t i = 0; i <= stream_origins::maxStreams; ++i) {
        streams.begin(attempt_id("a" + std::to_string(i)), first, deadline::never(), now);
    }
    CHECK_FALSE(streams.find(attempt_id("a0"), now).has_value());
    CHECK_TRUE(streams.find(attempt_id("a1"), now).has_value());
    LONGS_EQUAL(stream_origins::maxStreams, streams.newest(stream_origins::maxStreams + 1, now).size());
}

// Guards against a request without an id that resumes another one's stream.
TEST(stream_origins, doNotKeepATryWithoutAnId)
{
    streams.begin(attempt_id(), first, deadline::never(), now);
    CHECK_FALSE(streams.find(attempt_id(), now).has_value());
}
