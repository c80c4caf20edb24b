#include "policy/rendezvous.h"
#include "routing/slot_task.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

const data_centre_id localDataCentre("dc");
const endpoint_id endpoint("e");
constexpr auto requestTimeout = 1h;

/// The slot_task of one instance, with its mailbox.
struct member_task
{
    roster_member id;
    std::shared_ptr<mailbox<slot_task_message>> box;
    std::unique_ptr<slot_task> task;
    std::vector<slot_decision> decisions;
};

/// Three members connected by an in-process mesh that can lose responses. Records the messages to the endpoint.
struct fixture
{
    event_loop loop;
    std::vector<member_task> members;
    std::vector<std::pair<roster_member, endpoint_task_message>> sentToEndpoint;
    bool isStoppedByEndpoint = false;
    bool isStoppedByReport = false;
    bool areAnswersLost = false;
    std::vector<owned_endpoints_report> reports;

    explicit fixture(slot_task_settings settings = {})
        : members(3)
    {
        for (std::size_t i = 0; i < members.size(); ++i) {
            member_task &member = members[i];
            member.id = {instance_id("i" + std::to_string(i)), incarnation_id("n" + std::to_string(i))};
            member.box = std::make_shared<mailbox<slot_task_message>>(loop, 100);
            const auto peers = sink<peer_envelope>([this, i](const peer_envelope &post) { return deliver(members[i], post); });
            const auto endpoints = sink<endpoint_envelope>([this, i](const endpoint_envelope &post) {
                sentToEndpoint.emplace_back(members[i].id, post.message);
                if (isStoppedByEndpoint) {
                    loop.stop();
                }
                return post_result::delivered;
            });
            const auto status = sink<owned_endpoints_report>([this](owned_endpoints_report &&report) {
                const bool isEmpty = report.endpoints.empty();
                reports.push_back(std::move(report));
                if (!isEmpty && isStoppedByReport) {
                    loop.stop();
                }
                return post_result::delivered;
            });
            member.task = std::make_unique<slot_task>(loop, member.box, member.id, peers, endpoints, settings, status);
            CHECK_TRUE(member.task->start().has_value());
        }
        setRoster(1, {0, 1, 2});
    }

    std::vector<roster_member> rosterOf(const std::vector<std::size_t> &indices) const
    {
        std::vector<roster_member> list;
        list.reserve(indices.size());
        for (const std::size_t number : indices) {
            list.push_back(members[number].id);
        }
        return list;
    }

    // Members outside of the roster are not told of it.
    void setRoster(std::int64_t epoch, const std::vector<std::size_t> &indices, deadline until = deadline::never())
    {
        auto view = std::make_shared<state_view>();
        view->config.endpoints[endpoint].dataCentre = localDataCentre;
        view->rosters[localDataCentre] = {roster_epoch(epoch), rosterOf(indices), std::nullopt, log_offset(epoch), std::nullopt, {}, false};
        for (const std::size_t number : indices) {
            auto authority = std::make_shared<decision_authority>(decision_authority {
                localDataCentre, members[number].id, roster_epoch(epoch), rosterOf(indices), log_offset(epoch), until, deadline()});
            send(members[number], view_changed {view});
            send(members[number], authority_changed {authority});
        }
        runPendingMessages();
    }

    post_result deliver(const member_task &from, const peer_envelope &post)
    {
        for (member_task &to : members) {
            if (to.id.instance == post.to) {
                const peer sender {from.id.instance, from.id.incarnation, localDataCentre, {}};
                const auto answer = [this, to = post.to, send = post.send](const peer_message &message) {
                    outcome<peer_message> result = message;
                    if (areAnswersLost) {
                        result = error {error_code::deadline_exceeded, "no answer"};
                    }
                    return send.reply.post({send.exchange, to, result});
                };
                return to.box->post(peer_message_received {sender, post.send.message, sink<peer_message>(answer)});
            }
        }
        return post_result::closed;
    }

