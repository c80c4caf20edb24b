#include "routing/router_task.h"
#include "routing/status_reporter.h"
#include "state/find_workspace_for_key.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

const service_id model("m");
const workspace_id workspace("w");
const urgency_class_id urgent("urgent");

state_view_ptr makeView()
{
    auto view = std::make_shared<state_view>();
    view->config.version = configuration_version(1);
    view->config.services[model].defaultUrgency = urgent;
    view->config.urgencyClasses[urgent] = {};
    view->config.endpoints[endpoint_id("p")] = {model, data_centre_id("dc"), endpoint_role::prefill, {}, slot_count(4), false};
    view->config.endpoints[endpoint_id("d")] = {model, data_centre_id("dc"), endpoint_role::decode, {}, slot_count(4), false};
    key_state &key = view->keys[key_id("k")];
    key.workspace = workspace;
    key.digest = keyDigest(key.salt, "secret");
    return view;
}

/// A router_task whose surroundings answer at once; what it counts is added up.
struct fixture
{
    event_loop loop;
    std::shared_ptr<mailbox<router_task_message>> box = std::make_shared<mailbox<router_task_message>>(loop, 100);
    bool isWithinRate = true;
    bool isPlaced = true;
    std::map<std::string, std::uint64_t> counters;
    std::vector<latency_sample> latencies;
    std::vector<burn_event> burn;
    queues_report queues;
    std::vector<attempt_id> attempts;
    std::unique_ptr<router_task> runs;

    fixture()
    {
        router_settings settings;
        settings.dataCentre = data_centre_id("dc");
        settings.reportInterval = 1ms;
        runs = std::make_unique<router_task>(loop, box, settings, makeLinks(), random_source(7));
        CHECK_TRUE(runs->start().has_value());
        tell(view_changed {makeView()});
    }

    router_links makeLinks()
    {
        router_links links;
        links.charges = sink<charge_request>([this](const charge_request &charge) {
            return charge.reply.post({charge.request, isWithinRate, 1s});
        });
        links.slots = sink<slot_request>([this](const slot_request &slot) {
            return slot.reply.post({slot.request, slot.endpoint, isPlaced, slot_count(1), slot_count(4)});
        });
        links.endpoints = sink<endpoint_envelope>([this](const endpoint_envelope &post) {
            noteAttempt(post.message);
            return post_result::delivered;
        });
        links.metrics = sink<metric_batch>([this](const metric_batch &batch) {
            add(batch);
            return post_result::delivered;
        });
        links.queueReports = sink<queues_report>([this](queues_report &&report) {
            queues = std::move(report);
            return post_result::delivered;
        });
        return links;
    }

    void noteAttempt(const endpoint_task_message &message)
    {
        if (const auto *prefill = std::get_if<prefill_call>(&message)) {
            attempts.push_back(prefill->attempt);
        } else if (const auto *decode = std::get_if<decode_call>(&message)) {
            attempts.push_back(decode->attempt);
        }
    }

    void add(const metric_batch &batch)
    {
        for (const counter_increment &counter : batch.counters) {
            std::string name = counter.metric.name;
            for (const metric_label &label : counter.metric.labels) {
                name += " " + label.value;
            }
            counters[name] += counter.amount;
        }
        latencies.insert(latencies.end(), batch.latencies.begin(), batch.latencies.end());
        burn.insert(burn.end(), batch.burn.begin(), batch.burn.end());
    }

    void tell(router_task_message message)
    {
        CHECK_TRUE(box->post(std::move(message)) == post_result::delivered);
        // A message leads to others; ten rounds are more than any exchange here takes.
        for (int i = 0; i < 10; ++i) {
            loop.runReady();
        }
    }

    void call(const std::string &request)
    {
        caller_request wanted;
        wanted.id = request_id(request);
        wanted.presentedKey = "bsk_k_secret";
        wanted.model.emplace().service = model;
        wanted.reply = sink<caller_response>([](const caller_response &) { return post_result::delivered; });
        tell(std::move(wanted));
    }

    void prefill()
    {
        tell(prefill_done {attempts.back(), {"kv"}, {}});
    }

    void token(std::int64_t position)
    {
        decode_event event;
        event.attempt = attempts.back();
        event.position = position;
        event.text = "x";
        tell(std::move(event));
    }

    // A retry waits until placement tries the failed endpoint again.
    void awaitAttempts(std::size_t wanted)
    {
        for (int i = 0; i < 400 && attempts.size() < wanted; ++i) {
            awaitReports();
        }
        CHECK_EQUAL(wanted, attempts.size());
    }

    // Waits for the reports of what was told so far.
    void awaitReports()
    {
        timer wait(loop, [this] { loop.stop(); });
        wait.start(deadline::after(boot_clock::now(), 5ms));
        loop.run();
    }
};

} // namespace

