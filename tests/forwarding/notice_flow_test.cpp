#include "forwarding/plan_fixture.h"

#include <map>

#include "support/property.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

constexpr attempt_outcome ends[] = {attempt_outcome::whole,
                                    attempt_outcome::rejected,
                                    attempt_outcome::misdirected,
                                    attempt_outcome::not_sent,
                                    attempt_outcome::lost,
                                    attempt_outcome::withheld};

// Attempts without a response have status 0. A status would tell that the endpoint has returned from its pause.
int statusOf(attempt_outcome end)
{
    switch (end) {
    case attempt_outcome::whole:
        return 200;
    case attempt_outcome::rejected:
        return 503;
    case attempt_outcome::misdirected:
        return 421;
    case attempt_outcome::not_sent:
    case attempt_outcome::lost:
    case attempt_outcome::withheld:
        break;
    }
    return 0;
}

/// A request among endpoints that leave, pause, restart and respond at random.
struct restless_endpoints
{
    plan_fixture fixture;
    forward_flow flow;
    std::map<attempt_number, start_attempt> open;
    int runs = 0;
    int finalResponses = 0;
    bool wasRefusedAsNotExecuted = false;
    bool wasSentToUnavailable = false;

    explicit restless_endpoints(const std::string &route)
        : flow(fixture.flow(route))
    {
    }

    // The actions that follow from one event, with the endpoints' availability before it.
    void take(const flow_actions &actions, const std::map<endpoint_id, bool> &before)
    {
        for (const flow_action &action : actions) {
            if (const auto *sent = std::get_if<start_attempt>(&action)) {
                open[sent->number] = *sent;
                wasSentToUnavailable = wasSentToUnavailable || !before.at(sent->endpoint);
            } else if (const auto *withdrawn = std::get_if<cancel_flow_attempt>(&action)) {
                open.erase(withdrawn->number);
            } else if (const auto *refusal = std::get_if<refuse_request>(&action)) {
                ++finalResponses;
                wasRefusedAsNotExecuted = refusal->cause != refusal_cause::timed_out && refusal->cause != refusal_cause::endpoint_failed;
            } else if (std::holds_alternative<relay_full_response>(action) || std::holds_alternative<relay_response_end>(action)
                       || std::holds_alternative<abort_response>(action)) {
                ++finalResponses;
            }
        }
    }

    std::map<endpoint_id, bool> availability() const
    {
        std::map<endpoint_id, bool> all;
        fixture.endpoints.forEach(
            [&](const endpoint_state &one) { all[one.entry.id] = fixture.endpoints.mayReceive(one.entry.id, fixture.now); });
        return all;
    }

    void disturb(std::uint16_t choice)
    {
        static constexpr const char *names[] = {"p1", "p2", "p3", "r1", "r2", "d1", "d2", "d3"};
        const endpoint_id id(names[choice / 8 % 8]);
        const endpoint_state *known = fixture.endpoints.find(id);
        endpoint_notice notice;
        notice.isLeaving = choice % 3 == 0;
        if (choice % 3 == 1) {
            notice.pausedUntil = deadline::after(fixture.now, std::chrono::milliseconds(choice % 900));
        }
        fixture.endpoints.noteNotice({id, known->entry.startTime}, notice, fixture.now, fixture.random);
        if (choice % 3 == 2) {
            endpoint_entry restarted = known->entry;
            restarted.startTime += endpoint_start_time(1);
            fixture.endpoints.put(restarted, nullptr, fixture.now);
        }
    }

    void step(std::uint16_t choice)
    {
        fixture.now += std::chrono::milliseconds(choice % 200);
        if (choice % 4 == 0) {
            disturb(choice);
            return;
        }
        std::map<endpoint_id, bool> before = availability();
        if (open.empty() || choice % 8 == 7) {
            take(flow.onDeadline(fixture.context(), fixture.now), before);
            return;
        }
        const start_attempt ended = open.begin()->second;
        const attempt_outcome end = ends[choice / 8 % 6];
        // The success of the one request after a pause ends the endpoint's return, so that the same event may send to it again.
        const bool isProbing = fixture.endpoints.availability(ended.endpoint, fixture.now).condition == availability_condition::probing;
        before[ended.endpoint] = before[ended.endpoint] || (isProbing && end == attempt_outcome::whole);
        const bool isExecuted = executesRequest(ended.attemptKind) && (end == attempt_outcome::whole || end == attempt_outcome::lost);
        runs += isExecuted ? 1 : 0;
        open.erase(ended.number);
        const bool hasHandle = !executesRequest(ended.attemptKind) && end == attempt_outcome::whole;
        const std::optional<std::string> handle = hasHandle ? std::optional<std::string>("handle") : std::nullopt;
        const response_summary answer = {statusOf(end), true};
        take(flow.onEnd(ended.number, end, answer, handle, fixture.context(), fixture.now), before);
    }
};

} // namespace

TEST_GROUP(notice_flow) {};

// Whatever the endpoints state and however attempts end: nothing goes to an endpoint that wants nothing, a request is answered once, and a
// refusal that promises that nothing ran is true.
TEST(notice_flow, keepsAwayFromEndpointsAndAnswersTruthfully)
{
    for (const std::string route : {"safe", "unsafe", "stream", "resumed"}) {
        CHECK_PROPERTY("restless endpoints", [route](const std::vector<std::uint16_t> &choices) {
            restless_endpoints site(route);
            site.take(site.flow.begin(site.fixture.context(), site.fixture.now), site.availability());
            for (const std::uint16_t choice : choices) {
                site.step(choice);
            }
            RC_ASSERT(!site.wasSentToUnavailable);
            RC_ASSERT(!(site.wasRefusedAsNotExecuted && site.runs > 0));
            RC_ASSERT(route == "safe" || route == "resumed" || site.runs <= 1);
            site.fixture.now += 10s;
            site.take(site.flow.onDeadline(site.fixture.context(), site.fixture.now), site.availability());
            RC_ASSERT(site.finalResponses == 1);
        });
    }
}
