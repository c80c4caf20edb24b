#include "policy/slot_ledger.h"

#include "support/property.h"

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

const endpoint_id endpoint("e");
constexpr slot_count total(5);

incarnation_id memberName(int number)
{
    return incarnation_id("m" + std::to_string(number));
}

request_id requestName(int number)
{
    return request_id("r" + std::to_string(number));
}

/// Simulates members that request, hold and release slots of one endpoint, with lost and repeated messages and changing owners. The slots
/// that the members hold are the reference for the owner's ledger.
class slot_simulation
{
public:
    slot_simulation()
    {
        takeOver();
        for (int i = 0; i < 4; ++i) {
            m_living.insert(memberName(i));
        }
    }

    void step()
    {
        m_now += std::chrono::milliseconds(*rc::gen::inRange(0, 2000));
        const int member = *rc::gen::inRange(0, 4);
        // A request belongs to the member that accepted it.
        const int request = member + 4 * *rc::gen::inRange(0, 6);
        switch (*rc::gen::weightedElement<int>({{10, 0}, {6, 1}, {1, 2}, {1, 3}, {2, 4}, {1, 5}, {2, 6}})) {
        case 0:
            ask(member, request);
            break;
        case 1:
            freeSlot(request);
            break;
        case 2:
            failMember(member);
            break;
        case 3:
            takeOver();
            break;
        case 4:
            m_ledger.applyHoldings(memberName(member), heldBy(member), m_now);
            break;
        case 5:
            m_starts += 1;
            m_successes = 0;
            reportLoad();
            break;
        default:
            reportLoad();
        }
    }

    void releaseEverything()
    {
        for (int request = 0; request < 24; ++request) {
            if (m_held.erase(requestName(request)) > 0) {
                m_ledger.freeSlot(endpoint, requestName(request), attempt_verdict::cancelled);
            }
        }
        // Grants whose response or release was lost are released by the next list of their member.
        m_now += 10s;
        for (int member = 0; member < 4; ++member) {
            m_ledger.applyHoldings(memberName(member), {}, m_now);
        }
        reportLoad();
        reportLoad();
        reportLoad();
        RC_ASSERT(m_ledger.load(endpoint).used == slot_count(0));
    }

private:
    void ask(int member, int request)
    {
        const slot_load before = m_ledger.load(endpoint);
        const slot_load answer = m_ledger.ask(endpoint, memberName(member), requestName(request), m_now);
        const bool isNew = answer.used > before.used;
        RC_ASSERT(answer.limit <= slot_count(1 + m_successes));
        RC_ASSERT(answer.limit <= total);
        RC_ASSERT(!isNew || (answer.used <= answer.limit && m_grantsFrom.hasPassed(m_now)));
        const bool isAnswerLost = *rc::gen::weightedElement<bool>({{1, true}, {6, false}});
        if (answer.isGranted && !isAnswerLost) {
            m_held[requestName(request)] = memberName(member);
            RC_ASSERT(!isNew || slot_count(static_cast<std::int64_t>(m_held.size())) <= answer.limit);
        }
    }

    void freeSlot(int request)
    {
        m_held.erase(requestName(request));
        const int copies = *rc::gen::inRange(0, 3);
        const bool isSuccess = *rc::gen::arbitrary<bool>();
        m_successes += copies > 0 && isSuccess ? 1 : 0;
        for (int i = 0; i < copies; ++i) {
            m_ledger.freeSlot(endpoint, requestName(request), isSuccess ? attempt_verdict::succeeded : attempt_verdict::slow);
        }
    }

    // The member's machine fails. A new incarnation replaces it, under the same name in this test.
    void failMember(int member)
    {
        std::erase_if(m_held, [&](const auto &item) { return item.second == memberName(member); });
        m_living.erase(memberName(member));
        for (const auto &[freedEndpoint, request] : m_ledger.releaseOrphanedSlots(m_living, m_now)) {
            RC_ASSERT(!m_held.contains(request));
        }
        m_living.insert(memberName(member));
    }

    void takeOver()
    {
        m_ledger = slot_ledger();
        m_successes = 0;
        m_grantsFrom = deadline::after(m_now, 3s);
        m_ledger.own(endpoint, total, m_grantsFrom);
        for (int member = 0; member < 4; ++member) {
            m_ledger.applyHoldings(memberName(member), heldBy(member), m_now);
        }
    }

