#include "routing/quota_task.h"
#include "routing/roster_task.h"

#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

const data_centre_id localDataCentre("a");
const roster_member self = {instance_id("i1"), incarnation_id("x1")};
const roster_member other = {instance_id("i2"), incarnation_id("x2")};
const workspace_id workspace("w");

/// A sink that appends each message to the list.
template<typename Message>
sink<Message> recordInto(std::vector<Message> &messages)
{
    return sink<Message>([&messages](Message &&message) {
        messages.push_back(std::move(message));
        return post_result::delivered;
    });
}

state_view_ptr viewWith(int epoch, const std::vector<roster_member> &members)
{
    auto view = std::make_shared<state_view>();
    view->covered = log_offset(epoch);
    view->config.version = configuration_version(1);
    view->config.dataCentres[localDataCentre] = {};
    view->config.workspaces[workspace] = {token_rate(100), token_count(1000), {}};
    view->rosters[localDataCentre].epoch = roster_epoch(epoch);
    view->rosters[localDataCentre].members = members;
    return view;
}

/// A roster_task and a quota_task on one event loop, with a clock that the test controls.
struct fixture
{
    event_loop loop;
    instant now {1000s};
    std::vector<peer_envelope> sentToPeers;
    std::vector<authority_changed> authorities;
    std::vector<charge_response> answers;
    std::vector<peer_message> replies;
    std::shared_ptr<mailbox<log_task_message>> log = std::make_shared<mailbox<log_task_message>>(loop, 16);
    std::vector<append_request> appends;
    std::shared_ptr<mailbox<roster_task_message>> rosterBox = std::make_shared<mailbox<roster_task_message>>(loop, 16);
    std::shared_ptr<mailbox<quota_task_message>> quotaBox = std::make_shared<mailbox<quota_task_message>>(loop, 16);
    roster_task roster {loop,
                        rosterBox,
                        localDataCentre,
                        self,
                        {},
                        {address(log), recordInto(sentToPeers), {recordInto(authorities)}},
                        random_source(7),
                        [this] {
                            return now;
                        }};
    quota_task quota {
        loop, quotaBox, {localDataCentre, self}, std::make_unique<moving_shares>(), recordInto(sentToPeers), random_source(7), [this] {
            return now;
        }};

    fixture()
    {
        log->attach([this](log_task_message &&message) { appends.push_back(std::get<append_request>(message)); });
        loop.runReady();
    }

    template<typename Box, typename Message>
    void sendAndRun(const Box &box, Message message)
    {
        CHECK_TRUE(box->post(std::move(message)) == post_result::delivered);
        loop.runReady();
        loop.runReady();
    }

    void sendAuthority(const std::vector<roster_member> &members)
    {
        sendAndRun(quotaBox, view_changed {viewWith(1, members)});
        const decision_authority authority = {
            localDataCentre, self, roster_epoch(1), members, {}, deadline::after(now, 1h), deadline(instant(0s))};
        sendAndRun(quotaBox, authority_changed {std::make_shared<decision_authority>(authority)});
    }

    void charge(const char *request, std::int64_t amount, boot_clock::duration timeout = 1s)
    {
        sendAndRun(
            quotaBox,
            charge_request {request_id(request), workspace, token_count(amount), deadline::after(now, timeout), recordInto(answers)});
    }
};

} // namespace

TEST_GROUP(roster_tasks) {};

// Guards against authority that rests on a read of the log whose records have not been replayed yet.
TEST(roster_tasks, gainAuthorityOnceReplayCoversTheRead)
{
    fixture f;
    f.sendAndRun(f.rosterBox, log_batch {log_offset(), log_offset(2), {}, f.now});
    CHECK_TRUE(f.authorities.empty() || !f.authorities.back().authority->isValid(f.now));
    f.sendAndRun(f.rosterBox, view_changed {viewWith(1, {self, other})});
    CHECK_TRUE(f.authorities.back().authority->until == deadline(f.now + 3s));
}

