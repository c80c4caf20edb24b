#include "policy/request_machine.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "support/property.h"

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

struct request_case
{
    bool isModel = true;
    bool isRetryable = true;
    /// The request carries an idempotency key; this is not the API key.
    bool hasKey = false;
    bool isAnonymousAllowed = false;
};

request_facts factsFor(const request_case &wanted)
{
    request_facts facts;
    facts.id = request_id("r");
    facts.kind = wanted.isModel ? service_kind::model : service_kind::plain;
    facts.workspace = wanted.isAnonymousAllowed ? workspace_id() : workspace_id("w");
    facts.isRetryable = wanted.isRetryable;
    facts.hasIdempotencyKey = wanted.hasKey;
    facts.charge = token_count(30);
    facts.promptCharge = token_count(10);
    facts.maxTokens = token_count(20);
    facts.dispatchUntil = deadline(instant(100s));
    return facts;
}

/// Simulates the environment of one machine: reacts to its actions in any order, with failures, losses and repetitions, and counts what
/// must balance.
class request_simulation
{
public:
    explicit request_simulation(const request_case &wanted)
        : m_case(wanted)
        , m_machine(factsFor(wanted))
    {
        perform(m_machine.start(m_context));
    }

    /// Delivers one random event; the choice comes from the input of the property.
    void step(int choice)
    {
        m_context.now += 10ms;
        m_context.isAuthorised = choice % 17 != 0;
        if (choice % 23 == 0) {
            perform(m_machine.callerDisconnected(m_context));
            return;
        }
        if (m_pending.empty()) {
            return;
        }
        const std::size_t index = static_cast<std::size_t>(choice) % m_pending.size();
        const request_action action = m_pending[index];
        // Some events are repeated, like crossed or duplicated messages.
        if (choice % 7 != 0) {
            m_pending.erase(m_pending.begin() + static_cast<std::ptrdiff_t>(index));
        }
        std::visit([&](const auto &typed) { react(typed, choice / 3); }, action);
    }

    void runToEnd()
    {
        for (int i = 0; i < 10000 && !m_machine.isFinished(); ++i) {
            m_context.isAuthorised = true;
            if (m_pending.empty()) {
                perform(m_machine.callerDisconnected(m_context));
                if (!m_machine.isFinished()) {
                    perform(m_machine.attemptFailed(m_lastAttempt, {{error_code::connection_lost, "lost"}, false}, m_context));
                }
                continue;
            }
            const request_action action = m_pending.front();
            m_pending.erase(m_pending.begin());
            std::visit([&](const auto &typed) { react(typed, 1); }, action);
        }
        // Slot requests that are still undecided are left out: they hold no slot, and the router itself releases a slot that is granted
        // after the request has ended.
    }

    void check() const
    {
        RC_ASSERT(m_machine.isFinished());
        RC_ASSERT(m_terminalAnswers <= 1);
        RC_ASSERT(m_finished == 1);
        RC_ASSERT(m_claimsWon == m_claimEnds);
        RC_ASSERT(m_charges == m_settlements);
        for (const auto &[endpoint, held] : m_slots) {
            RC_ASSERT(held == 0);
        }
        if (!m_case.isRetryable) {
            RC_ASSERT(m_callsThatMayHaveRun.size() <= 1);
        }
        if (m_isNotRunClaimed && !m_case.isRetryable) {
            RC_ASSERT(m_callsThatMayHaveRun.empty());
        }
    }

private:
    void perform(const request_actions &actions)
    {
        for (const request_action &action : actions) {
            std::visit([this](const auto &typed) { recordAction(typed); }, action);
        }
    }

    template<typename Action>
    void recordAction(const Action &action)
    {
        m_pending.emplace_back(action);
    }

    void recordAction(const settle_action & /*action*/)
    {
        ++m_settlements;
    }

    void recordAction(const end_claim_action & /*action*/)
    {
        ++m_claimEnds;
    }

    void recordAction(const release_slot_action &action)
    {
        --m_slots[action.endpoint.value()];
    }

    void recordAction(const plain_call_action &action)
    {
        m_callsThatMayHaveRun.insert(action.attempt);
        m_lastAttempt = action.attempt;
        m_pending.emplace_back(action);
    }