TEST_GROUP(status_reports) {};

// Guards against a report for every change, and against a change that is lost while a receiver is full.
TEST(status_reports, areSpacedAndRepeatedUntilTaken)
{
    event_loop loop;
    int reports = 0;
    status_reporter reporter(loop, 1ms, [&] {
        ++reports;
        loop.stop();
        return reports != 1;
    });
    reporter.noteChange();
    reporter.noteChange();
    loop.run();
    CHECK_EQUAL(1, reports);
    loop.run();
    CHECK_EQUAL(2, reports);
    timer end(loop, [&] { loop.stop(); });
    end.start(deadline::after(boot_clock::now(), 5ms));
    loop.run();
    CHECK_EQUAL(2, reports);
}

TEST_GROUP(service_levels) {};

// Guards against late answers that count as good, by either target.
TEST(service_levels, compareBothLatenciesWithTheTargets)
{
    const instant start(100s);
    const service_level fresh(workspace, urgent, {0, 1200ms, 28ms, 10s}, start);
    CHECK_TRUE(fresh.causeOfAnswer(start + 1200ms) == burn_cause::good);
    CHECK_TRUE(fresh.causeOfAnswer(start + 1201ms) == burn_cause::latency);
    service_level streamed = fresh;
    streamed.noteToken(start + 1s);
    CHECK_FALSE(streamed.timeBetweenTokens().has_value());
    streamed.noteToken(start + 1010ms);
    streamed.noteToken(start + 1056ms);
    CHECK_TRUE(streamed.timeBetweenTokens() == 28ms);
    CHECK_TRUE(streamed.causeOfAnswer(start + 5s) == burn_cause::good);
    streamed.noteToken(start + 1085ms);
    CHECK_TRUE(streamed.causeOfAnswer(start + 5s) == burn_cause::latency);
}

// Guards against refusals that are the caller's doing and burn the budget, and against runs that failed and count as not run.
TEST(service_levels, tellRefusalsByTheirCause)
{
    for (const error_code code : {error_code::quota_exceeded, error_code::key_withdrawn, error_code::in_progress, error_code::conflict}) {
        CHECK_FALSE(causeOfRefusal(code, true).has_value());
    }
    CHECK_TRUE(causeOfRefusal(error_code::overloaded, true) == burn_cause::refusal);
    CHECK_TRUE(causeOfRefusal(error_code::deadline_exceeded, false) == burn_cause::failure);
    CHECK_TRUE(causeOfRefusal(error_code::outcome_unknown, false) == burn_cause::failure);
}

TEST_GROUP(router_reports) {};

// Guards against answers, prefills and retries that are counted twice or not at all.
TEST(router_reports, countAnAnswerAfterAWastedPrefill)
{
    fixture f;
    f.call("a");
    f.prefill();
    f.tell(attempt_failed {f.attempts.back(), {error_code::connection_lost, "gone"}, false});
    f.awaitAttempts(3);
    f.prefill();
    f.token(0);
    f.token(1);
    f.tell(decode_done {f.attempts.back(), {}, "stop", false});
    f.awaitReports();
    CHECK_EQUAL(2U, f.counters["prefills_total m"]);
    CHECK_EQUAL(1U, f.counters["wasted_prefills_total m"]);
    CHECK_EQUAL(1U, f.counters["retries_total m"]);
    CHECK_EQUAL(1U, f.counters["requests_total m answered"]);
    CHECK_EQUAL(2U, f.latencies.size());
    CHECK_EQUAL(1U, f.burn.size());
    CHECK_TRUE(f.burn[0].workspace == workspace && f.burn[0].urgency == urgent);
}

// Guards against refusals for quota that burn the budget of a workspace over its rate.
TEST(router_reports, keepQuotaRefusalsOutOfTheBurn)
{
    fixture f;
    f.isWithinRate = false;
    f.call("a");
    f.awaitReports();
    CHECK_EQUAL(1U, f.counters["quota_refusals_total m"]);
    CHECK_EQUAL(1U, f.counters["requests_total m refused"]);
    CHECK_TRUE(f.burn.empty());
}

// Guards against a queue whose length is not seen, and against callers who leave and count as answered.
TEST(router_reports, showWaitingRequests)
{
    fixture f;
    f.isPlaced = false;
    f.call("a");
    f.awaitReports();
    CHECK_TRUE(f.queues == queues_report({{{urgent, 1}}}));
    f.tell(caller_disconnected {request_id("a")});
    f.awaitReports();
    CHECK_TRUE(f.queues == queues_report({{{urgent, 0}}}));
    CHECK_EQUAL(1U, f.counters["requests_total m caller_gone"]);
    CHECK_TRUE(f.burn.empty());
}
