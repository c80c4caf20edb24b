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

const peer_loan_request someLoan = {data_centre_id("konya"), roster_epoch(3), workspace_id("w"), token_count(50)};
const peer_slot_request someSlot = {roster_epoch(3), endpoint_id("e"), request_id("r")};

} // namespace

TEST_GROUP(mesh) {};

// Guards against answers that reach the wrong exchange when they come in another order than the asks.
TEST(mesh, matchesCrossedAnswers)
{
    mesh_pair pair;
    pair.a.send(pair.b, 1, someLoan);
    pair.a.send(pair.b, 2, someSlot);
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

// Guards against an asker that waits for ever because the peer's task never answers, and against the late answer counting twice.
TEST(mesh, endsAnExchangeOnceAtItsDeadline)
{
    mesh_pair pair;
    pair.a.send(pair.b, 1, someLoan, 100ms);
    CHECK_TRUE(pair.loop.runUntil([&] { return pair.a.answers.size() == 1; }));
    CHECK_TRUE(pair.a.onlyFailure() == error_code::deadline_exceeded);
    CHECK_TRUE(pair.b.received.at(0).reply.post(acknowledgement {}) == post_result::delivered);
    pair.a.send(pair.b, 2, someLoan);
    CHECK_TRUE(pair.loop.runUntil([&] { return pair.b.received.size() == 2; }));
    CHECK_EQUAL(1U, pair.a.answers.size());
}

// Guards against a message that is lost without an answer when the task concerned is too far behind or gone.
TEST(mesh, refusesWhatTheTaskConcernedDoesNotTake)
{
    mesh_pair pair;
    pair.b.mailboxState = post_result::full;
    pair.a.send(pair.b, 1, someLoan);
    CHECK_TRUE(pair.loop.runUntil([&] { return pair.a.answers.size() == 1; }));
    CHECK_TRUE(pair.a.onlyFailure() == error_code::overloaded);
    pair.b.mailboxState = post_result::closed;
    pair.a.send(pair.b, 2, someLoan);
    CHECK_TRUE(pair.loop.runUntil([&] { return pair.a.answers.size() == 2; }));
    CHECK_TRUE(pair.a.answers[1].answer.error().code == error_code::unavailable);
}

// Guards against an exchange without an end when more messages wait for a peer than its mailbox holds.
TEST(mesh, refusesWhenThePeersMailboxIsFull)
{
    guarded_loop loop;
    mesh_settings settings = fastSettings("a");
    settings.peerMailboxCapacity = 1;
    mesh_node a(loop, settings);
    mesh_node b(loop, fastSettings("b"));
    a.learn({b.entry()});
    for (std::uint64_t number = 1; number <= 10; ++number) {
        a.send(b, number, someLoan);
    }
    CHECK_TRUE(loop.runUntil([&] { return a.answers.size() == 10; }));
    CHECK_TRUE(a.answers[0].answer.error().code == error_code::overloaded);
}

// Guards against a silent connection that is taken for a live one, and against the exchange on it ending twice or never.
TEST(mesh, findsAConnectionThatGoesSilent)
{
    guarded_loop loop;
    guarded_loop otherLoop;
    mesh_node a(loop, fastSettings("a"));
    mesh_node b(otherLoop, fastSettings("b"));
    std::thread other([&] { otherLoop.run(); });
    a.learn({b.entry()});
    const bool wasUp = loop.runUntil([&] { return a.isUp(); });
    otherLoop.stop();
    other.join();
    CHECK_TRUE(wasUp);
    a.send(b, 1, someLoan);
    CHECK_TRUE(loop.runUntil([&] { return !a.isUp(); }));
    CHECK_TRUE(a.onlyFailure() == error_code::connection_lost);
}

// Guards against an attempt to connect that hangs for ever at a server that accepts and never answers.
TEST(mesh, triesAgainWhenTheHelloIsNotAnswered)
{
    guarded_loop loop;
    mesh_node a(loop, fastSettings("a"));
    struct silent_server
    {
        guarded_loop &loop;
        int accepted = 0;
    } silent {loop};
    const native_address any({"127.0.0.1", 0});
    evconnlistener *listener = evconnlistener_new_bind(
        loop.base(),
        [](evconnlistener *, int, sockaddr *, int, void *self) {
            auto *server = static_cast<silent_server *>(self);
            ++server->accepted;
            server->loop.progress();
        },
        &silent,
        LEV_OPT_CLOSE_ON_FREE,
        8,
        any.data(),
        any.size());
    listed_instance entry = a.entry();
    entry.instance = instance_id("b");
    entry.mesh = native_address::ofSocket(evconnlistener_get_fd(listener));
    a.learn({entry});
    CHECK_TRUE(loop.runUntil([&] { return silent.accepted == 3; }));
    CHECK_TRUE(a.statuses.empty());
    evconnlistener_free(listener);
}

// Guards against a peer that is lost for good once its listener was gone, and against an exchange that dies with the connection unanswered.
TEST(mesh, connectsAgainWhenTheListenerIsBack)
{
    mesh_pair pair;
    pair.a.send(pair.b, 1, someLoan);
    CHECK_TRUE(pair.loop.runUntil([&] { return pair.b.received.size() == 1; }));
    pair.b.branch.reset();
    CHECK_TRUE(pair.loop.runUntil([&] { return !pair.a.isUp(); }));
    CHECK_TRUE(pair.a.onlyFailure() == error_code::connection_lost);
    pair.a.send(pair.b, 2, someLoan);
    CHECK_TRUE(pair.loop.runUntil([&] { return pair.a.answers.size() == 2; }));
    CHECK_TRUE(pair.a.answers[1].answer.error().code == error_code::connection_refused);
    pair.b.settings.listenAddress = pair.b.listening;
    pair.b.open();
    CHECK_TRUE(pair.loop.runUntil([&] { return pair.a.isUp(); }));
    pair.a.send(pair.b, 3, someLoan);
    CHECK_TRUE(pair.loop.runUntil([&] { return pair.b.received.size() == 2; }));
    CHECK_EQUAL(2U, pair.a.answers.size());
}

// Guards against an instance that is refused because the instance list is behind its restart.
TEST(mesh, answersAnIncarnationThatTheListDoesNotKnow)
{
    guarded_loop loop;
    mesh_node a(loop, fastSettings("a"));
    mesh_node b(loop, fastSettings("b"));
    listed_instance old = a.entry();
    old.incarnation = incarnation_id("a-0");
    b.learn({old});
    a.learn({b.entry()});
    CHECK_TRUE(loop.runUntil([&] { return a.isUp() && b.isUp(); }));
    CHECK_TRUE(b.statuses.back().who.incarnation == incarnation_id("a-1"));
    a.send(b, 1, someLoan);
    CHECK_TRUE(loop.runUntil([&] { return b.received.size() == 1; }));
    CHECK_TRUE(b.received[0].from.incarnation == incarnation_id("a-1"));
}

// Guards against messages that go to an instance that has left, and against a connection that outlives its place in the list.
TEST(mesh, followsTheInstanceList)
{
    mesh_pair pair;
    listed_instance renewed = pair.b.entry();
    renewed.incarnation = incarnation_id("b-2");
    pair.a.learn({renewed});
    CHECK_TRUE(pair.loop.runUntil([&] { return pair.a.statuses.size() == 3 && pair.a.isUp(); }));
    pair.a.learn({pair.a.entry()});
    CHECK_TRUE(pair.loop.runUntil([&] { return !pair.a.isUp(); }));
    pair.a.send(pair.b, 1, someLoan);
    CHECK_TRUE(pair.loop.runUntil([&] { return pair.a.answers.size() == 1; }));
    CHECK_TRUE(pair.a.onlyFailure() == error_code::connection_refused);
}

// Guards against a shutdown that cuts exchanges which the peer is about to answer.
TEST(mesh, finishesOpenExchangesAtShutdown)
{
    mesh_pair pair;
    bool isFinished = false;
    pair.b.branch->setHandlers([](const error &) {},
                               [&] {
                                   isFinished = true;
                                   pair.loop.progress();
                               });
    pair.a.send(pair.b, 1, someLoan);
    CHECK_TRUE(pair.loop.runUntil([&] { return pair.b.received.size() == 1; }));
    pair.b.branch->beginShutdown();
    pair.loop.runReady();
    CHECK_TRUE(pair.b.received[0].reply.post(acknowledgement {}) == post_result::delivered);
    CHECK_TRUE(pair.loop.runUntil([&] { return isFinished && pair.a.answers.size() == 1; }));
    CHECK_TRUE(pair.a.answers[0].answer.has_value());
}

TEST_GROUP(peer_sets) {};

// Guards against connections to the instance itself, and against the wrong one of two entries while the list lags.
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

// Guards against attempts that come in step or faster and faster.
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
