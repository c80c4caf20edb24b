#include "burdockshelfctl/burn_row.h"
#include "burdockshelfctl/instance_status.h"
#include "http/http_client.h"
#include "operators/operators_supervisor.h"
#include "operators/status_json.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

constexpr auto requestTimeout = 20s;

} // namespace

TEST_GROUP(operations)
{
    event_loop loop;
    std::shared_ptr<mailbox<operations_message>> box = std::make_shared<mailbox<operations_message>>(loop, 100);
    socket_address bound;
    std::unique_ptr<operators_supervisor> branch;
    std::unique_ptr<http_client> client;

    void setup() override
    {
        const sink<operations_listening> listening([this](operations_listening &&message) {
            bound = message.address;
            return post_result::delivered;
        });
        branch = std::make_unique<operators_supervisor>(loop, box, operations_settings {{"127.0.0.1", 0}, {}}, listening);
        CHECK_TRUE(branch->start().has_value());
        client = std::make_unique<http_client>(loop, bound);
    }

    void teardown() override
    {
        client.reset();
        branch.reset();
    }

    void postMessage(operations_message message)
    {
        CHECK_TRUE(box->post(std::move(message)) == post_result::delivered);
    }

    http_response get(const std::string &target, const std::string &method = "GET")
    {
        http_response response;
        const auto onDone = [&](http_call_result result) {
            response = result ? std::move(result).value() : http_response {0, {}, {}};
            loop.stop();
        };
        client->send({method, target, {}, {}}, {nullptr, nullptr, onDone}, deadline::after(boot_clock::now(), requestTimeout));
        loop.run();
        return response;
    }
};

// Guards against a load balancer that sends requests to an instance that is starting or shutting down.
TEST(operations, distinguishesLiveFromReady)
{
    CHECK_EQUAL(200, get("/live").status);
    CHECK_EQUAL(503, get("/ready").status);
    postMessage(readiness_changed {true, ""});
    CHECK_EQUAL(200, get("/ready").status);
    postMessage(readiness_changed {false, "shutting down"});
    const http_response response = get("/ready?verbose");
    CHECK_EQUAL(503, response.status);
    STRCMP_CONTAINS("shutting down", response.body.c_str());
    CHECK_EQUAL(404, get("/other").status);
    CHECK_EQUAL(405, get("/live", "POST").status);
}

// Guards against metric batches that overwrite counts of earlier batches, and against burn rows that cannot be added up.
TEST(operations, accumulatesBatches)
{
    const metric_batch batch = {{{{"requests_total", {}}, 2}},
                                {},
                                {},
                                {{workspace_id("w"), urgency_class_id("u"), service_level_outcome::failure, 1},
                                 {workspace_id("w"), urgency_class_id("u"), service_level_outcome::good, 1}}};
    postMessage(batch);
    postMessage(batch);
    STRCMP_CONTAINS("burdockshelf_requests_total 4\n", get("/metrics").body.c_str());
    const json burn = json::parse(get("/burn").body);
    CHECK_EQUAL(2, burn["rows"][0]["short"]["failure"].get<int>());
    CHECK_EQUAL(2, burn["rows"][0]["total"]["good"].get<int>());
    DOUBLES_EQUAL(10.0, burn["rows"][0]["long_burn_rate"].get<double>(), 1e-9);
}

// Guards against a status page that shows an outdated status of a task, or omits one.
TEST(operations, showsTheLatestStatusOfEachTask)
{
    const peer other = {instance_id("b"), incarnation_id("b-1"), data_centre_id("konya"), {"127.0.0.1", 9}};
    postMessage(status_update(identity_status {instance_id("a"), incarnation_id("a-1"), data_centre_id("konya")}));
    postMessage(status_update(configuration_status {configuration_version(3), log_offset(40)}));
    postMessage(status_update(configuration_status {configuration_version(4), log_offset(41)}));
    postMessage(status_update(endpoints_status {{{endpoint_id("e"), endpoint_condition::warming, slot_count(1), slot_count(2)}}}));
    postMessage(status_update(queues_status {{{urgency_class_id("u"), 7}}}));
    postMessage(status_update(quotas_status {{{workspace_id("w"), token_count(5), token_count(9), token_rate(1)}}}));
    postMessage(status_update(peer_status {other, true}));
    postMessage(status_update(reachability_status {"log", false, {error_code::unavailable, "outage"}}));
    json status = json::parse(get("/status").body);
    CHECK_TRUE(status["identity"]["incarnation"] == "a-1");
    CHECK_TRUE(status["configuration"] == json({{"version", 4}, {"covered", 41}}));
    CHECK_TRUE(status["endpoints"][0] == json({{"endpoint", "e"}, {"state", "warming"}, {"used", 1}, {"limit", 2}}));
    CHECK_TRUE(status["queues"][0]["length"] == 7);
    CHECK_TRUE(status["quotas"][0]["level"] == 5);
    CHECK_TRUE(status["peers"][0]["up"] == true);
    CHECK_TRUE(status["unreachable"][0]["code"] == "unavailable");
    postMessage(status_update(reachability_status {"log", true, {}}));
    postMessage(status_update(instance_list {}));
    status = json::parse(get("/status").body);
    CHECK_TRUE(status["unreachable"].empty());
    CHECK_TRUE(status["peers"].empty());
}

// Guards against a remaining authority above zero after the authority has expired.
TEST(operations, showsTheRemainingAuthority)
{
    status_board board;
    const instant now(100s);
    board.apply(roster_status {roster_epoch(2), {{instance_id("a"), incarnation_id("a-1")}}, deadline::after(now, 3s)});
    CHECK_TRUE(json::parse(statusJson(board, now + 1s))["roster"]["authority_left_ms"] == 2000);
    CHECK_TRUE(json::parse(statusJson(board, now + 4s))["roster"]["authority_left_ms"] == 0);
    CHECK_TRUE(json::parse(statusJson(board, now))["roster"]["members"][0]["instance"] == "a");
}

// Guards against daemon responses that the command-line tool burdockshelfctl cannot decode.
TEST(operations, responsesAreDecodedByTheTool)
{
    postMessage(status_update(identity_status {instance_id("a"), incarnation_id("a-1"), data_centre_id("konya")}));
    postMessage(status_update(configuration_status {configuration_version(4), log_offset(41)}));
    postMessage(metric_batch {{}, {}, {}, {{workspace_id("w"), urgency_class_id("u"), service_level_outcome::latency, 3}}});
    const auto status = decodeInstanceStatus(get("/status").body);
    CHECK_TRUE(status.has_value());
    CHECK_TRUE(status.value().instance == instance_id("a") && status.value().dataCentre == data_centre_id("konya"));
    CHECK_TRUE(status.value().covered == log_offset(41) && status.value().version == configuration_version(4));
    for (const char *list : {"members", "endpoints", "quota"}) {
        CHECK_TRUE(status.value().whole[list].is_array());
    }
    const auto rows = decodeBurnRows(get("/burn").body);
    CHECK_TRUE(rows.has_value());
    CHECK_EQUAL(1U, rows.value().size());
    CHECK_TRUE(rows.value()[0].subject == burn_subject({workspace_id("w"), urgency_class_id("u")}));
    CHECK_EQUAL(3, rows.value()[0].shortWindow.latency.value());
    DOUBLES_EQUAL(0.95, rows.value()[0].objective, 1e-9);
}