    void recordAction(const finish_response_action & /*action*/)
    {
        ++m_terminalAnswers;
    }

    void recordAction(const relay_plain_response_action & /*action*/)
    {
        ++m_terminalAnswers;
    }

    void recordAction(const replay_response_action & /*action*/)
    {
        ++m_terminalAnswers;
    }

    void recordAction(const refuse_action &action)
    {
        ++m_terminalAnswers;
        m_isNotRunClaimed = action.isNotExecuted;
    }

    void recordAction(const finished_action & /*action*/)
    {
        ++m_finished;
    }

    template<typename Action>
    void react(const Action & /*action*/, int /*choice*/)
    {
    }

    void react(const charge_action & /*action*/, int choice)
    {
        if (m_isCharged) {
            return;
        }
        m_isCharged = true;
        const bool isGranted = choice % 5 != 0;
        m_charges += isGranted ? 1 : 0;
        perform(m_machine.charged(isGranted, std::nullopt, m_context));
    }

    void react(const claim_action & /*action*/, int choice)
    {
        if (m_isClaimed) {
            return;
        }
        m_isClaimed = true;
        // One of the six values of claim_result. The value 0 (won) is the most frequent, so that more requests reach the dispatch.
        const auto result = static_cast<claim_result>(choice % 8 > 5 ? 0 : choice % 6);
        m_claimsWon += result == claim_result::won ? 1 : 0;
        perform(m_machine.claimed(result, m_context));
    }

    void react(const enqueue_action & /*action*/, int choice)
    {
        if (choice % 11 == 0) {
            perform(m_machine.queueExpired(m_context));
        } else if (choice % 13 == 0) {
            perform(m_machine.shed(m_context));
        } else {
            perform(m_machine.dequeued(m_context));
        }
    }

    void react(const list_candidates_action &action, int choice)
    {
        // Prefill endpoints are named p0, p1, ..., decode endpoints d0, d1, ... and endpoints of plain services s0, s1, ...
        const std::string prefix = action.role == endpoint_role::prefill ? "p" : action.role == endpoint_role::decode ? "d" : "s";
        std::vector<endpoint_id> candidates;
        candidates.reserve(static_cast<std::size_t>(choice % 4));
        for (int i = 0; i < choice % 4; ++i) {
            candidates.emplace_back(prefix + std::to_string(i));
        }
        perform(m_machine.candidatesListed(action.role, candidates, m_context));
    }

    void react(const request_slot_action &action, int choice)
    {
        const bool isGranted = choice % 3 != 0;
        if (isGranted) {
            // The instance that owns the endpoint's slots grants one slot per request, however often it is requested.
            int &held = m_slots[action.endpoint.value()];
            held = 1;
        }
        if (m_machine.isFinished()) {
            // The router releases slots that are granted to a request that has ended.
            m_slots[action.endpoint.value()] = 0;
            return;
        }
        perform(m_machine.slotDecided(action.endpoint, isGranted, m_context));
    }

    void react(const prefill_action &action, int choice)
    {
        m_lastAttempt = action.attempt;
        if (choice % 4 == 0) {
            fail(action.attempt, choice);
        } else {
            perform(m_machine.prefillDone(action.attempt, m_context));
        }
    }

    void react(const decode_action &action, int choice)
    {
        m_lastAttempt = action.attempt;
        stream(action.attempt, 0, choice);
    }

    void react(const resume_action &action, int choice)
    {
        m_lastAttempt = action.attempt;
        stream(action.attempt, action.from, choice);
    }

    void stream(const attempt_id &attempt, std::int64_t from, int choice)
    {
        for (std::int64_t position = from; position < from + choice % 5; ++position) {
            perform(m_machine.decodeEvent(attempt, position + (choice % 19 == 0 ? 1 : 0), "t", m_context));
        }
        if (choice % 4 == 0) {
            fail(attempt, choice);
        } else {
            perform(m_machine.decodeDone(attempt, token_count(10), token_count(5), m_context));
        }
    }

