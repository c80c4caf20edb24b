#include "forwarding/refusal_policy.h"

#include "support/property.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

TEST_GROUP(refusal_policy)
{
    instant now {1000s};

    refusal_facts pausing(std::chrono::milliseconds left) const
    {
        refusal_facts facts;
        facts.cause = refusal_cause::no_endpoint;
        facts.endpoints.pausing = 2;
        facts.endpoints.pauseEnds = deadline::after(now, left);
        return facts;
    }
};

// A caller that returns before the end of the pause is refused again, and callers that all return at its end meet an endpoint that takes
// one request.
TEST(refusal_policy, spreadsTheCallersAfterThePause)
{
    CHECK_PROPERTY("after the pause", [this](std::uint16_t left, std::uint16_t jitter, bool isUrgent) {
        refusal_facts facts = pausing(std::chrono::milliseconds(left));
        facts.jitter = jitter / 65536.0;
        facts.priority = isUrgent ? 0 : 1;
        const refusal_decision decided = decideRefusal(facts, now);
        RC_ASSERT(decided.cause == refusal_cause::endpoints_pausing);
        RC_ASSERT(*decided.retryAfter >= std::chrono::milliseconds(left));
        RC_ASSERT(*decided.retryAfter <= std::chrono::milliseconds(left) + 1500ms);
    });
    refusal_facts early = pausing(2s);
    refusal_facts late = early;
    late.jitter = 0.9;
    CHECK(*decideRefusal(late, now).retryAfter > *decideRefusal(early, now).retryAfter + 300ms);
}

// After a pause there is room for few requests at first; the urgent ones come first.
TEST(refusal_policy, letsUrgentCallersReturnFirst)
{
    refusal_facts urgent = pausing(2s);
    urgent.jitter = 0.99;
    refusal_facts patient = pausing(2s);
    patient.priority = 1;
    CHECK(*decideRefusal(urgent, now).retryAfter <= *decideRefusal(patient, now).retryAfter);
}

// A pause of some endpoints is not the cause when another one could have served the request.
TEST(refusal_policy, namesThePauseOnlyWhenNoEndpointIsAvailable)
{
    refusal_facts facts = pausing(2s);
    facts.cause = refusal_cause::overloaded;
    facts.endpoints.available = 1;
    CHECK(decideRefusal(facts, now).cause == refusal_cause::overloaded);
    CHECK(*decideRefusal(facts, now).retryAfter < 1s);
    facts.isCapacityExhausted = true;
    CHECK(*decideRefusal(facts, now).retryAfter > 1s);
    facts.endpoints.available = 0;
    CHECK(decideRefusal(facts, now).cause == refusal_cause::endpoints_pausing);
    facts.cause = refusal_cause::expired;
    CHECK(decideRefusal(facts, now).cause == refusal_cause::expired);
}

// Statuses without a promise carry no time, and a full token bucket knows when it covers the request.
TEST(refusal_policy, takesTheTimeFromTheCause)
{
    refusal_facts facts;
    for (const refusal_cause cause :
         {refusal_cause::unknown_route, refusal_cause::unknown_key, refusal_cause::timed_out, refusal_cause::endpoint_failed}) {
        facts.cause = cause;
        CHECK_FALSE(decideRefusal(facts, now).retryAfter.has_value());
    }
    for (const refusal_cause cause : {refusal_cause::not_ready,
                                      refusal_cause::no_endpoint,
                                      refusal_cause::overloaded,
                                      refusal_cause::expired,
                                      refusal_cause::shutting_down}) {
        facts.cause = cause;
        CHECK_TRUE(decideRefusal(facts, now).retryAfter.has_value());
    }
    facts.cause = refusal_cause::over_quota;
    facts.quotaWait = 196ms;
    CHECK(*decideRefusal(facts, now).retryAfter == 196ms);
}
