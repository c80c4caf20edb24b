#include "state/diff_configurations.h"
#include "state/find_workspace_for_key.h"
#include "state/generated_log.h"
#include "state/is_drained.h"

#include "support/property.h"

using namespace burdockshelf;

namespace
{

error_code codeFor(const state_view &view, const char *key)
{
    const auto found = findWorkspaceForKey(view, key);
    return found ? error_code::internal : found.error().code;
}

} // namespace

TEST_GROUP(state_views) {};

// Guards against a key that gives access to another workspace, and one that is accepted with a wrong secret or after its withdrawal.
TEST(state_views, findTheWorkspaceOfAKey)
{
    state_view view;
    view.keys[key_id("a_1")] = {workspace_id("w"), "salt", keyDigest("salt", "secret"), false};
    view.keys[key_id("old")] = {workspace_id("w"), "salt", keyDigest("salt", "secret"), true};
    view.keys[key_id("early")] = {{}, {}, {}, true};
    const auto found = findWorkspaceForKey(view, "bsk_a_1_secret");
    CHECK_TRUE(found.has_value() && found.value() == workspace_id("w"));
    CHECK_TRUE(codeFor(view, "bsk_old_secret") == error_code::key_withdrawn);
    CHECK_TRUE(codeFor(view, "bsk_early_secret") == error_code::key_withdrawn);
    for (const char *key :
         {"", "bsk", "bsk_", "bsk__", "bsk_a_1", "bsk_a_1_", "bsk_a_1_Secret", "bsk_old_other", "xsk_a_1_secret", "bsk__secret"}) {
        CHECK_TRUE(codeFor(view, key) == error_code::unknown_key);
    }
}

// Guards against sending requests to endpoints and instances whose data centre is drained.
TEST(state_views, knowWhatIsDrained)
{
    state_view view;
    view.config.endpoints[endpoint_id("e")].dataCentre = data_centre_id("d");
    CHECK_FALSE(isDrained(view, endpoint_id("e")));
    view.drains[data_centre_id("d")] = {1, true};
    CHECK_TRUE(isDrained(view, endpoint_id("e")));
    CHECK_TRUE(isDrained(view, instance_id("i"), data_centre_id("d")));
    view.drains[data_centre_id("d")] = {2, false};
    CHECK_FALSE(isDrained(view, endpoint_id("e")));
    view.drains[instance_id("e")] = {1, true};
    CHECK_FALSE(isDrained(view, endpoint_id("e")));
    CHECK_TRUE(isDrained(view, instance_id("e"), data_centre_id("d")));
}

// Guards against a diff that omits changes or adds entries.
TEST(state_views, diffLeadsFromOneConfigurationToTheOther)
{
    CHECK_PROPERTY("old + diff(old, new) == new", [](std::uint64_t seed) {
        const generated_log log(seed, 40);
        const snapshot &old = log.stateAfter(20);
        configuration target = log.stateAfter(40).config;
        target.workspaces.erase(target.workspaces.begin(), target.workspaces.upper_bound(workspace_id("0")));
        log_replay reader(generated_log::window, generated_log::window);
        reader.load(old);
        const configuration_change change = diffConfigurations(old.config, target);
        reader.apply({{old.covered + log_offset(1), record_id("r"), change}});
        target.version = old.config.version + configuration_version(1);
        RC_ASSERT(reader.view()->config == target);
        RC_ASSERT(isEmpty(diffConfigurations(target, target)));
    });
}
