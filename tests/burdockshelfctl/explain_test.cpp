#include "burdockshelfctl/commands.h"
#include "burdockshelfctl/request_story.h"

#include "command_run.h"
#include "support/property.h"
#include "support/scratch_folder.h"

#include <nlohmann/json.hpp>

using namespace burdockshelf;

namespace
{

constexpr const char *lines =
    "time_ms=1000 part=gateway event=start incarnation=7\n"
    "time_ms=1500 part=dispatch event=plan_in_force plan=3 before=0\n"
    "time_ms=1600 part=dispatch event=endpoint_changed endpoint=i-1 service=desk\n"
    "time_ms=1700 part=dispatch event=endpoint_changed endpoint=i-2 service=desk\n"
    "time_ms=2000 part=dispatch event=attempt_sent request=r1 attempt=1 duty=plain_call endpoint=i-1\n"
    "time_ms=2010 part=dispatch event=attempt_sent request=r2 attempt=1 duty=plain_call endpoint=i-2\n"
    "time_ms=2100 part=dispatch event=store_lost plan=3\n"
    "time_ms=2200 part=dispatch event=attempt_failed request=r1 attempt=1 duty=plain_call endpoint=i-1 end=lost detail=\"answer cut\"\n"
    "time_ms=2201 part=dispatch event=request_done request=r1 outcome=endpoint_failed status=502 last_failed_duty=plain_call "
    "last_failed_endpoint=i-1 last_failure=\"lost, answer cut\"\n";

request_story storyOf(const std::string &request, const std::string &log)
{
    request_story story(request);
    std::istringstream stream(log);
    story.addLog(stream, "edge-1");
    return story;
}

} // namespace

TEST_GROUP(explain) {};

// Guards against a story that mixes up requests or forgets what the instance believed, and since when.
TEST(explain, tellsDecisionsWithBeliefsAndTheirAge)
{
    const request_story story = storyOf("r1", lines);
    const std::vector<story_step> steps = story.steps();
    LONGS_EQUAL(3, steps.size());
    STRCMP_EQUAL("attempt_sent", steps[0].decision.event.c_str());
    LONGS_EQUAL(3, steps[0].beliefs.size());
    bool hasPlan = false;
    for (const held_belief &belief : steps[0].beliefs) {
        CHECK_TRUE(belief.changedBy.valueOf("endpoint") != "i-2");
        if (belief.changedBy.event == "plan_in_force") {
            hasPlan = true;
            LONGS_EQUAL(500, belief.age.count());
        }
    }
    CHECK_TRUE(hasPlan);
    LONGS_EQUAL(4, steps[1].beliefs.size());
    STRCMP_CONTAINS("endpoint_failed", story.conclusion().c_str());
    STRCMP_CONTAINS("i-1 (lost, answer cut)", story.conclusion().c_str());
}

// Guards against beliefs of an earlier process that are told as those of the one that decided.
TEST(explain, forgetsWhatAnEarlierProcessBelieved)
{
    const request_story story = storyOf("r3",
                                        std::string(lines)
                                            + "time_ms=9000 part=gateway event=start incarnation=8\n"
                                              "time_ms=9100 part=dispatch event=refused request=r3 cause=not_ready status=503\n");
    LONGS_EQUAL(1, story.steps().size());
    LONGS_EQUAL(1, story.steps()[0].beliefs.size());
    STRCMP_EQUAL("start", story.steps()[0].beliefs[0].changedBy.event.c_str());
}

// Guards against a refusal whose cause cannot be found: the quarantine and the crashes that decided belong to the story.
TEST(explain, namesThePromptPartOfARefusal)
{
    const request_story story =
        storyOf("r4",
                std::string(lines)
                    + "time_ms=3000 part=dispatch event=prompt_part_quarantined prompt_part=p1 crashes=3 endpoint=i-1 suspect=r1\n"
                      "time_ms=3001 part=dispatch event=prompt_part_quarantined prompt_part=p2 crashes=3 endpoint=i-2 suspect=r2\n"
                      "time_ms=4000 part=dispatch event=refused request=r4 cause=quarantined status=503 prompt_part=p1\n");
    const std::vector<story_step> steps = story.steps();
    bool hasQuarantine = false;
    for (const held_belief &belief : steps[0].beliefs) {
        CHECK_TRUE(belief.changedBy.valueOf("prompt_part") != "p2");
        hasQuarantine = hasQuarantine || belief.changedBy.valueOf("prompt_part") == "p1";
    }
    CHECK_TRUE(hasQuarantine);
    STRCMP_CONTAINS("a part that crashed several endpoints; it did not run", story.conclusion().c_str());
}

