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

/// A router_task with sinks that answer at once and add up its metrics.
struct fixture
{
    event_loop loop;
    std::shared_ptr<mailbox<router_task_message>> box = std::make_shared<mailbox<router_task_message>>(loop, 100);
    bool isWithinRate = true;
    bool areSlotsFree = true;
    std::map<std::string, std::uint64_t> counters;
    std::vector<latency_sample> latencies;
    std::vector<service_level_event> burn;
    queues_report queues;
    std::vector<attempt_id> attempts;
    std::unique_ptr<router_task> router;

    fixture()
    {
        router_settings settings;
        settings.dataCentre = data_centre_id("dc");
        settings.reportInterval = 1ms;
        router = std::make_unique<router_task>(loop, box, settings, makeSinks(), random_source(7));
        CHECK_TRUE(router->start().has_value());
        sendAndRun(view_changed {makeView()});
    }

    router_task_sinks makeSinks()
    {
        router_task_sinks sinks;
        sinks.charges = sink<charge_request>([this](const charge_request &charge) {
            return charge.reply.post({charge.request, isWithinRate, 1s});
        });
        sinks.slots = sink<slot_request>([this](const slot_request &slot) {
            return slot.reply.post({slot.request, slot.endpoint, areSlotsFree, slot_count(1), slot_count(4)});
        });
        sinks.endpoints = sink<endpoint_envelope>([this](const endpoint_envelope &post) {
            noteAttempt(post.message);
            return post_result::delivered;
        });
        sinks.metrics = sink<metric_batch>([this](const metric_batch &batch) {
            add(batch);
            return post_result::delivered;
        });
        sinks.queueReports = sink<queues_report>([this](queues_report &&report) {
            queues = std::move(report);
            return post_result::delivered;
        });
        return sinks;
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

    void sendAndRun(router_task_message message)
    {
        CHECK_TRUE(box->post(std::move(message)) == post_result::delivered);
        // A message can cause further messages; ten rounds are more than any test here needs.
        for (int i = 0; i < 10; ++i) {
            loop.runReady();
        }
    }

    void call(const std::string &request)
    {
        caller_request call;
        call.id = request_id(request);
        call.presentedKey = "bsk_k_secret";
        call.model.emplace().service = model;
        call.reply = sink<caller_response>([](const caller_response &) { return post_result::delivered; });
        sendAndRun(std::move(call));
    }

    void prefill()
    {
        sendAndRun(prefill_done {attempts.back(), {"kv"}, {}});
    }

    void token(std::int64_t position)
    {
        decode_event event;
        event.attempt = attempts.back();
        event.position = position;
        event.text = "x";
        sendAndRun(std::move(event));
    }

    // A retry starts only once placement tries the failed endpoint again.
    void awaitAttempts(std::size_t count)
    {
        for (int i = 0; i < 400 && attempts.size() < count; ++i) {
            awaitReports();
        }
        CHECK_EQUAL(count, attempts.size());
    }

    // Waits for the reports of the messages sent so far.
    void awaitReports()
    {
        timer wait(loop, [this] { loop.stop(); });
        wait.start(deadline::after(boot_clock::now(), 5ms));
        loop.run();
    }
};

} // namespace

TEST_GROUP(status_reports) {};

// Guards against a report for every change, and against a change that is lost because a receiver's mailbox was full.
TEST(status_reports, areSpacedAndRepeatedUntilDelivered)
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

// Guards against responses that miss one of the two latency targets and are counted as good.
TEST(service_levels, compareBothLatenciesWithTheTargets)
{
    const instant start(100s);
    const service_level unanswered(workspace, urgent, {0, 1200ms, 28ms, 10s}, start);
    CHECK_TRUE(unanswered.causeOfAnswer(start + 1200ms) == service_level_outcome::good);
    CHECK_TRUE(unanswered.causeOfAnswer(start + 1201ms) == service_level_outcome::latency);
    service_level streamed = unanswered;
    streamed.noteToken(start + 1s);
    CHECK_FALSE(streamed.timeBetweenTokens().has_value());
    streamed.noteToken(start + 1010ms);
    streamed.noteToken(start + 1056ms);
    CHECK_TRUE(streamed.timeBetweenTokens() == 28ms);
    CHECK_TRUE(streamed.causeOfAnswer(start + 5s) == service_level_outcome::good);
    streamed.noteToken(start + 1085ms);
    CHECK_TRUE(streamed.causeOfAnswer(start + 5s) == service_level_outcome::latency);
}

// Guards against refusals caused by the caller that consume the error budget, and against failed runs that are counted as not executed.
TEST(service_levels, classifyRefusalsByCause)
{
    for (const error_code code : {error_code::quota_exceeded, error_code::key_withdrawn, error_code::in_progress, error_code::conflict}) {
        CHECK_FALSE(causeOfRefusal(code, true).has_value());
    }
    CHECK_TRUE(causeOfRefusal(error_code::overloaded, true) == service_level_outcome::refusal);
    CHECK_TRUE(causeOfRefusal(error_code::deadline_exceeded, false) == service_level_outcome::failure);
    CHECK_TRUE(causeOfRefusal(error_code::outcome_unknown, false) == service_level_outcome::failure);
}

TEST_GROUP(router_reports) {};

// Guards against responses, prefills and retries that are counted twice or not at all.
TEST(router_reports, countAnAnswerAfterAWastedPrefill)
{
    fixture f;
    f.call("a");
    f.prefill();
    f.sendAndRun(attempt_failed {f.attempts.back(), {error_code::connection_lost, "gone"}, false});
    f.awaitAttempts(3);
    f.prefill();
    f.token(0);
    f.token(1);
    f.sendAndRun(decode_done {f.attempts.back(), {}, "stop", false});
    f.awaitReports();
    CHECK_EQUAL(2U, f.counters["prefills_total m"]);
    CHECK_EQUAL(1U, f.counters["wasted_prefills_total m"]);
    CHECK_EQUAL(1U, f.counters["retries_total m"]);
    CHECK_EQUAL(1U, f.counters["requests_total m answered"]);
    CHECK_EQUAL(2U, f.latencies.size());
    CHECK_EQUAL(1U, f.burn.size());
    CHECK_TRUE(f.burn[0].workspace == workspace && f.burn[0].urgency == urgent);
}

// Guards against quota refusals that consume the error budget of a workspace that exceeds its rate.
TEST(router_reports, excludeQuotaRefusalsFromTheErrorBudget)
{
    fixture f;
    f.isWithinRate = false;
    f.call("a");
    f.awaitReports();
    CHECK_EQUAL(1U, f.counters["quota_refusals_total m"]);
    CHECK_EQUAL(1U, f.counters["requests_total m refused"]);
    CHECK_TRUE(f.burn.empty());
}

// Guards against queue lengths that are not reported, and against a disconnected caller whose request is counted as answered.
TEST(router_reports, reportQueueLengths)
{
    fixture f;
    f.areSlotsFree = false;
    f.call("a");
    f.awaitReports();
    CHECK_TRUE(f.queues == queues_report({{{urgent, 1}}}));
    f.sendAndRun(caller_disconnected {request_id("a")});
    f.awaitReports();
    CHECK_TRUE(f.queues == queues_report({{{urgent, 0}}}));
    CHECK_EQUAL(1U, f.counters["requests_total m caller_gone"]);
    CHECK_TRUE(f.burn.empty());
}