    void react(const plain_call_action &action, int choice)
    {
        if (choice % 3 == 0) {
            // Whether a call may have run is determined by its first event. A repeated failure reports the same as the first event: a call
            // that has ended and is no longer among those that may have run was not sent.
            const bool isNotSent =
                m_endedCalls.contains(action.attempt) ? !m_callsThatMayHaveRun.contains(action.attempt) : choice % 2 == 0;
            if (m_endedCalls.insert(action.attempt).second && isNotSent) {
                m_callsThatMayHaveRun.erase(action.attempt);
            }
            perform(m_machine.attemptFailed(action.attempt, {{error_code::connection_lost, "lost"}, isNotSent}, m_context));
        } else {
            if (m_endedCalls.insert(action.attempt).second) {
                perform(m_machine.plainDone(action.attempt, 200, m_context));
            }
        }
    }

    void fail(const attempt_id &attempt, int choice)
    {
        perform(m_machine.attemptFailed(attempt, {{error_code::connection_lost, "lost"}, choice % 2 == 0}, m_context));
    }

    request_case m_case;
    request_machine m_machine;
    event_context m_context {instant(1s), true};
    std::vector<request_action> m_pending;
    std::map<std::string, int> m_slots;
    attempt_id m_lastAttempt;
    int m_terminalAnswers = 0;
    int m_finished = 0;
    int m_charges = 0;
    int m_settlements = 0;
    int m_claimsWon = 0;
    int m_claimEnds = 0;
    std::set<attempt_id> m_callsThatMayHaveRun;
    std::set<attempt_id> m_endedCalls;
    /// The refusal states that the request was not executed. Unrelated to the claim of an idempotency key.
    bool m_isNotRunClaimed = false;
    bool m_isCharged = false;
    /// The claim of the idempotency key has been decided.
    bool m_isClaimed = false;
};

template<typename Action>
const Action *findAction(const request_actions &actions)
{
    for (const request_action &action : actions) {
        if (const auto *found = std::get_if<Action>(&action)) {
            return found;
        }
    }
    return nullptr;
}

/// A machine for a model request that has reached its decode stream.
struct decoding_request
{
    event_context context {instant(1s), true};
    /// A retryable model request with an API key and without an idempotency key.
    request_machine machine {factsFor({true, true, false, false})};
    attempt_id attempt;

    decoding_request()
    {
        machine.start(context);
        machine.charged(true, std::nullopt, context);
        decodeAgain();
    }

    void decodeAgain()
    {
        machine.dequeued(context);
        machine.candidatesListed(endpoint_role::decode, {endpoint_id("d")}, context);
        machine.candidatesListed(endpoint_role::prefill, {endpoint_id("p")}, context);
        machine.slotDecided(endpoint_id("d"), true, context);
        const request_actions dispatched = machine.slotDecided(endpoint_id("p"), true, context);
        const request_actions started = machine.prefillDone(findAction<prefill_action>(dispatched)->attempt, context);
        attempt = findAction<decode_action>(started)->attempt;
    }
};

} // namespace

TEST_GROUP(request_machines) {};

// Guards against a request that is answered twice, a slot, charge or claim that is not given back, and a second dispatch of a call that
// must not be repeated, under any order of responses, failures, repetitions and a disconnecting caller.
TEST(request_machines, giveBackEverythingTheyTake)
{
    CHECK_PROPERTY("one answer, nothing left held",
                   [](bool isModel, bool isRetryable, bool hasKey, bool isAnonymousAllowed, const std::vector<std::uint8_t> &choices) {
                       request_simulation simulation({isModel, isModel || isRetryable, hasKey, isAnonymousAllowed});
                       for (const std::uint8_t choice : choices) {
                           simulation.step(choice + 1);
                       }
                       simulation.runToEnd();
                       simulation.check();
                   });
}

// Guards against a late event of an earlier attempt that gets into the answer.
TEST(request_machines, ignoreEventsOfEarlierAttempts)
{
    decoding_request decoding;
    const attempt_id first = decoding.attempt;
    decoding.machine.decodeEvent(first, 0, "a", decoding.context);
    const request_actions resumed = decoding.machine.attemptFailed(first, {{error_code::connection_lost, "lost"}, false}, decoding.context);
    const auto *resume = findAction<resume_action>(resumed);
    CHECK_TRUE(resume != nullptr);
    CHECK_EQUAL(1, resume->from);
    CHECK_TRUE(decoding.machine.decodeEvent(first, 1, "late", decoding.context).empty());
    CHECK_TRUE(findAction<relay_event_action>(decoding.machine.decodeEvent(resume->attempt, 1, "b", decoding.context)) != nullptr);
    STRCMP_EQUAL("ab", decoding.machine.generated().c_str());
}

