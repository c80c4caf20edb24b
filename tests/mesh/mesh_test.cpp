#include <thread>

#include <event2/listener.h>
#include <rapidcheck.h>

#include "mesh/native_address.h"
#include "mesh_nodes.h"
#include "support/property.h"

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

const peer_loan_request loanRequest = {data_centre_id("konya"), roster_epoch(3), workspace_id("w"), token_count(50)};
const peer_slot_request slotRequest = {roster_epoch(3), endpoint_id("e"), request_id("r")};

} // namespace

TEST_GROUP(mesh) {};

// Guards against responses that are matched to the wrong exchange when they arrive in another order than the requests.
TEST(mesh, matchesResponsesOutOfOrder)
{
    mesh_pair pair;
    pair.a.send(pair.b, 1, loanRequest);
    pair.a.send(pair.b, 2, slotRequest);
    CHECK_TRUE(pair.loop.runUntil([&] { return pair.b.received.size() == 2; }));
    CHECK_TRUE(pair.b.received[0].from.instance == instance_id("a"));
    CHECK_TRUE(pair.b.received[0].from.incarnation == incarnation_id("a-1"));
    CHECK_TRUE(pair.b.received[1].reply.post(peer_slot_response {roster_epoch(3), true, slot_count(4), slot_count(5)})
               == post_result::delivered);
    CHECK_TRUE(pair.b.received[0].reply.post(peer_loan_response {roster_epoch(3), token_count(40)}) == post_result::delivered);
    CHECK_TRUE(pair.loop.runUntil([&] { return pair.a.answers.size() == 2; }));
    CHECK_EQUAL(2U, pair.a.answers[0].exchange);
    CHECK_TRUE(std::get<peer_slot_response>(pair.a.answers[0].answer.value()).limit == slot_count(5));
    CHECK_EQUAL(1U, pair.a.answers[1].exchange);
    CHECK_TRUE(std::get<peer_loan_response>(pair.a.answers[1].answer.value()).amount == token_count(40));
}

// Guards against a requester that waits for ever when the peer's task never responds, and against a late response that ends the exchange a
// second time.
TEST(mesh, endsAnExchangeOnceAtItsDeadline)
{
    mesh_pair pair;
    pair.a.send(pair.b, 1, loanRequest, 100ms);
    CHECK_TRUE(pair.loop.runUntil([&] { return pair.a.answers.size() == 1; }));
    CHECK_TRUE(pair.a.onlyErrorCode() == error_code::deadline_exceeded);
    CHECK_TRUE(pair.b.received.at(0).reply.post(acknowledgement {}) == post_result::delivered);
    pair.a.send(pair.b, 2, loanRequest);
    CHECK_TRUE(pair.loop.runUntil([&] { return pair.b.received.size() == 2; }));
    CHECK_EQUAL(1U, pair.a.answers.size());
}

// Guards against a message that is lost without a response when the receiving task's mailbox is full or closed.
TEST(mesh, refusesWhenTheReceivingMailboxIsFullOrClosed)
{
    mesh_pair pair;
    pair.b.mailboxState = post_result::full;
    pair.a.send(pair.b, 1, loanRequest);
    CHECK_TRUE(pair.loop.runUntil([&] { return pair.a.answers.size() == 1; }));
    CHECK_TRUE(pair.a.onlyErrorCode() == error_code::overloaded);
    pair.b.mailboxState = post_result::closed;
    pair.a.send(pair.b, 2, loanRequest);
    CHECK_TRUE(pair.loop.runUntil([&] { return pair.a.answers.size() == 2; }));
    CHECK_TRUE(pair.a.answers[1].answer.error().code == error_code::unavailable);
}

// Guards against exchanges that never end when more messages wait for a peer than the mailbox of its task holds.
TEST(mesh, refusesWhenThePeersMailboxIsFull)
{
    test_event_loop loop;
    mesh_settings settings = shortTimeoutSettings("a");
    settings.peerMailboxCapacity = 1;
    mesh_node a(loop, settings);
    mesh_node b(loop, shortTimeoutSettings("b"));
    a.setInstanceList({b.entry()});
    for (std::uint64_t number = 1; number <= 10; ++number) {
        a.send(b, number, loanRequest);
    }
    CHECK_TRUE(loop.runUntil([&] { return a.answers.size() == 10; }));
    CHECK_TRUE(a.answers[0].answer.error().code == error_code::overloaded);
}