    static void send(member_task &to, slot_task_message message)
    {
        CHECK_TRUE(to.box->post(std::move(message)) == post_result::delivered);
    }

    // A message can cause further messages; five rounds are more than any test here needs.
    void runPendingMessages()
    {
        for (int i = 0; i < 5; ++i) {
            loop.runReady();
        }
    }

    member_task &owner()
    {
        const auto all = rosterOf({0, 1, 2});
        return *std::find_if(members.begin(), members.end(), [&](const member_task &m) { return m.id == *rendezvousOwner("e", all); });
    }

    member_task &other(std::size_t number = 0)
    {
        std::vector<member_task *> others;
        for (member_task &member : members) {
            if (&member != &owner()) {
                others.push_back(&member);
            }
        }
        return *others.at(number);
    }

    std::vector<std::size_t> indicesWithout(const member_task &one) const
    {
        std::vector<std::size_t> indices;
        for (std::size_t i = 0; i < members.size(); ++i) {
            if (&members[i] != &one) {
                indices.push_back(i);
            }
        }
        return indices;
    }

    slot_decision ask(member_task &from, const std::string &request)
    {
        const auto reply = sink<slot_decision>([&from](const slot_decision &decision) {
            from.decisions.push_back(decision);
            return post_result::delivered;
        });
        send(from, slot_request {request_id(request), endpoint, deadline::after(boot_clock::now(), requestTimeout), reply});
        runPendingMessages();
        return from.decisions.back();
    }

    void release(member_task &from, const std::string &request, attempt_verdict verdict = attempt_verdict::succeeded)
    {
        send(from, slot_release {request_id(request), endpoint, verdict});
        runPendingMessages();
    }
};

} // namespace

TEST_GROUP(slot_tasks) {};

// Guards against members that count the slots of an endpoint separately and together exceed its limit.
TEST(slot_tasks, shareOneLimitThroughTheOwner)
{
    fixture f;
    CHECK_TRUE(f.ask(f.other(), "a").isGranted);
    CHECK_FALSE(f.ask(f.owner(), "b").isGranted);
    CHECK_FALSE(f.ask(f.other(1), "c").isGranted);
    f.release(f.other(), "a");
    f.release(f.other(), "a");
    CHECK_TRUE(f.ask(f.owner(), "b").isGranted);
    const slot_decision last = f.ask(f.other(1), "c");
    CHECK_TRUE(last.isGranted);
    CHECK_EQUAL(2, last.used.value());
    CHECK_EQUAL(2, last.limit.value());
}

// Guards against an owner that grants slots after its lease has expired, and against grants to a member at another epoch.
TEST(slot_tasks, grantNothingWithoutAuthorityOrAcrossEpochs)
{
    fixture f;
    f.setRoster(1, {0, 1, 2}, deadline());
    CHECK_FALSE(f.ask(f.owner(), "a").isGranted);
    CHECK_FALSE(f.ask(f.other(), "b").isGranted);
    f.setRoster(2, {0, 1, 2});
    const peer_message ask = peer_slot_request {roster_epoch(1), endpoint, request_id("c")};
    const peer from {f.other().id.instance, f.other().id.incarnation, localDataCentre, {}};
    std::optional<peer_message> answer;
    f.send(f.owner(), peer_message_received {from, ask, sink<peer_message>([&](const peer_message &message) {
                                                 answer = message;
                                                 return post_result::delivered;
                                             })});
    f.runPendingMessages();
    CHECK_FALSE(std::get<acknowledgement>(*answer).isAccepted);
    CHECK_TRUE(f.ask(f.other(), "c").isGranted);
}