// Guards against an event that is forwarded twice when the engine sends it again, as it does when a resumed stream starts too early. The
// test delivers the same event twice within one attempt.
TEST(request_machines, forwardEachPositionOnce)
{
    decoding_request decoding;
    decoding.machine.decodeEvent(decoding.attempt, 0, "a", decoding.context);
    CHECK_TRUE(decoding.machine.decodeEvent(decoding.attempt, 0, "a", decoding.context).empty());
}

// Guards against losing the rest of an answer when an engine fails. The request is queued again and continues after the generated text at
// the engine that it gets next, which is "d" again in this test.
TEST(request_machines, continueAtAnotherEngineWithTheGeneratedText)
{
    decoding_request decoding;
    decoding.machine.decodeEvent(decoding.attempt, 0, "a", decoding.context);
    attempt_id attempt = decoding.attempt;
    // A run is resumed at most twice; after the next failure the request is queued again.
    for (int i = 0; i < 2; ++i) {
        const auto failed = decoding.machine.attemptFailed(attempt, {{error_code::connection_refused, "gone"}, true}, decoding.context);
        attempt = findAction<resume_action>(failed)->attempt;
    }
    const auto requeued = decoding.machine.attemptFailed(attempt, {{error_code::connection_refused, "gone"}, true}, decoding.context);
    CHECK_TRUE(findAction<enqueue_action>(requeued) != nullptr);
    decoding.decodeAgain();
    STRCMP_EQUAL("a", decoding.machine.generated().c_str());
    CHECK_EQUAL(19, decoding.machine.remainingTokens().value());
    const auto next = decoding.machine.decodeEvent(decoding.attempt, 0, "b", decoding.context);
    CHECK_TRUE(findAction<relay_event_action>(next) != nullptr);
    const auto done = decoding.machine.decodeDone(decoding.attempt, token_count(11), token_count(1), decoding.context);
    CHECK_EQUAL(12, findAction<settle_action>(done)->actual.value());
}

// Guards against the dispatch of a request whose API key was withdrawn while it waited.
TEST(request_machines, refuseAWithdrawnKeyAtDispatch)
{
    // A retryable plain request with an API key and without an idempotency key.
    request_machine machine(factsFor({false, true, false, false}));
    event_context context {instant(1s), true};
    machine.start(context);
    machine.charged(true, std::nullopt, context);
    machine.dequeued(context);
    machine.candidatesListed(endpoint_role::plain, {endpoint_id("s")}, context);
    context.isAuthorised = false;
    const auto actions = machine.slotDecided(endpoint_id("s"), true, context);
    const auto *refused = findAction<refuse_action>(actions);
    CHECK_TRUE(refused != nullptr && refused->isNotExecuted);
    CHECK_TRUE(findAction<plain_call_action>(actions) == nullptr);
    CHECK_TRUE(findAction<release_slot_action>(actions) != nullptr);
}

// Guards against "not run" for a call that may have run, and against releasing the claim of such a call.
TEST(request_machines, reportAnUnknownOutcomeWhenACallMayHaveRun)
{
    // A plain request that must not be repeated, with an API key and an idempotency key.
    request_machine machine(factsFor({false, false, true, false}));
    const event_context context {instant(1s), true};
    machine.start(context);
    machine.charged(true, std::nullopt, context);
    machine.claimed(claim_result::won, context);
    machine.dequeued(context);
    machine.candidatesListed(endpoint_role::plain, {endpoint_id("s")}, context);
    const auto dispatched = machine.slotDecided(endpoint_id("s"), true, context);
    const auto failed =
        machine.attemptFailed(findAction<plain_call_action>(dispatched)->attempt, {{error_code::connection_lost, "lost"}, false}, context);
    const auto *refused = findAction<refuse_action>(failed);
    CHECK_TRUE(refused != nullptr && !refused->isNotExecuted);
    CHECK_TRUE(refused->cause.code == error_code::outcome_unknown);
    CHECK_TRUE(findAction<end_claim_action>(failed)->ending == claim_ending::unknown);
}