// Guards against treating a connection as live after the peer has stopped responding, and against its exchange ending twice or never.
TEST(mesh, detectsAPeerThatStopsResponding)
{
    test_event_loop loop;
    test_event_loop otherLoop;
    mesh_node a(loop, shortTimeoutSettings("a"));
    mesh_node b(otherLoop, shortTimeoutSettings("b"));
    std::thread other([&] { otherLoop.run(); });
    a.setInstanceList({b.entry()});
    const bool wasUp = loop.runUntil([&] { return a.isUp(); });
    otherLoop.stop();
    other.join();
    CHECK_TRUE(wasUp);
    a.send(b, 1, loanRequest);
    CHECK_TRUE(loop.runUntil([&] { return !a.isUp(); }));
    CHECK_TRUE(a.onlyErrorCode() == error_code::connection_lost);
}

// Guards against a connection attempt that hangs for ever when the server accepts the connection and never responds.
TEST(mesh, reconnectsWhenTheHelloIsNotAnswered)
{
    test_event_loop loop;
    mesh_node a(loop, shortTimeoutSettings("a"));
    struct silent_server
    {
        test_event_loop &loop;
        int accepted = 0;
    } silent {loop};
    const native_address any({"127.0.0.1", 0});
    evconnlistener *listener = evconnlistener_new_bind(
        loop.base(),
        [](evconnlistener *, int, sockaddr *, int, void *self) {
            auto *server = static_cast<silent_server *>(self);
            ++server->accepted;
            server->loop.checkCondition();
        },
        &silent,
        LEV_OPT_CLOSE_ON_FREE,
        8,
        any.data(),
        any.size());
    listed_instance entry = a.entry();
    entry.instance = instance_id("b");
    entry.mesh = native_address::ofSocket(evconnlistener_get_fd(listener));
    a.setInstanceList({entry});
    CHECK_TRUE(loop.runUntil([&] { return silent.accepted == 3; }));
    CHECK_TRUE(a.statuses.empty());
    evconnlistener_free(listener);
}

// Guards against a peer that is not reconnected after its listener was down, and against an exchange that gets no response when the
// connection closes.
TEST(mesh, reconnectsWhenTheListenerRestarts)
{
    mesh_pair pair;
    pair.a.send(pair.b, 1, loanRequest);
    CHECK_TRUE(pair.loop.runUntil([&] { return pair.b.received.size() == 1; }));
    pair.b.branch.reset();
    CHECK_TRUE(pair.loop.runUntil([&] { return !pair.a.isUp(); }));
    CHECK_TRUE(pair.a.onlyErrorCode() == error_code::connection_lost);
    pair.a.send(pair.b, 2, loanRequest);
    CHECK_TRUE(pair.loop.runUntil([&] { return pair.a.answers.size() == 2; }));
    CHECK_TRUE(pair.a.answers[1].answer.error().code == error_code::connection_refused);
    pair.b.settings.listenAddress = pair.b.listening;
    pair.b.open();
    CHECK_TRUE(pair.loop.runUntil([&] { return pair.a.isUp(); }));
    pair.a.send(pair.b, 3, loanRequest);
    CHECK_TRUE(pair.loop.runUntil([&] { return pair.b.received.size() == 2; }));
    CHECK_EQUAL(2U, pair.a.answers.size());
}

// Guards against refusing a restarted instance whose new incarnation is not in the instance list yet.
TEST(mesh, acceptsAnIncarnationThatIsNotInTheList)
{
    test_event_loop loop;
    mesh_node a(loop, shortTimeoutSettings("a"));
    mesh_node b(loop, shortTimeoutSettings("b"));
    listed_instance old = a.entry();
    old.incarnation = incarnation_id("a-0");
    b.setInstanceList({old});
    a.setInstanceList({b.entry()});
    CHECK_TRUE(loop.runUntil([&] { return a.isUp() && b.isUp(); }));
    CHECK_TRUE(b.statuses.back().who.incarnation == incarnation_id("a-1"));
    a.send(b, 1, loanRequest);
    CHECK_TRUE(loop.runUntil([&] { return b.received.size() == 1; }));
    CHECK_TRUE(b.received[0].from.incarnation == incarnation_id("a-1"));
}

