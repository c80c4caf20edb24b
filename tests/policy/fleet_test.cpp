#include "fleet_model.h"

#include "support/property.h"

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

constexpr auto faulty = 40s;

rc::Gen<std::vector<fault>> faultPlans(std::vector<fault_kind> kinds)
{
    const auto one = rc::gen::build<fault>(
        rc::gen::set(&fault::kind, rc::gen::elementOf(kinds)),
        rc::gen::set(&fault::node, rc::gen::inRange<std::size_t>(0, 6)),
        rc::gen::set(&fault::at, rc::gen::map(rc::gen::inRange(0, 30000), [](int ms) { return std::chrono::milliseconds(ms); })),
        rc::gen::set(&fault::validFor, rc::gen::map(rc::gen::inRange(100, 30000), [](int ms) { return std::chrono::milliseconds(ms); })));
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

/// Runs a variant with many fault plans and adds up what goes wrong.
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
        const model_findings found = fleet_model(seed, variant).run(plan, faulty);
        sum.doubleOwners += found.doubleOwners;
        sum.tokensOver += found.tokensOver;
        sum.grants += found.grants;
        sum.loans += found.loans;
    }
    return sum;
}

} // namespace

TEST_GROUP(fleets) {};

// Guards against two owners at once, tokens over the limit, and members or requests that stay without service after the last fault.
TEST(fleets, keepTheirLimitsUnderAnyFaults)
{
    CHECK_PROPERTY("safe always, live at last", [](std::uint64_t seed) {
        const auto plan = *faultPlans(allButReallocation);
        const model_findings found = fleet_model(seed, unsafe_variant::none).run(plan, faulty);
        RC_ASSERT(found.doubleOwners == 0);
        RC_ASSERT(found.tokensOver == 0);
        RC_ASSERT(found.membersWithoutAuthority == 0);
        RC_ASSERT(found.calmRefusals == 0);
    });
}

// Guards against a data centre that grows by a new configuration while another, cut off, still uses its old share.
TEST(fleets, keepTheirLimitsWhileSharesMove)
{
    CHECK_PROPERTY("safe while shares move", [](std::uint64_t seed) {
        const auto plan = *faultPlans(withReallocation);
        const model_findings found = fleet_model(seed, unsafe_variant::none).run(plan, faulty);
        RC_ASSERT(found.doubleOwners == 0);
        RC_ASSERT(found.tokensOver == 0);
    });
}

// Guards against a model that is too tame: without each protection it must find the violation, and with all of them none on the same plans.
TEST(fleets, areCaughtWithoutAProtection)
{
    const model_findings safe = search(unsafe_variant::none, allButReallocation);
    CHECK_EQUAL(0, safe.doubleOwners);
    DOUBLES_EQUAL(0, safe.tokensOver, 0);
    CHECK_TRUE(safe.grants > 1000);
    CHECK_TRUE(safe.loans > 1000);
    CHECK_TRUE(search(unsafe_variant::no_settle_wait, allButReallocation).doubleOwners > 0);
    CHECK_TRUE(search(unsafe_variant::lease_from_receipt, allButReallocation).doubleOwners > 0);
    CHECK_TRUE(search(unsafe_variant::grant_before_debit, allButReallocation).tokensOver > 0);
}