// Guards against steps of two instances that are told in the order of the files.
TEST(explain, ordersTheStepsOfSeveralInstances)
{
    request_story story("r1");
    std::istringstream late("time_ms=3000 part=dispatch event=request_done request=r1 outcome=answered status=200\n");
    std::istringstream early("   0.0776 edge-2 time_ms=2500 part=dispatch event=refused request=r1 cause=over_quota status=429\n");
    story.addLog(late, "edge-1.log");
    story.addLog(early, "all.log");
    const std::vector<story_step> steps = story.steps();
    STRCMP_EQUAL("edge-2", steps[0].decision.instance.c_str());
    STRCMP_EQUAL("edge-1.log", steps[1].decision.instance.c_str());
    STRCMP_CONTAINS("edge-1.log: answered", story.conclusion().c_str());
}

// Guards against a damaged or foreign line that ends the command or hides the others.
TEST(explain, namesDamagedLinesAndGoesOn)
{
    const request_story story = storyOf("r1",
                                        "a line of another program\n"
                                        "time_ms=x part=dispatch event=refused request=r1\n"
                                        "time_ms=5 part=dispatch event=refused request=r1 path=\"/a\n"
                                        "time_ms=6 part=dispatch event=lines_left_out count=12\n"
                                        "time_ms=7 part=dispatch event=refused request=r1 cause=unknown_key status=401\n");
    LONGS_EQUAL(1, story.steps().size());
    LONGS_EQUAL(2, story.damaged().size());
    LONGS_EQUAL(2, story.damaged()[0].number);
    LONGS_EQUAL(12, story.linesMissing());
}

// Guards against a crash of the reader on bytes that no instance wrote.
TEST(explain, readsAnyBytes)
{
    CHECK_PROPERTY("mutated lines are read, skipped or named", [] {
        std::string mutated = lines;
        for (int i = *rc::gen::inRange(1, 20); i > 0; --i) {
            mutated[*rc::gen::inRange<std::size_t>(0, mutated.size())] = *rc::gen::arbitrary<char>();
        }
        const request_story story = storyOf("r1", mutated);
        RC_ASSERT(story.steps().size() <= 10);
        RC_ASSERT(!storyText(story).empty());
        RC_ASSERT(storyJson(story).is_object());
    });
}

// Guards against an unknown id or an unreadable log that passes for an answer.
TEST(explain, saysWhenThereIsNothingToTell)
{
    command_run run;
    run.in.str(lines);
    tool_options options;
    options.arguments = {"r9"};
    CHECK_TRUE(run.start(&runExplain, options) == exit_status::no_input);
    STRCMP_CONTAINS("no line names request r9 (9 lines read", run.err.str().c_str());
    options.arguments = {"r1", "/no/such/log"};
    CHECK_TRUE(run.start(&runExplain, options) == exit_status::no_input);
    STRCMP_CONTAINS("cannot be read", run.err.str().c_str());
}

// Guards against output that a program cannot read, or that names the cause only in the text.
TEST(explain, writesJson)
{
    command_run run;
    run.in.str(lines);
    tool_options options;
    options.arguments = {"r1"};
    options.output = output_format::json;
    CHECK_TRUE(run.start(&runExplain, options) == exit_status::done);
    const nlohmann::json read = nlohmann::json::parse(run.out.str());
    LONGS_EQUAL(3, read["steps"].size());
    STRCMP_CONTAINS("endpoint_failed", read["conclusion"].get<std::string>().c_str());
}