// Guards against messages to an instance that is no longer in the list, and against a connection that outlives its list entry.
TEST(mesh, followsTheInstanceList)
{
    mesh_pair pair;
    listed_instance renewed = pair.b.entry();
    renewed.incarnation = incarnation_id("b-2");
    pair.a.setInstanceList({renewed});
    CHECK_TRUE(pair.loop.runUntil([&] { return pair.a.statuses.size() == 3 && pair.a.isUp(); }));
    pair.a.setInstanceList({pair.a.entry()});
    CHECK_TRUE(pair.loop.runUntil([&] { return !pair.a.isUp(); }));
    pair.a.send(pair.b, 1, loanRequest);
    CHECK_TRUE(pair.loop.runUntil([&] { return pair.a.answers.size() == 1; }));
    CHECK_TRUE(pair.a.onlyErrorCode() == error_code::connection_refused);
}

// Guards against a shutdown that aborts exchanges before the open responses are sent.
TEST(mesh, finishesOpenExchangesAtShutdown)
{
    mesh_pair pair;
    bool isFinished = false;
    pair.b.branch->setHandlers([](const error &) {},
                               [&] {
                                   isFinished = true;
                                   pair.loop.checkCondition();
                               });
    pair.a.send(pair.b, 1, loanRequest);
    CHECK_TRUE(pair.loop.runUntil([&] { return pair.b.received.size() == 1; }));
    pair.b.branch->beginShutdown();
    pair.loop.runReady();
    CHECK_TRUE(pair.b.received[0].reply.post(acknowledgement {}) == post_result::delivered);
    CHECK_TRUE(pair.loop.runUntil([&] { return isFinished && pair.a.answers.size() == 1; }));
    CHECK_TRUE(pair.a.answers[0].answer.has_value());
}

TEST_GROUP(peer_sets) {};

// Guards against connections of an instance to itself, and against choosing the wrong one of two entries while the list is outdated.
TEST(peer_sets, skipTheInstanceItselfAndPreferLiveEntries)
{
    const auto entry = [](const char *name, const char *incarnation, instance_state state) {
        return listed_instance {instance_id(name), incarnation_id(incarnation), {}, {}, state};
    };
    peer_set peers(instance_id("a"));
    const peer_changes first = peers.update(
        {{entry("a", "1", instance_state::live), entry("b", "2", instance_state::live), entry("b", "1", instance_state::leaving)}});
    CHECK_EQUAL(1U, first.joined.size());
    CHECK_TRUE(first.joined[0].incarnation == incarnation_id("2"));
    const peer_changes second = peers.update({{entry("b", "3", instance_state::live)}});
    CHECK_EQUAL(1U, second.left.size());
    CHECK_EQUAL(1U, second.joined.size());
    CHECK_TRUE(peers.update({{entry("b", "3", instance_state::leaving)}}).joined.empty());
}

TEST_GROUP(reconnect_backoffs) {};

// Guards against waits without jitter and waits that become shorter with each attempt.
TEST(reconnect_backoffs, stayWithinTheirLimits)
{
    CHECK_PROPERTY("half the ceiling <= wait <= ceiling", [](std::uint64_t seed) {
        random_source random(seed);
        reconnect_backoff backoff({100ms, 10000ms});
        boot_clock::duration ceiling = 100ms;
        for (int attempt = 0; attempt < 12; ++attempt) {
            const auto wait = backoff.next(random);
            RC_ASSERT(wait >= ceiling / 2 && wait <= ceiling);
            ceiling = std::min<boot_clock::duration>(ceiling * 2, 10000ms);
        }
        backoff.reset();
        RC_ASSERT(backoff.next(random) <= 100ms);
    });
}
