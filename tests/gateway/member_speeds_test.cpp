#include "gateway/dispatch_fixture.h"
#include "gateway/fleet_state.h"
#include "gateway/member_codec.h"

using namespace burdockshelf;

TEST_GROUP(member_speeds) {};

// What other instances report of an endpoint must reach the placement. A first report of unknown age, a report that is read twice, and this
// instance's own one must not.
TEST(member_speeds, reachTheEndpointTable)
{
    const platform_adapter adapter;
    fleet_state fleet({instance_id("me"), data_centre_id("z"), {}}, {}, adapter.dialects().records, event_log());
    const record_arrival arrival = {boot_clock::now(), {}};
    fleet.reset(store_topic::operators, {{"config", dispatch_fixture::configuration(3), store_offset(1)}}, arrival);
    fleet.reset(store_topic::endpoints, {{"p", dispatch_fixture::endpointEntry(), store_offset(1)}}, arrival);
    const auto receive = [&](const char *instance, std::int64_t sequence) {
        const member_report report = {incarnation_id("i"), sequence, {{endpoint_id("p"), 300}}};
        fleet.change(store_topic::members, {{instance, encodeMemberReport(report), store_offset(sequence)}}, arrival);
        return fleet.endpoints().slowdown(endpoint_id("p"), arrival.at);
    };
    for (std::int64_t sequence = 1; sequence <= 6; ++sequence) {
        receive("me", sequence);
        receive("other", 1);
    }
    DOUBLES_EQUAL(1.0, receive("other", 1), 0.01);
    for (std::int64_t sequence = 2; sequence <= 5; ++sequence) {
        receive("other", sequence);
    }
    DOUBLES_EQUAL(3.0, receive("other", 6), 0.01);
}
