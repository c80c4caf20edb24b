#include "wire/generated_values.h"

using namespace burdockshelf;

namespace
{

const std::vector<std::string> texts = {"a", "b/c", "d~e", "quote\"d", "l\u00edne\nbreak", "back\\slash"};

template<typename Id>
Id anyId()
{
    return Id(*rc::gen::elementOf(texts));
}

std::int64_t anyNumber(std::int64_t minimum = 0, std::int64_t maximum = 1000)
{
    return *rc::gen::inRange<std::int64_t>(minimum, maximum + 1);
}

bool anyBoolean()
{
    return *rc::gen::arbitrary<bool>();
}

std::chrono::milliseconds anyTime()
{
    return std::chrono::milliseconds(anyNumber(1, 100000));
}

template<typename Make>
auto upToTwo(Make make)
{
    std::vector<decltype(make())> values;
    for (std::int64_t count = anyNumber(0, 2); count > 0; --count) {
        values.push_back(make());
    }
    return values;
}

workspace_settings anyWorkspace(const std::vector<data_centre_id> &dataCentres)
{
    workspace_settings settings = {token_rate(anyNumber()), token_count(anyNumber()), {}};
    for (const data_centre_id &dataCentre : dataCentres) {
        settings.shareWeights[dataCentre] = static_cast<int>(anyNumber());
    }
    return settings;
}

service_settings anyService(const urgency_class_id &urgency)
{
    const bool isPlain = anyBoolean();
    return {isPlain ? service_kind::plain : service_kind::model,
            isPlain ? "/p" : "",
            anyBoolean(),
            anyBoolean(),
            urgency,
            anyNumber(1, 64),
            token_count(anyNumber(1)),
            token_count(anyNumber())};
}

endpoint_settings anyEndpoint(const service_id &service, const data_centre_id &dataCentre)
{
    const auto role = *rc::gen::element(endpoint_role::prefill, endpoint_role::decode, endpoint_role::plain);
    const auto port = static_cast<std::uint16_t>(anyNumber(1, 65535));
    return {service, dataCentre, role, {anyBoolean() ? "::1" : "10.0.0.1", port}, slot_count(anyNumber(1)), anyBoolean()};
}

urgency_class_settings anyUrgency()
{
    return {static_cast<int>(anyNumber()), anyTime(), anyTime(), anyTime()};
}

roster_member anyMember()
{
    return {anyId<instance_id>(), anyId<incarnation_id>()};
}

roster_takeover anyTakeover()
{
    return {anyId<data_centre_id>(), roster_epoch(anyNumber()), anyMember()};
}

claim anyClaim()
{
    return {{anyId<workspace_id>(), anyId<idempotency_key>()}, anyId<request_id>(), anyId<incarnation_id>(), "fingerprint"};
}

claim_outcome anyOutcome()
{
    const claim_id id = {anyId<workspace_id>(), anyId<idempotency_key>()};
    if (anyBoolean()) {
        return {id, anyId<request_id>(), true, 0, "", ""};
    }
    return {id, anyId<request_id>(), false, static_cast<int>(anyNumber(100, 599)), "text/plain", *rc::gen::arbitrary<std::string>()};
}

drain_target anyTarget()
{
    switch (anyNumber(0, 2)) {
    case 0:
        return anyId<data_centre_id>();
    case 1:
        return anyId<instance_id>();
    default:
        return anyId<endpoint_id>();
    }
}

configuration_change anyChange()
{
    configuration_change change;
    change.base = configuration_version(anyNumber());
    change.workspaces[anyId<workspace_id>()] = anyWorkspace({});
    change.workspaces[anyId<workspace_id>()] = std::nullopt;
    change.endpoints[anyId<endpoint_id>()] = anyEndpoint(anyId<service_id>(), anyId<data_centre_id>());
    change.services[anyId<service_id>()] = anyService(anyId<urgency_class_id>());
    change.urgencyClasses[anyId<urgency_class_id>()] = anyUrgency();
    change.dataCentres[anyId<data_centre_id>()] = std::nullopt;
    change.at = anyTime();
    return change;
}

roster_state anyRoster()
{
    roster_state roster;
    roster.epoch = roster_epoch(anyNumber());
    roster.members = upToTwo(anyMember);
    roster.fencingOffset = log_offset(anyNumber());
    roster.isReset = anyBoolean();
    if (anyBoolean()) {
        roster.takeover = anyTakeover();
        roster.takeoverOffset = log_offset(anyNumber());
    }
    return roster;
}

claim_state anyClaimState()
{
    claim_state state = {anyClaim(), anyTime(), std::nullopt, upToTwo(anyId<request_id>)};
    if (anyBoolean()) {
        state.ended = anyOutcome();
    }
    return state;
}

} // namespace

configuration anyConfiguration()
{
    configuration config;
    const auto dataCentre = anyId<data_centre_id>();
    const auto service = anyId<service_id>();
    const auto urgency = anyId<urgency_class_id>();
    config.dataCentres[dataCentre] = {anyId<region_id>()};
    config.urgencyClasses[urgency] = anyUrgency();
    config.services[service] = anyService(urgency);
    config.workspaces[anyId<workspace_id>()] = anyWorkspace({dataCentre});
    config.endpoints[anyId<endpoint_id>()] = anyEndpoint(service, dataCentre);
    return config;
}

snapshot anySnapshot()
{
    snapshot state;
    state.covered = log_offset(anyNumber(-1));
    state.latest = anyTime();
    state.config = anyConfiguration();
    state.config.version = configuration_version(anyNumber());
    state.keys[anyId<key_id>()] = {workspace_id(anyBoolean() ? "w" : ""), "salt", "digest", anyBoolean()};
    state.drains[anyTarget()] = {anyNumber(), anyBoolean()};
    state.rosters[anyId<data_centre_id>()] = anyRoster();
    for (const claim_state &claimed : upToTwo(anyClaimState)) {
        state.claims[claimed.winner.id] = claimed;
    }
    state.reallocations[anyId<workspace_id>()] = {anyTime(),
                                                  {{anyId<data_centre_id>(), {token_rate(anyNumber()), token_count(anyNumber())}}}};
    return state;
}

log_record anyRecord()
{
    switch (anyNumber(0, 9)) {
    case 0:
        return anyChange();
    case 1:
        return key_grant {anyId<key_id>(), anyId<workspace_id>(), "salt", "digest"};
    case 2:
        return key_withdrawal {anyId<key_id>()};
    case 3:
        return drain_change {anyTarget(), anyNumber(), anyBoolean()};
    case 4:
        return roster_change {anyId<data_centre_id>(), roster_epoch(anyNumber()), upToTwo(anyMember)};
    case 5:
        return anyTakeover();
    case 6:
        return roster_reset {anyId<data_centre_id>(), roster_epoch(anyNumber())};
    case 7:
        return claim_batch {anyTime(), upToTwo(anyClaim)};
    case 8:
        return outcome_batch {anyTime(), upToTwo(anyOutcome)};
    default:
        return anySnapshot();
    }
}