// Guards against losing authority in a log outage because peers are not asked, or because a response is matched to the wrong request.
TEST(roster_tasks, keepAuthorityByPledges)
{
    fixture f;
    f.sendAndRun(f.rosterBox, view_changed {viewWith(1, {self, other})});
    f.sendAndRun(f.rosterBox, log_batch {log_offset(), log_offset(2), {}, f.now});
    f.sentToPeers.clear();
    f.now += 2900ms;
    f.sendAndRun(f.rosterBox, log_unreachable {{error_code::unavailable, "outage"}});
    CHECK_EQUAL(1U, f.sentToPeers.size());
    CHECK_TRUE(f.sentToPeers[0].to == other.instance);
    const peer_freshness_response pledge = {roster_epoch(1), log_offset(1), {}, true, 3000ms};
    f.sendAndRun(f.rosterBox, peer_response {f.sentToPeers[0].send.exchange + 1, other.instance, peer_message(pledge)});
    CHECK_FALSE(f.authorities.back().authority->isValid(f.now + 2s));
    f.sendAndRun(f.rosterBox, peer_response {f.sentToPeers[0].send.exchange, other.instance, peer_message(pledge)});
    CHECK_TRUE(f.authorities.back().authority->isValid(f.now + 2s));
}

// Guards against a member that does not answer freshness requests, and against a roster record that is not appended.
TEST(roster_tasks, answerFreshnessRequestsAndProposeTheFirstRoster)
{
    fixture f;
    f.sendAndRun(f.rosterBox, view_changed {viewWith(0, {})});
    f.sendAndRun(f.rosterBox, log_batch {log_offset(), log_offset(1), {}, f.now});
    f.now += 250ms;
    f.sendAndRun(f.rosterBox, peer_message_received {{}, peer_freshness_request {roster_epoch()}, recordInto(f.replies)});
    CHECK_TRUE(std::get<peer_freshness_response>(f.replies.at(0)).age == 250ms);
    f.sendAndRun(f.rosterBox, instance_list {{{self.instance, self.incarnation, localDataCentre, {}, instance_state::live}}});
    CHECK_EQUAL(1U, f.appends.size());
    CHECK_TRUE(std::get<roster_change>(f.appends[0].record).members == std::vector<roster_member> {self});
}

TEST_GROUP(quota_tasks) {};

// Guards against a charge that is neither granted nor refused, and against tokens that are not refunded when a charge is settled.
TEST(quota_tasks, grantRefuseAndSettle)
{
    fixture f;
    f.sendAuthority({self});
    f.now += 10s;
    f.charge("r1", 1000);
    f.charge("r2", 10);
    f.sendAndRun(f.quotaBox, charge_settlement {request_id("r1"), token_count(400)});
    f.charge("r3", 600);
    f.charge("r4", 2000);
    CHECK_EQUAL(4U, f.answers.size());
    CHECK_TRUE(f.answers[0].isGranted && !f.answers[1].isGranted && f.answers[2].isGranted && !f.answers[3].isGranted);
    CHECK_TRUE(f.answers[1].retryAfter == 101ms);
    CHECK_FALSE(f.answers[3].retryAfter.has_value());
}

// Guards against a member that refuses a charge although the home member would lend tokens, and against refunds that do not reach the
// lender.
TEST(quota_tasks, borrowFromTheHomeAndRefundIt)
{
    fixture f;
    f.sendAndRun(f.quotaBox, view_changed {viewWith(1, {other})});
    f.charge("r1", 100);
    CHECK_TRUE(f.answers.empty());
    CHECK_EQUAL(1U, f.sentToPeers.size());
    const auto request = std::get<peer_loan_request>(f.sentToPeers[0].send.message);
    CHECK_TRUE(f.sentToPeers[0].to == other.instance && request.amount >= token_count(100));
    f.sendAndRun(f.quotaBox,
                 peer_response {f.sentToPeers[0].send.exchange,
                                other.instance,
                                peer_message(peer_loan_response {roster_epoch(1), request.amount, 5, 1000ms})});
    CHECK_TRUE(f.answers.at(0).isGranted);
    f.sendAndRun(f.quotaBox, charge_settlement {request_id("r1"), token_count(30)});
    const auto refund = std::get<loan_refund>(f.sentToPeers.at(1).send.message);
    CHECK_TRUE(refund.loan == 5 && refund.amount == token_count(70));
}

// Guards against a charge that waits for ever because the lender cannot be reached or does not answer.
TEST(quota_tasks, refuseWhenNoMemberLends)
{
    fixture f;
    f.sendAndRun(f.quotaBox, view_changed {viewWith(1, {other})});
    f.charge("r1", 100);
    f.sendAndRun(f.quotaBox, peer_response {f.sentToPeers[0].send.exchange, other.instance, failure(error_code::connection_lost, "gone")});
    CHECK_EQUAL(1U, f.answers.size());
    f.charge("r2", 100);
    CHECK_EQUAL(1U, f.answers.size());
    f.quota.beginShutdown();
    CHECK_EQUAL(2U, f.answers.size());
    CHECK_FALSE(f.answers[1].isGranted);
}