// Guards against a slot that stays held because the owner's response was lost or the request has ended meanwhile.
TEST(slot_tasks, releaseSlotsThatNoRequestWaitsFor)
{
    fixture f;
    f.areAnswersLost = true;
    CHECK_FALSE(f.ask(f.other(), "a").isGranted);
    f.areAnswersLost = false;
    CHECK_TRUE(f.ask(f.owner(), "b").isGranted);
    f.release(f.owner(), "b", attempt_verdict::cancelled);
    const std::size_t before = f.other().decisions.size();
    const auto reply = sink<slot_decision>([](const slot_decision &) { return post_result::closed; });
    f.send(f.other(), slot_request {request_id("c"), endpoint, deadline::never(), reply});
    f.runPendingMessages();
    CHECK_EQUAL(before, f.other().decisions.size());
    CHECK_TRUE(f.ask(f.owner(), "d").isGranted);
}

// Guards against a new owner that grants slots which requests still hold from the time of the previous owner.
TEST(slot_tasks, restoreSlotsFromHoldingsAfterAnEpochChange)
{
    fixture f;
    CHECK_TRUE(f.ask(f.other(), "a").isGranted);
    f.setRoster(2, f.indicesWithout(f.owner()));
    f.setRoster(5, {0, 1, 2});
    CHECK_FALSE(f.ask(f.owner(), "b").isGranted);
    f.release(f.other(), "a");
    CHECK_TRUE(f.ask(f.owner(), "b").isGranted);
}

// Guards against an engine that keeps running requests of an instance that has left the roster.
TEST(slot_tasks, abortRequestsOfRemovedMembers)
{
    fixture f;
    CHECK_TRUE(f.ask(f.other(), "a").isGranted);
    f.setRoster(2, f.indicesWithout(f.other()));
    CHECK_EQUAL(1U, f.sentToEndpoint.size());
    STRCMP_EQUAL("a", std::get<abort_request>(f.sentToEndpoint[0].second).request.value().c_str());
    CHECK_TRUE(f.ask(f.owner(), "b").isGranted);
}

// Guards against load queries from members that do not own the endpoint, and against a slow-start window that stays open when the endpoint
// restarts.
TEST(slot_tasks, queryLoadOnlyAsTheOwner)
{
    slot_task_settings settings;
    settings.loadInterval = 1ms;
    fixture f(settings);
    f.isStoppedByEndpoint = true;
    f.loop.run();
    f.loop.run();
    CHECK_EQUAL(2U, f.sentToEndpoint.size());
    CHECK_TRUE(std::all_of(f.sentToEndpoint.begin(), f.sentToEndpoint.end(), [&](const auto &sent) {
        return sent.first == f.owner().id && std::holds_alternative<load_query>(sent.second);
    }));
    const auto report = [&](const char *incarnation) {
        f.send(f.owner(), load_report {endpoint, incarnation_id(incarnation), slot_count(0), slot_count(20)});
    };
    report("x");
    CHECK_TRUE(f.ask(f.owner(), "a").isGranted);
    f.release(f.owner(), "a");
    report("x");
    CHECK_EQUAL(2, f.ask(f.owner(), "b").limit.value());
    report("y");
    CHECK_EQUAL(1, f.ask(f.owner(), "c").limit.value());
}

// Guards against reports of an outdated endpoint state, or from a member that does not own the endpoint.
TEST(slot_tasks, reportOwnedEndpoints)
{
    slot_task_settings settings;
    settings.reportInterval = 1ms;
    fixture f(settings);
    f.isStoppedByReport = true;
    const auto next = [&] {
        f.loop.run();
        return f.reports.back().endpoints.at(0);
    };
    f.send(f.owner(), load_report {endpoint, incarnation_id("x"), slot_count(0), slot_count(2)});
    CHECK_TRUE(f.ask(f.other(), "a").isGranted);
    CHECK_TRUE(next() == owned_endpoint({endpoint, owned_endpoint_state::warming, slot_count(1), slot_count(1)}));
    f.release(f.other(), "a");
    CHECK_TRUE(next() == owned_endpoint({endpoint, owned_endpoint_state::healthy, slot_count(0), slot_count(2)}));
    f.send(f.owner(), endpoint_unreachable {endpoint, {}});
    CHECK_TRUE(next().state == owned_endpoint_state::unreachable);
}
