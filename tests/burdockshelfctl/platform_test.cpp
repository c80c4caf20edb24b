#include "burdockshelfctl/answers_file.h"
#include "burdockshelfctl/commands.h"
#include "burdockshelfctl/publication.h"
#include "burdockshelfctl/text_file.h"
#include "state/find_workspace_for_key.h"
#include "wire/configuration_codec.h"

#include "command_run.h"
#include "fake_log.h"
#include "support/property.h"
#include "support/scratch_folder.h"

using namespace burdockshelf;

namespace
{

configuration example()
{
    return loadAnswers(BURDOCKSHELF_EXAMPLES "/kavakli/answers.json").value();
}

/// The example with another rate for a workspace.
configuration exampleWithRate(std::int64_t rate)
{
    configuration config = example();
    config.workspaces.at(workspace_id("yuk-pazari")).rate = token_rate(rate);
    return config;
}

/// The tool, the platform's log and a document on disk.
struct platform_run : command_run
{
    fake_log log {loop};
    scratch_folder folder;
    tool_options options;

    platform_run()
    {
        options.platform = log.at();
        options.arguments = {writeDocument(example())};
    }

    std::string writeDocument(const configuration &config) const
    {
        std::string path = folder.path("configuration.json");
        CHECK_TRUE(writeTextFile(path, encodeConfiguration(config)).has_value());
        return path;
    }

    exit_status startWith(exit_status (*command)(command_context &), const std::vector<std::string> &arguments)
    {
        options.arguments = arguments;
        return start(command, options);
    }

    void storeExample()
    {
        log.store(record_id("first"), diffConfigurations({}, example()));
    }
};

} // namespace

TEST_GROUP(publications) {};

// Guards against a lost reply that is reported as a failure, or that puts the change in force twice.
TEST(publications, withLostRepliesAreInForceOnce)
{
    CHECK_PROPERTY("lost replies and lost appends change nothing", [] {
        platform_run run;
        run.log.lostReplies = *rc::gen::inRange(0, 4);
        run.log.lostAppends = *rc::gen::inRange(0, 4);
        RC_ASSERT(run.start(&runPublish, run.options) == exit_status::done);
        configuration wanted = example();
        wanted.version = configuration_version(1);
        RC_ASSERT(run.log.replay()->config == wanted);
        for (const logged_record &record : run.log.records()) {
            RC_ASSERT(record.id == run.log.records().front().id);
        }
    });
}

// Guards against two operators who are both told that their change is in force, or neither.
TEST(publications, thatRaceHaveOneWinner)
{
    CHECK_PROPERTY("exactly one of two racing changes is in force", [] {
        platform_run run;
        run.storeExample();
        log_session first(run.loop, run.random, run.log.at(), run.limits);
        log_session second(run.loop, run.random, run.log.at(), run.limits);
        RC_ASSERT(first.catchUp().has_value() && second.catchUp().has_value());
        const auto change = preparePublication(first.view()->config, exampleWithRate(1), std::nullopt);
        const auto other = preparePublication(second.view()->config, exampleWithRate(2), std::nullopt);
        const bool isSwapped = *rc::gen::arbitrary<bool>();
        run.log.lostReplies = *rc::gen::inRange(0, 3);
        const append_report early = isSwapped ? second.append(other.value()) : first.append(change.value());
        run.log.lostReplies = *rc::gen::inRange(0, 3);
        const append_report late = isSwapped ? first.append(change.value()) : second.append(other.value());
        RC_ASSERT(early.fate == append_fate::in_force);
        RC_ASSERT(late.fate == append_fate::rejected);
        const auto rate = run.log.replay()->config.workspaces.at(workspace_id("yuk-pazari")).rate;
        RC_ASSERT(rate == token_rate(isSwapped ? 2 : 1));
    });
}

