#include "metrics/prometheus_text.h"

#include <algorithm>
#include <cmath>

#include <rapidcheck.h>

#include "support/property.h"

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

const workspace_id workspace("w");
const urgency_class_id urgent("urgent");

std::vector<std::int64_t> anyLatencies()
{
    return *rc::gen::nonEmpty(rc::gen::container<std::vector<std::int64_t>>(rc::gen::inRange<std::int64_t>(100, 100000000)));
}

} // namespace

TEST_GROUP(latency_sketches) {};

// Guards against quantiles that exceed the relative error after sketches of several instances were merged.
TEST(latency_sketches, keepTheErrorOfMergedQuantiles)
{
    CHECK_PROPERTY("merged quantile within the relative error", [] {
        std::vector<std::int64_t> all;
        latency_sketch merged;
        for (int instance = 0; instance < 3; ++instance) {
            latency_sketch sketch;
            for (const std::int64_t value : anyLatencies()) {
                sketch.add(latency_sketch::duration(value));
                all.push_back(value);
            }
            merged.merge(sketch);
        }
        std::sort(all.begin(), all.end());
        for (const double share : {0.01, 0.5, 0.95, 1.0}) {
            const auto rank = static_cast<std::size_t>(std::max(1.0, std::ceil(share * static_cast<double>(all.size()))));
            const auto exact = static_cast<double>(all[rank - 1]);
            const double found = static_cast<double>(merged.quantile(share).count());
            // Allows one microsecond for rounding to whole microseconds.
            RC_ASSERT(std::abs(found - exact) <= exact * latency_sketch::relativeError + 1.0);
        }
        RC_ASSERT(merged.max().count() == all.back());
        RC_ASSERT(merged.count() == all.size());
    });
}

// Guards against a count, mean or variance that depends on which instance recorded a value.
TEST(latency_sketches, mergeCountMeanAndVariance)
{
    CHECK_PROPERTY("merge(a, b) has the moments of a and b together", [] {
        latency_sketch together;
        latency_sketch left;
        latency_sketch right;
        for (const std::int64_t value : anyLatencies()) {
            together.add(latency_sketch::duration(value));
            left.add(latency_sketch::duration(value));
        }
        for (const std::int64_t value : anyLatencies()) {
            together.add(latency_sketch::duration(value));
            right.add(latency_sketch::duration(value));
        }
        left.merge(right);
        RC_ASSERT(left.count() == together.count());
        RC_ASSERT(std::abs(left.mean().count() - together.mean().count()) <= 1);
        RC_ASSERT(std::abs(left.variance() - together.variance()) <= 1e-6 * together.variance() + 1.0);
    });
    CHECK_TRUE(latency_sketch().quantile(0.5) == 0us);
}

TEST_GROUP(burn_ledgers) {};

// Guards against bad requests that are counted after the window has passed, or dropped from it too early.
TEST(burn_ledgers, dropEventsOutsideTheWindow)
{
    service_level_tracker ledger({});
    const instant start(10000s);
    ledger.add(workspace, urgent, service_level_outcome::good, 90, start);
    ledger.add(workspace, urgent, service_level_outcome::latency, 10, start);
    const auto at = [&](std::chrono::seconds later) {
        return ledger.rows(start + later).at(0);
    };
    DOUBLES_EQUAL(2.0, burnRate(at(0s).shortWindow, 0.05), 1e-9);
    DOUBLES_EQUAL(2.0, burnRate(at(270s).shortWindow, 0.05), 1e-9);
    DOUBLES_EQUAL(0.0, burnRate(at(301s).shortWindow, 0.05), 1e-9);
    DOUBLES_EQUAL(2.0, burnRate(at(3200s).longWindow, 0.05), 1e-9);
    DOUBLES_EQUAL(0.0, burnRate(at(3601s).longWindow, 0.05), 1e-9);
    CHECK_EQUAL(10U, at(3601s).total[static_cast<std::size_t>(service_level_outcome::latency)]);
}

// Guards against memory use that grows with every workspace id ever seen.
TEST(burn_ledgers, aggregateWorkspacesOverTheLimit)
{
    service_level_settings settings;
    settings.maxWorkspaces = 2;
    service_level_tracker ledger(settings);
    for (const char *name : {"a", "b", "c", "d"}) {
        ledger.add(workspace_id(name), urgent, service_level_outcome::failure, 1, instant(1s));
    }
    const auto rows = ledger.rows(instant(1s));
    CHECK_EQUAL(3U, rows.size());
    CHECK_TRUE(rows[0].workspace.isEmpty());
    CHECK_EQUAL(2U, rows[0].total[static_cast<std::size_t>(service_level_outcome::failure)]);
}

TEST_GROUP(registries) {};

// Guards against an unlimited number of series and against text that Prometheus cannot parse.
TEST(registries, writePrometheusTextWithinTheLimit)
{
    metric_registry registry({}, 3);
    metric_batch batch;
    batch.counters = {{{"requests_total", {{"service", "dil\"hat"}}}, 3}};
    batch.gauges = {{{"queue_length", {}}, 4.0}, {{"queue_length", {{"class", "a"}}}, 1.0}, {{"queue_length", {{"class", "b"}}}, 2.0}};
    batch.latencies = {{{"first_token_seconds", {}}, 30ms}};
    batch.burn = {{workspace, urgent, service_level_outcome::refusal, 2}};
    registry.apply(batch, instant(1s));
    registry.apply({batch.counters, {}, {}, {}}, instant(1s));
    const std::string text = prometheusText(registry, instant(1s));
    STRCMP_CONTAINS("# TYPE burdockshelf_requests_total counter\nburdockshelf_requests_total{service=\"dil\\\"hat\"} 6\n", text.c_str());
    STRCMP_CONTAINS("burdockshelf_queue_length 4\n", text.c_str());
    STRCMP_CONTAINS("cause=\"refusal\"} 2\n", text.c_str());
    STRCMP_CONTAINS("burdockshelf_dropped_metric_updates_total 2\n", text.c_str());
    CHECK_TRUE(registry.latencies().empty());
}

// Guards against histogram buckets that are not cumulative, and against missing buckets for the latency targets.
TEST(registries, writeCumulativeHistograms)
{
    metric_registry registry({});
    metric_batch batch;
    for (const auto value : {3ms, 30ms, 1100ms, 60000ms}) {
        batch.latencies.push_back({{"first_token_seconds", {}}, value});
    }
    registry.apply(batch, instant(1s));
    const std::string text = prometheusText(registry, instant(1s));
    STRCMP_CONTAINS("first_token_seconds_bucket{le=\"0.005\"} 1\n", text.c_str());
    STRCMP_CONTAINS("first_token_seconds_bucket{le=\"0.028\"} 1\n", text.c_str());
    STRCMP_CONTAINS("first_token_seconds_bucket{le=\"1.2\"} 3\n", text.c_str());
    STRCMP_CONTAINS("first_token_seconds_bucket{le=\"+Inf\"} 4\n", text.c_str());
    STRCMP_CONTAINS("first_token_seconds_count 4\n", text.c_str());
}
