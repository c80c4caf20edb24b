#include "fleet_model.h"

#include "support/property.h"

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

constexpr auto faultPeriod = 40s;

rc::Gen<std::vector<fault>> faultPlans(std::vector<fault_kind> kinds)
{
    const auto one = rc::gen::build<fault>(
        rc::gen::set(&fault::kind, rc::gen::elementOf(kinds)),
        rc::gen::set(&fault::node, rc::gen::inRange<std::size_t>(0, 6)),
        rc::gen::set(&fault::at, rc::gen::map(rc::gen::inRange(0, 30000), [](int ms) { return std::chrono::milliseconds(ms); })),
        rc::gen::set(&fault::duration, rc::gen::map(rc::gen::inRange(100, 30000), [](int ms) { return std::chrono::milliseconds(ms); })));
    return rc::gen::resize(12, rc::gen::container<std::vector<fault>>(one));
}

const std::vector<fault_kind> allButReallocation = {fault_kind::kill,
                                                    fault_kind::pause,
                                                    fault_kind::cut_from_log,
                                                    fault_kind::cut_from_peers,
                                                    fault_kind::cut_data_centre,
                                                    fault_kind::log_outage,
                                                    fault_kind::leave};
const std::vector<fault_kind> withReallocation = {fault_kind::kill,
                                                  fault_kind::leave,
                                                  fault_kind::pause,
                                                  fault_kind::cut_from_log,
                                                  fault_kind::cut_from_peers,
                                                  fault_kind::cut_data_centre,
                                                  fault_kind::log_outage,
                                                  fault_kind::reallocate};

/// Runs a variant with many fault plans and adds up the results.
model_findings search(unsafe_variant variant, const std::vector<fault_kind> &kinds)
{
    model_findings sum;
    for (std::uint64_t seed = 0; seed < 30; ++seed) {
        random_source random(seed);
        std::vector<fault> plan;
        plan.reserve(8);
        for (int i = 0; i < 8; ++i) {
            plan.push_back({kinds[random.below(kinds.size())],
                            random.below(6),
                            std::chrono::milliseconds(random.below(30000)),
                            std::chrono::milliseconds(100 + random.below(15000))});
        }
        const model_findings found = fleet_model(seed, variant).run(plan, faultPeriod);
        sum.doubleOwners += found.doubleOwners;
        sum.excessTokens += found.excessTokens;
        sum.grants += found.grants;
        sum.loans += found.loans;
    }
    return sum;
}

} // namespace

TEST_GROUP(fleets) {};

// Guards against two owners at the same time, tokens granted over the limit, and members or requests that get no service after the last
// fault has ended.
TEST(fleets, stayWithinLimitsUnderFaults)
{
    CHECK_PROPERTY("safety at all times, liveness after the last fault", [](std::uint64_t seed) {
        const auto plan = *faultPlans(allButReallocation);
        const model_findings found = fleet_model(seed, unsafe_variant::none).run(plan, faultPeriod);
        RC_ASSERT(found.doubleOwners == 0);
        RC_ASSERT(found.excessTokens == 0);
        RC_ASSERT(found.membersWithoutAuthority == 0);
        RC_ASSERT(found.refusalsAfterRecovery == 0);
    });
}

// Guards against a data centre whose share grows by a new configuration while another one, which is cut off, still uses its old share.
TEST(fleets, stayWithinLimitsWhileSharesAreReallocated)
{
    CHECK_PROPERTY("safety while shares are reallocated", [](std::uint64_t seed) {
        const auto plan = *faultPlans(withReallocation);
        const model_findings found = fleet_model(seed, unsafe_variant::none).run(plan, faultPeriod);
        RC_ASSERT(found.doubleOwners == 0);
        RC_ASSERT(found.excessTokens == 0);
    });
}

// Guards against a model that cannot detect violations: without each of the safety mechanisms it must find one, and with all of them none
// on the same fault plans.
TEST(fleets, violateLimitsWithoutASafetyMechanism)
{
    const model_findings safe = search(unsafe_variant::none, allButReallocation);
    CHECK_EQUAL(0, safe.doubleOwners);
    DOUBLES_EQUAL(0, safe.excessTokens, 0);
    CHECK_TRUE(safe.grants > 1000);
    CHECK_TRUE(safe.loans > 1000);
    CHECK_TRUE(search(unsafe_variant::no_settle_wait, allButReallocation).doubleOwners > 0);
    CHECK_TRUE(search(unsafe_variant::lease_from_receipt, allButReallocation).doubleOwners > 0);
    CHECK_TRUE(search(unsafe_variant::grant_before_debit, allButReallocation).excessTokens > 0);
}