// Guards against a lost race that ends with another exit status.
TEST(publications, thatLoseTheRaceSaySo)
{
    platform_run run;
    run.log.beforeAppend = [&run] {
        run.storeExample();
    };
    run.writeDocument(exampleWithRate(1));
    CHECK_TRUE(run.start(&runPublish, run.options) == exit_status::lost_race);
    STRCMP_CONTAINS("another change came first", run.err.str().c_str());
    run.options.basedOn = configuration_version(0);
    CHECK_TRUE(run.start(&runPublish, run.options) == exit_status::lost_race);
    run.options.basedOn = configuration_version(1);
    CHECK_TRUE(run.start(&runPublish, run.options) == exit_status::done);
    CHECK_EQUAL(2, run.log.replay()->config.version.value());
}

// Guards against a claim of success or failure when the log stops answering after the effect, and against doubt when nothing was sent.
TEST(publications, sayWhenItIsNotKnown)
{
    platform_run run;
    run.log.lostReplies = 1;
    run.log.hasOutageAfterAppend = true;
    CHECK_TRUE(run.start(&runPublish, run.options) == exit_status::try_again);
    STRCMP_CONTAINS("not known whether the change is in force", run.err.str().c_str());
    STRCMP_CONTAINS("503", run.err.str().c_str());
    CHECK_TRUE(run.start(&runPublish, run.options) == exit_status::platform_unavailable);
    run.options.platform = {"127.0.0.1", 1};
    CHECK_TRUE(run.start(&runPublish, run.options) == exit_status::platform_unavailable);
}

// Guards against a start from a log that has lost its beginning, without a snapshot: the tool would publish against an empty state.
TEST(publications, needTheWholeStateInForce)
{
    platform_run run;
    run.storeExample();
    run.storeExample();
    run.log.truncate(1);
    CHECK_TRUE(run.start(&runPublish, run.options) == exit_status::platform_unavailable);
    STRCMP_CONTAINS("lost its beginning", run.err.str().c_str());
}

TEST_GROUP(keys) {};

// Guards against a secret in the log, a key that does not work, and a withdrawn key that a late copy of its grant brings back.
TEST(keys, stayWithdrawnAfterALateCopyOfTheirGrant)
{
    CHECK_PROPERTY("grant, withdraw, late copies", [] {
        platform_run run;
        run.storeExample();
        run.log.lostReplies = *rc::gen::inRange(0, 3);
        RC_ASSERT(run.startWith(&runKeyGrant, {"konya-tahil"}) == exit_status::done);
        std::string key = run.out.str();
        key.pop_back();
        RC_ASSERT(findWorkspaceForKey(*run.log.replay(), key).value() == workspace_id("konya-tahil"));
        const logged_record grant = run.log.records().at(1);
        const std::string secret = key.substr(key.rfind('_') + 1);
        RC_ASSERT(grant.content.body.find(secret) == std::string::npos);

        const std::string id = key.substr(4, key.rfind('_') - 4);
        RC_ASSERT(run.startWith(&runKeyWithdraw, {id}) == exit_status::done);
        const int copies = *rc::gen::inRange(1, 4);
        for (int i = 0; i < copies; ++i) {
            run.log.store(grant.id, decodeRecord(grant.content.kind, grant.content.body).value());
        }
        RC_ASSERT(findWorkspaceForKey(*run.log.replay(), key).error().code == error_code::key_withdrawn);
        RC_ASSERT(run.startWith(&runKeyList, {}) == exit_status::done);
        RC_ASSERT(run.out.str() == id + "  konya-tahil  withdrawn\n");
    });
}

// Guards against a key that is printed although its grant may not be in force, and one whose late grant cannot be stopped.
TEST(keys, areNotPrintedWhileTheirGrantIsInDoubt)
{
    platform_run run;
    run.storeExample();
    run.log.hasOutageAfterAppend = true;
    CHECK_TRUE(run.startWith(&runKeyGrant, {"konya-tahil"}) == exit_status::try_again);
    STRCMP_EQUAL("", run.out.str().c_str());
    run.log.hasOutage = run.log.hasOutageAfterAppend = false;
    CHECK_TRUE(run.startWith(&runKeyGrant, {"nobody"}) == exit_status::usage);
    CHECK_TRUE(run.startWith(&runKeyWithdraw, {"0123456789abcdef"}) == exit_status::usage);
    run.options.isInAdvance = true;
    CHECK_TRUE(run.startWith(&runKeyWithdraw, {"0123456789abcdef"}) == exit_status::done);
}

