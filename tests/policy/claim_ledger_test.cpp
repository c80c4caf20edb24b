#include "policy/claim_ledger.h"

#include "state/log_replay.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "support/property.h"

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t instanceCount = 3;
constexpr auto claimTime = 2s;

claim claimFor(int key, int request)
{
    claim wanted;
    wanted.id = {workspace_id("w"), idempotency_key("k" + std::to_string(key))};
    wanted.request = request_id("r" + std::to_string(request));
    wanted.fingerprint = "f" + std::to_string(key);
    return wanted;
}

/// Simulates several instances and a log that loses, delays and duplicates appends. Counts how often the call of each idempotency key runs.
class claim_simulation
{
public:
    explicit claim_simulation(bool dispatchesBeforeReadBack = false)
        : m_isUnsafe(dispatchesBeforeReadBack)
    {
        for (std::size_t i = 0; i < instanceCount; ++i) {
            m_instances.push_back(std::make_unique<instance_state>(i, m_incarnations++));
        }
    }

    void step(std::uint8_t choice, std::uint8_t detail)
    {
        m_now += std::chrono::milliseconds(detail % 8 * 50);
        instance_state &chosen = *m_instances[detail % instanceCount];
        switch (choice % 9) {
        case 0:
        case 1:
            requestClaim(chosen, detail % 4);
            break;
        case 2:
            m_isLogDown = detail % 3 == 0;
            break;
        case 3:
            deliverAppend(detail);
            break;
        case 4:
        case 5:
            read(chosen);
            break;
        case 6:
            endOneCall(chosen, detail);
            break;
        case 7:
            // The process is killed and restarts as a new incarnation without state.
            m_instances[detail % instanceCount] = std::make_unique<instance_state>(detail % instanceCount, m_incarnations++);
            break;
        default:
            tick(chosen);
        }
    }

    void check() const
    {
        for (const auto &[key, runs] : m_runs) {
            RC_ASSERT(runs <= 1);
        }
    }

    bool hasDoubleRun() const
    {
        return std::any_of(m_runs.begin(), m_runs.end(), [](const auto &entry) { return entry.second > 1; });
    }

private:
    struct instance_state
    {
        instance_state(std::size_t index, int incarnation)
            : self("i" + std::to_string(incarnation))
            , ledger(self, random_source(index + 1))
            , replay(24h)
        {
        }

        incarnation_id self;
        claim_ledger ledger;
        log_replay replay;
        std::size_t next = 0;
        std::vector<claim> wanted;
        std::vector<claim> won;
    };

    void requestClaim(instance_state &instance, int key)
    {
        const claim wanted = claimFor(key, m_requests++);
        instance.wanted.push_back(wanted);
        if (m_isUnsafe) {
            dispatch(wanted);
        }
        perform(instance, instance.ledger.requestClaim(wanted, deadline::after(m_now, claimTime), m_now));
    }

    void tick(instance_state &instance)
    {
        perform(instance, instance.ledger.tick(m_now, std::chrono::duration_cast<record_time>(m_now.time_since_epoch())));
    }

    void read(instance_state &instance)
    {
        if (m_isLogDown || instance.next >= m_log.size()) {
            return;
        }
        const stored_record record = m_log[instance.next++];
        const replay_result result = instance.replay.apply({record});
        std::vector<claim_state> states;
        for (const claim_id &id : result.changedClaims) {
            states.push_back(instance.replay.claims().at(id));
        }
        perform(instance, instance.ledger.claimsReplayed(states, {result.expiredClaims.begin(), result.expiredClaims.end()}, m_now));
    }

    // An append in flight reaches the log now, later, twice or never.
    void deliverAppend(std::uint8_t detail)
    {
        if (m_appendsInFlight.empty()) {
            return;
        }
        const std::size_t index = detail % m_appendsInFlight.size();
        const auto [id, record] = m_appendsInFlight[index];
        if (detail % 5 != 0) {
            m_appendsInFlight.erase(m_appendsInFlight.begin() + static_cast<std::ptrdiff_t>(index));
        }
        if (detail % 7 != 0) {
            m_log.push_back({log_offset(static_cast<std::int64_t>(m_log.size())), id, record});
        }
    }

    void endOneCall(instance_state &instance, std::uint8_t detail)
    {
        if (instance.won.empty()) {
            return;
        }
        const claim ended = instance.won.back();
        instance.won.pop_back();
        claim_outcome result = {ended.id, ended.request, false, 200, {}, {}};
        perform(instance, instance.ledger.end(result, m_now));
        tick(instance);
        (void)detail;
    }