    void reportLoad()
    {
        m_ledger.observeLoad(
            endpoint, incarnation_id(std::to_string(m_starts)), slot_count(static_cast<std::int64_t>(m_held.size())), total);
    }

    std::vector<held_slot> heldBy(int member) const
    {
        std::vector<held_slot> list;
        for (const auto &[request, holder] : m_held) {
            if (holder == memberName(member)) {
                list.emplace_back(endpoint, request);
            }
        }
        return list;
    }

    slot_ledger m_ledger;
    instant m_now {100s};
    deadline m_grantsFrom;
    std::set<incarnation_id> m_living;
    std::map<request_id, incarnation_id> m_held;
    int m_successes = 0;
    int m_starts = 0;
};

} // namespace

TEST_GROUP(slot_ledgers) {};

// Guards against an endpoint that gets more requests than it has slots, and against slots that stay held by requests that have ended.
TEST(slot_ledgers, stayWithinTheLimitUnderAnyInterleaving)
{
    CHECK_PROPERTY("no grant over the limit, and all slots are released", [] {
        slot_simulation simulation;
        const int steps = *rc::gen::inRange(0, 150);
        for (int i = 0; i < steps; ++i) {
            simulation.step();
        }
        simulation.releaseEverything();
    });
}

// Guards against an engine that keeps running the requests of an instance that has died or fallen silent.
TEST(slot_ledgers, returnTheRequestsOfDeadMembers)
{
    slot_ledger ledger;
    const instant now(100s);
    ledger.own(endpoint, total, deadline());
    CHECK_TRUE(ledger.ask(endpoint, memberName(1), requestName(1), now).isGranted);
    CHECK_TRUE(ledger.releaseOrphanedSlots({memberName(1)}, now + 1s).empty());
    CHECK_TRUE((ledger.releaseOrphanedSlots({memberName(2)}, now + 1s) == std::vector<held_slot> {{endpoint, requestName(1)}}));
    CHECK_TRUE(ledger.ask(endpoint, memberName(1), requestName(2), now).isGranted);
    ledger.applyHoldings(memberName(1), {{endpoint, requestName(2)}}, now + 60s);
    CHECK_TRUE(ledger.releaseOrphanedSlots({memberName(1)}, now + 100s).empty());
    CHECK_EQUAL(1U, ledger.releaseOrphanedSlots({memberName(1)}, now + 200s).size());
}

// Guards against a new owner that grants slots which requests of a dead owner still use at the engine.
TEST(slot_ledgers, countRequestsKnownOnlyToTheEngine)
{
    slot_ledger ledger;
    const instant now(100s);
    ledger.own(endpoint, total, deadline());
    ledger.observeLoad(endpoint, incarnation_id("i"), slot_count(4), total);
    CHECK_FALSE(ledger.ask(endpoint, memberName(1), requestName(1), now).isGranted);
    ledger.observeLoad(endpoint, incarnation_id("i"), slot_count(0), total);
    CHECK_TRUE(ledger.ask(endpoint, memberName(1), requestName(1), now).isGranted);
}

// Guards against a window that a new owner has grown with the successes of an earlier incarnation of the endpoint. Minimal case of the
// property above: a change of owner, the success of an inherited request, a restart of the endpoint, a slot request.
TEST(slot_ledgers, resetTheWindowWithTheFirstReport)
{
    slot_ledger ledger;
    const instant now(100s);
    ledger.own(endpoint, total, deadline());
    ledger.applyHoldings(memberName(0), {{endpoint, requestName(0)}}, now);
    ledger.freeSlot(endpoint, requestName(0), attempt_verdict::succeeded);
    ledger.observeLoad(endpoint, incarnation_id("restarted"), slot_count(0), total);
    const slot_load answer = ledger.ask(endpoint, memberName(0), requestName(1), now);
    CHECK_TRUE(answer.isGranted);
    CHECK_TRUE(answer.limit == slot_count(1));
    ledger.freeSlot(endpoint, requestName(1), attempt_verdict::succeeded);
    CHECK_TRUE(ledger.load(endpoint).limit == slot_count(2));
}