TEST_GROUP(drains) {};

// Guards against a drain that returns nothing, hits the wrong kind of target, or is undone by a second run of the command.
TEST(drains, areTakenAndReturned)
{
    platform_run run;
    run.storeExample();
    const drain_target target = data_centre_id("konya");
    CHECK_TRUE(run.startWith(&runDrain, {"data-centre", "konya"}) == exit_status::done);
    CHECK_TRUE(run.startWith(&runDrain, {"data-centre", "konya"}) == exit_status::done);
    CHECK_EQUAL(2U, run.log.records().size());
    CHECK_TRUE(run.log.replay()->drains.at(target).isDrained);
    CHECK_TRUE(run.startWith(&runReturn, {"data-centre", "konya"}) == exit_status::done);
    CHECK_FALSE(run.log.replay()->drains.at(target).isDrained);
    CHECK_TRUE(run.startWith(&runDrain, {"endpoint", "konya"}) == exit_status::usage);
    CHECK_TRUE(run.startWith(&runDrain, {"zone", "konya"}) == exit_status::usage);
}

// Guards against "done" before all instances have read the change, and against waiting for ever for one that does not.
TEST(drains, waitForAllInstances)
{
    platform_run run;
    run.storeExample();
    const auto status = [](std::int64_t covered) {
        return R"({"identity":{"instance":"i","data_centre":"konya"},"configuration":{"version":1,"covered":)" + std::to_string(covered)
            + "}}";
    };
    std::int64_t covered = 0;
    const fake_instance slow(run.loop, [&] { return status(covered++); });
    const fake_instance stuck(run.loop, [&] { return status(0); });
    run.options.isWaiting = true;
    run.options.instances = {slow.at};
    CHECK_TRUE(run.startWith(&runDrain, {"instance", "i"}) == exit_status::done);
    STRCMP_EQUAL("in force at 0 of 1 instances\nin force at 1 of 1 instances\n", run.err.str().c_str());
    run.options.instances = {slow.at, stuck.at};
    run.options.waitLimit = std::chrono::seconds(1);
    CHECK_TRUE(run.startWith(&runReturn, {"instance", "i"}) == exit_status::try_again);
    STRCMP_CONTAINS(("not yet known to be in force at " + stuck.at.toString()).c_str(), run.err.str().c_str());
}

TEST_GROUP(rosters) {};

// Guards against a reset without the operator's statement, and against one of a roster that has changed meanwhile.
TEST(rosters, areResetOnlyWithTheStatement)
{
    platform_run run;
    const roster_change roster = {data_centre_id("konya"), roster_epoch(1), {{instance_id("a"), incarnation_id("1")}}};
    run.log.store(record_id("r1"), roster);
    CHECK_TRUE(run.startWith(&runRosterReset, {"konya"}) == exit_status::usage);
    run.options.isOldInstancesOff = true;
    CHECK_TRUE(run.startWith(&runRosterReset, {"ankara-a"}) == exit_status::usage);
    CHECK_TRUE(run.startWith(&runRosterReset, {"konya"}) == exit_status::done);
    CHECK_TRUE(run.log.replay()->rosters.at(data_centre_id("konya")).isReset);
    run.log.beforeAppend = [&run] {
        run.log.store(record_id("r2"), roster_change {data_centre_id("konya"), roster_epoch(2), {{instance_id("b"), incarnation_id("2")}}});
    };
    CHECK_TRUE(run.startWith(&runRosterReset, {"konya"}) == exit_status::lost_race);
}
