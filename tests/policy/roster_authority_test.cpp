#include "policy/lease_margin.h"
#include "policy/roster_authority.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

const data_centre_id localDataCentre("a");
const roster_member self = {instance_id("i1"), incarnation_id("x1")};
const roster_member second = {instance_id("i2"), incarnation_id("x2")};
const roster_member third = {instance_id("i3"), incarnation_id("x3")};

struct fixture
{
    random_source random {7};
    roster_authority authority {localDataCentre, self, {}};
    instant now {1000s};

    std::vector<roster_action> handle(const roster_event &event)
    {
        return authority.handle(event, now, random);
    }

    // Replays a roster, and a read at this instant that counts for it.
    void see(int epoch, std::vector<roster_member> members, std::optional<roster_member> leaver = {})
    {
        roster_state roster;
        roster.epoch = roster_epoch(epoch);
        roster.members = std::move(members);
        roster.leaver = std::move(leaver);
        handle(roster_replayed {log_offset(epoch), roster});
        handle(roster_log_read {now, log_offset(epoch + 1)});
    }

    // Lists the members. A change that the list shows is proposed once the stability period has passed.
    std::vector<roster_action> list(const std::vector<roster_member> &members)
    {
        handle(roster_log_read {now, log_offset()});
        handle(roster_instances_listed {members, members, {}});
        now += 3500ms;
        return handle(roster_log_read {now, log_offset()});
    }

    std::optional<peer_freshness_response> ask(int epoch, bool isSameDataCentre = true)
    {
        const auto actions = handle(roster_freshness_requested {roster_epoch(epoch), isSameDataCentre});
        for (const roster_action &action : actions) {
            if (const auto *reply = std::get_if<roster_respond_freshness>(&action)) {
                return reply->answer;
            }
        }
        return std::nullopt;
    }
};

const roster_append *findAppend(const std::vector<roster_action> &actions)
{
    const auto found =
        std::find_if(actions.begin(), actions.end(), [](const auto &action) { return std::holds_alternative<roster_append>(action); });
    return found == actions.end() ? nullptr : &std::get<roster_append>(*found);
}

} // namespace

TEST_GROUP(roster_authorities) {};

// Guards against a gap in authority when the log becomes unreachable: authority by a relay of a read that is nearly a lease old ends before
// the next request.
TEST(roster_authorities, pledgeAtOnceWhenTheLogIsUnreachable)
{
    fixture f;
    f.see(1, {self, second});
    CHECK_FALSE(f.ask(1)->isPledge);
    f.handle(roster_log_unreachable());
    f.now += 100ms;
    CHECK_TRUE(f.ask(1)->isPledge);
}

// Guards against a pledge to an instance of another data centre whose roster happens to have the same epoch.
TEST(roster_authorities, pledgeNothingToOtherDataCentres)
{
    fixture f;
    f.see(1, {self, second});
    f.now += 4s;
    CHECK_FALSE(f.ask(1, false).has_value());
}

// Guards against a pledge that may be broken by a proposal of this member that is still in flight to the log.
TEST(roster_authorities, pledgeNothingWhileAProposalIsUndecided)
{
    fixture f;
    f.see(1, {self, second});
    f.now += 4s;
    CHECK_TRUE(f.ask(1).has_value() && f.ask(1)->isPledge);
    CHECK_FALSE(f.ask(2).has_value());
    f.now += 4s;
    CHECK_TRUE(findAppend(f.list({self, second, third})) != nullptr);
    f.now += 4s;
    CHECK_FALSE(f.ask(1).has_value());
    f.see(2, {self, second, third});
    f.now += 4s;
    CHECK_TRUE(f.ask(2).has_value());
}

// Guards against a proposal while a pledge of this member is valid.
TEST(roster_authorities, proposeNothingWhileAPledgeLasts)
{
    fixture f;
    f.see(1, {self, second});
    f.handle(roster_instances_listed {{self, second, third}, {self, second, third}, {}});
    f.now += 3500ms;
    CHECK_TRUE(f.ask(1)->isPledge);
    f.now += withMargin(3s) - 1ms;
    f.handle(roster_log_read {f.now, log_offset()});
    CHECK_TRUE(findAppend(f.handle(roster_tick())) == nullptr);
    f.now += 1ms;
    CHECK_TRUE(findAppend(f.handle(roster_tick())) != nullptr);
}