    void perform(instance_state &instance, const claim_ledger_actions &actions)
    {
        for (const claim_ledger_action &action : actions) {
            if (const auto *append = std::get_if<append_claims>(&action)) {
                m_appendsInFlight.emplace_back(append->id, append->record);
            } else {
                decide(instance, std::get<decide_claim>(action));
            }
        }
    }

    void decide(instance_state &instance, const decide_claim &decision)
    {
        const auto wanted = std::find_if(
            instance.wanted.begin(), instance.wanted.end(), [&](const claim &entry) { return entry.request == decision.request; });
        RC_ASSERT(wanted != instance.wanted.end());
        const claim decided = *wanted;
        instance.wanted.erase(wanted);
        if (decision.result != claim_result::won) {
            return;
        }
        if (m_requests % 5 == 0) {
            // The request is shed before it is dispatched.
            claim_outcome released = {decided.id, decided.request, true, 0, {}, {}};
            perform(instance, instance.ledger.end(released, m_now));
            return;
        }
        instance.won.push_back(decided);
        if (!m_isUnsafe) {
            dispatch(decided);
        }
    }

    void dispatch(const claim &run)
    {
        ++m_runs[run.id.key.value()];
    }

    bool m_isUnsafe;
    instant m_now {100s};
    std::vector<std::unique_ptr<instance_state>> m_instances;
    std::vector<std::pair<record_id, log_record>> m_appendsInFlight;
    std::vector<stored_record> m_log;
    std::map<std::string, int> m_runs;
    bool m_isLogDown = false;
    int m_requests = 0;
    int m_incarnations = 0;
};

using simulation_steps = std::vector<std::pair<std::uint8_t, std::uint8_t>>;

} // namespace

TEST_GROUP(claim_ledgers) {};

// Guards against a call that runs twice when it is sent again through other instances, while processes are killed, the log fails, and
// appends are lost, delayed or duplicated.
TEST(claim_ledgers, runEachKeyAtMostOnce)
{
    CHECK_PROPERTY("at most one run for each key", [] {
        const auto steps = *rc::gen::resize(400, rc::gen::arbitrary<simulation_steps>());
        claim_simulation simulation;
        for (const auto &[choice, detail] : steps) {
            simulation.step(choice, detail);
        }
        simulation.check();
    });
}

// Guards against a simulation that cannot fail: with a dispatch before the claim is read back, a key must be seen to run twice.
TEST(claim_ledgers, simulationDetectsADispatchBeforeReadBack)
{
    claim_simulation simulation(true);
    for (int i = 0; i < 4; ++i) {
        simulation.step(0, static_cast<std::uint8_t>(i * 4));
    }
    CHECK_TRUE(simulation.hasDoubleRun());
}

// Guards against a separate append for each call when many calls arrive together.
TEST(claim_ledgers, shareAppends)
{
    claim_ledger ledger(incarnation_id("i"), random_source(1));
    const instant now(100s);
    ledger.requestClaim(claimFor(0, 0), deadline::after(now, claimTime), now);
    CHECK_EQUAL(1U, ledger.tick(now, 1000ms).size());
    for (int i = 1; i <= 200; ++i) {
        ledger.requestClaim(claimFor(i, i), deadline::after(now, claimTime), now);
        CHECK_EQUAL(0U, ledger.tick(now + 10ms, 1000ms).size());
    }
    claim_state first;
    first.winner = claimFor(0, 0);
    first.winner.claimant = incarnation_id("i");
    ledger.claimsReplayed({first}, {}, now + 20ms);
    const auto actions = ledger.tick(now + 100ms, 1100ms);
    CHECK_EQUAL(1U, actions.size());
    CHECK_EQUAL(200U, std::get<claim_batch>(std::get<append_claims>(actions.front()).record).claims.size());
    CHECK_EQUAL(2U, ledger.appendCount());
}

// Guards against a claim that remains held for a request that has given up, so that every later request with the same key is refused.
TEST(claim_ledgers, releaseAClaimWhoseRequestHasGivenUp)
{
    claim_ledger ledger(incarnation_id("i"), random_source(1));
    const instant now(100s);
    ledger.requestClaim(claimFor(0, 0), deadline::after(now, claimTime), now);
    ledger.tick(now, 1000ms);
    const auto late = ledger.tick(now + claimTime, 3000ms);
    CHECK_TRUE(std::get<decide_claim>(late.front()).result == claim_result::unavailable);
    claim_state state;
    state.winner = claimFor(0, 0);
    state.winner.claimant = incarnation_id("i");
    ledger.claimsReplayed({state}, {}, now + 3s);
    const auto actions = ledger.tick(now + 3s, 4000ms);
    const auto &batch = std::get<outcome_batch>(std::get<append_claims>(actions.front()).record);
    CHECK_TRUE(batch.outcomes.front().isReleased);
}
