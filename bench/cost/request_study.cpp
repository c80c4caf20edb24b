#include "cost/request_study.h"

#include "burdockshelfctl/blocking_http.h"
#include "cost/least_squares.h"
#include "cost/process_usage.h"
#include "load/open_loop_load.h"
#include "load/run_report.h"

#include <algorithm>

#include <boost/outcome/try.hpp>

namespace burdockshelf
{

namespace
{

using namespace std::chrono_literals;
using json = nlohmann::json;

constexpr auto servingLimit = 60s;
constexpr auto loadTime = 8s;
constexpr auto endLimit = 30s;
constexpr auto callLimit = 10s;
constexpr auto streamOpeningTime = 3s;
constexpr std::int64_t warmingRequestsPerMinute = 2400;
constexpr std::int64_t warmingTokens = 32;
constexpr int latencyPairs = 400;
constexpr int latencyWarmUp = 20;
/// Long enough that no stream ends while memory is read: at 16 ms a token, 32 s.
constexpr int openStreamTokens = 2000;
constexpr const char *workspaceName = "dispatch";

json slopesOf(const json &points, const std::vector<std::string> &sizes, const char *value)
{
    std::vector<sample> samples;
    for (const json &point : points) {
        sample &one = samples.emplace_back();
        one.value = point[value];
        for (const std::string &size : sizes) {
            one.sizes.push_back(point[size]);
        }
    }
    const std::vector<double> fitted = fitSlopes(samples);
    json slopes = json::object();
    for (std::size_t i = 0; i < fitted.size(); ++i) {
        slopes[i == 0 ? "at_zero" : "per_" + sizes[i - 1]] = fitted[i];
    }
    return slopes;
}

} // namespace

request_study::request_study(event_loop &loop, std::uint64_t seed)
    : m_loop(loop)
    , m_seed(seed)
{
}

outcome<json> request_study::run()
{
    BOOST_OUTCOME_TRYV(startSite());
    BOOST_OUTCOME_TRY(latency, measureAddedLatency());
    json loads = json::array();
    for (const std::int64_t output : {8, 64}) {
        for (const std::int64_t perMinute : {600, 1200, 2400}) {
            BOOST_OUTCOME_TRY(point, measureLoad(perMinute, output));
            loads.push_back(point);
        }
    }
    json streams = json::array();
    for (const int count : {0, 20, 40, 70}) {
        BOOST_OUTCOME_TRY(point, measureOpenStreams(count));
        streams.push_back(point);
    }
    return json {{"added_latency_ms", latency},
                 {"load_points", loads},
                 {"processor_share", slopesOf(loads, {"requests_per_s", "events_per_s"}, "processor_share")},
                 {"stream_points", streams},
                 {"resident_bytes", slopesOf(streams, {"open_streams"}, "resident_bytes")}};
}

outcome<void> request_study::startSite()
{
    site_plan plan;
    plan.dataCentres = {{"north", 1, 2, 4, 1}};
    plan.engineArguments = {"--warm"};
    plan.workspaces = {{workspaceName, 1000000, 2000000}};
    m_site = std::make_unique<site>(m_loop, plan);
    BOOST_OUTCOME_TRYV(m_site->start());
    return m_site->waitUntilServing(servingLimit);
}

outcome<json> request_study::measureLoad(std::int64_t requestsPerMinute, std::int64_t outputTokens)
{
    load_plan plan;
    plan.duration = loadTime;
    plan.shapes = {{1, token_count(50), token_count(outputTokens), urgency_class_id("urgent"), 10s, 1s}};
    plan.workspaces = {{workspace_id(workspaceName), requestsPerMinute, true}};
    const pid_t daemon = m_site->instances().front().process.pid();
    BOOST_OUTCOME_TRY(before, readUsage(daemon));
    const instant begin = boot_clock::now();
    open_loop_load load(m_loop, *m_site, plan, m_seed);
    std::int64_t events = 0;
    std::int64_t whole = 0;
    for (const request_record &record : load.run(endLimit)) {
        events += record.received.value();
        whole += record.isWhole ? 1 : 0;
    }
    BOOST_OUTCOME_TRY(after, readUsage(daemon));
    const double seconds = std::chrono::duration<double>(boot_clock::now() - begin).count();
    return json {{"requests_per_s", static_cast<double>(whole) / seconds},
                 {"events_per_s", static_cast<double>(events) / seconds},
                 {"processor_share", std::chrono::duration<double>(after.processor - before.processor).count() / seconds},
                 {"resident_bytes", after.resident.value()}};
}

outcome<json> request_study::measureOpenStreams(int streams)
{
    BOOST_OUTCOME_TRYV(startSite());
    // Slow start admits more requests to an engine only after successes, so streams that stay open need a load before them.
    BOOST_OUTCOME_TRYV(measureLoad(warmingRequestsPerMinute, warmingTokens));
    http_client client(m_loop, m_site->instances().front().callers);
    const http_request request = {"POST",
                                  "/v1/completions",
                                  {{"Content-Type", "application/json"}, {"Authorization", "Bearer " + m_site->keyOf(workspaceName)}},
                                  completionBody("Summarise the consignments of March.", openStreamTokens, true)};
    int open = 0;
    for (int i = 0; i < streams; ++i) {
        http_call_handlers handlers;
        handlers.onHeaders = [&open](const http_response &response) {
            open += response.status == 200 ? 1 : 0;
        };
        handlers.onData = [](std::string_view) {
        };
        handlers.onDone = [](const http_call_result &) {
        };
        client.send(request, std::move(handlers), deadline::after(boot_clock::now(), 60s));
    }
    m_site->pause(streamOpeningTime);
    BOOST_OUTCOME_TRY(usage, readUsage(m_site->instances().front().process.pid()));
    return json {{"open_streams", open}, {"resident_bytes", usage.resident.value()}};
}

outcome<json> request_study::measureAddedLatency()
{
    const auto &endpoints = m_site->endpoints();
    const auto plain = std::find_if(endpoints.begin(), endpoints.end(), [](const site_endpoint &one) { return one.role == "plain"; });
    const std::string &key = m_site->keyOf(workspaceName);
    std::vector<double> direct;
    std::vector<double> routed;
    for (int i = 0; i < latencyWarmUp + latencyPairs; ++i) {
        const double first = timedCall(plain->address, {});
        const double second = timedCall(m_site->instances().front().callers, key);
        if (first < 0 || second < 0) {
            return failure(error_code::unavailable, "a call of the latency measurement was not answered with 200");
        }
        if (i >= latencyWarmUp) {
            direct.push_back(first);
            routed.push_back(second);
        }
    }
    return json {{"pairs", latencyPairs},
                 {"direct", {{"p50", quantileOf(direct, 0.5)}, {"p99", quantileOf(direct, 0.99)}}},
                 {"routed", {{"p50", quantileOf(routed, 0.5)}, {"p99", quantileOf(routed, 0.99)}}},
                 {"added_p50", quantileOf(routed, 0.5) - quantileOf(direct, 0.5)},
                 {"added_p99", quantileOf(routed, 0.99) - quantileOf(direct, 0.99)}};
}

// Milliseconds of a call on a new connection, negative when it failed.
double request_study::timedCall(const socket_address &at, const std::string &key)
{
    http_request request = {"POST", "/booking/slots", {{"Content-Type", "application/json"}}, R"({"slot":"A7"})"};
    if (!key.empty()) {
        request.headers.add("Authorization", "Bearer " + key);
    }
    const instant begin = boot_clock::now();
    const http_call_result result = callAndWait(m_loop, at, request, callLimit);
    const bool isGood = result.has_value() && result.value().status == 200;
    return isGood ? std::chrono::duration<double, std::milli>(boot_clock::now() - begin).count() : -1;
}

} // namespace burdockshelf
