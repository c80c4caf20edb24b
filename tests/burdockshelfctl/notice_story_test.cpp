#include "burdockshelfctl/request_story.h"

#include <algorithm>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;

namespace
{

constexpr const char *lines = "time_ms=1000 part=gateway event=start incarnation=7\n"
                              "time_ms=2000 part=dispatch event=attempt_sent request=r1 attempt=1 duty=plain_call endpoint=i-1\n"
                              "time_ms=2010 part=dispatch event=endpoint_pausing endpoint=i-1 request=r1 left_ms=1500\n"
                              "time_ms=2020 part=dispatch event=endpoint_leaving endpoint=i-2 request=r2\n"
                              "time_ms=2030 part=dispatch event=attempt_sent request=r3 attempt=1 duty=plain_call endpoint=i-3\n"
                              "time_ms=2040 part=dispatch event=request_done request=r4 outcome=endpoints_pausing status=503\n";

request_story storyOf(const std::string &request)
{
    request_story story(request);
    std::istringstream stream(lines);
    story.addLog(stream, "edge-1");
    return story;
}

bool hasBelief(const story_step &step, const std::string &event)
{
    return std::any_of(
        step.beliefs.begin(), step.beliefs.end(), [&](const held_belief &belief) { return belief.changedBy.event == event; });
}

} // namespace

TEST_GROUP(notice_story) {};

// The operator must see which endpoints' statements were the reason of a refusal, and how old they were.
TEST(notice_story, namesTheNoticesBehindARefusal)
{
    const request_story refused = storyOf("r4");
    STRCMP_CONTAINS("asked this instance to pause", refused.conclusion().c_str());
    const story_step step = refused.steps().front();
    CHECK_TRUE(hasBelief(step, "endpoint_pausing"));
    CHECK_TRUE(hasBelief(step, "endpoint_leaving"));
}

// The line that marks an endpoint is a step of the request that was answered; other requests at other endpoints have nothing to do with it.
TEST(notice_story, showsANoticeWithTheRequestThatWasAnswered)
{
    const request_story answered = storyOf("r1");
    LONGS_EQUAL(2, answered.steps().size());
    STRCMP_EQUAL("endpoint_pausing", answered.steps()[1].decision.event.c_str());
    const request_story unrelated = storyOf("r3");
    CHECK_FALSE(hasBelief(unrelated.steps().front(), "endpoint_pausing"));
    CHECK_FALSE(hasBelief(unrelated.steps().front(), "endpoint_leaving"));
}