// Guards against authority by pledges although one is missing or expired, or the last proof is takeover_wait old.
TEST(roster_authorities, keepAuthorityByAllPledgesWithinTheLimit)
{
    fixture f;
    f.see(1, {self, second, third});
    f.now += 4s;
    const peer_freshness_response pledge = {roster_epoch(1), log_offset(1), {}, true, 3000ms};
    f.handle(roster_peer_freshness {second.instance, f.now, pledge});
    CHECK_FALSE(f.authority.authority().isValid(f.now));
    f.handle(roster_peer_freshness {third.instance, f.now, pledge});
    CHECK_TRUE(f.authority.authority().isValid(f.now + 2999ms));
    CHECK_FALSE(f.authority.authority().isValid(f.now + 3s));
    f.now += 2h;
    f.handle(roster_peer_freshness {second.instance, f.now, pledge});
    f.handle(roster_peer_freshness {third.instance, f.now, pledge});
    CHECK_FALSE(f.authority.authority().isValid(f.now));
}

// Guards against relayed authority that is measured from the response, or that starts before the records that the peer had are replayed.
TEST(roster_authorities, measureARelayFromTheReadOfThePeer)
{
    fixture f;
    f.see(1, {self, second});
    f.now += 4s;
    f.handle(roster_peer_freshness {second.instance, f.now, {roster_epoch(1), log_offset(5), 1000ms, false, {}}});
    CHECK_FALSE(f.authority.authority().isValid(f.now));
    roster_state roster;
    roster.epoch = roster_epoch(1);
    roster.members = {self, second};
    f.handle(roster_replayed {log_offset(5), roster});
    CHECK_TRUE(f.authority.authority().until == deadline(f.now + 2s));
}

// Guards against a wait after a graceful leave, and against no wait when the instance has missed an epoch.
TEST(roster_authorities, areExclusiveAtOnceAfterALeaveTheyHaveReplayed)
{
    fixture f;
    f.see(1, {self, second, third});
    f.now += 10s;
    f.see(2, {self, third}, second);
    CHECK_TRUE(f.authority.authority().isExclusive(f.now));
    f.see(4, {self}, third);
    CHECK_FALSE(f.authority.authority().isExclusive(f.now));
    CHECK_TRUE(f.authority.authority().exclusiveFrom == deadline(f.now + withMargin(3s)));
}

// Guards against a leave that is proposed while the leaving member still makes decisions or its loans are valid.
TEST(roster_authorities, leaveOnlyAfterTheirLoansHaveEnded)
{
    fixture f;
    f.see(1, {self, second});
    CHECK_TRUE(findAppend(f.handle(roster_leave())) == nullptr);
    CHECK_FALSE(f.authority.authority().isValid(f.now));
    f.now += withMargin(1s);
    const auto actions = f.handle(roster_tick());
    CHECK_TRUE(findAppend(actions) != nullptr);
    const auto change = std::get<roster_change>(findAppend(actions)->record);
    CHECK_TRUE(change.leaver == self && change.members == std::vector<roster_member> {second});
}

// Guards against a takeover before the authority of the old members has certainly ended.
TEST(roster_authorities, takeOverOnlyAfterTheWait)
{
    fixture f;
    f.see(1, {second});
    const auto intent = f.list({self});
    CHECK_TRUE(findAppend(intent) != nullptr);
    const auto takeover = std::get<roster_takeover>(findAppend(intent)->record);
    roster_state roster;
    roster.epoch = roster_epoch(1);
    roster.members = {second};
    roster.takeover = takeover;
    f.handle(roster_replayed {log_offset(2), roster});
    f.now += 2h + 71s;
    f.handle(roster_log_read {f.now, log_offset(3)});
    CHECK_TRUE(findAppend(f.handle(roster_tick())) == nullptr);
    f.now += 2s;
    const auto actions = f.handle(roster_tick());
    CHECK_TRUE(findAppend(actions) != nullptr);
    CHECK_TRUE(std::get<roster_change>(findAppend(actions)->record).members == std::vector<roster_member> {self});
}
