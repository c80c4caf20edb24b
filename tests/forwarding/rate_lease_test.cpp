#include "forwarding/quota_broker.h"
#include "forwarding/quota_plan.h"

#include "core/random_source.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>

#include "support/property.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

constexpr double rate = 600'000.0;
constexpr double burst = 600'000.0;
constexpr quota_tolerance tolerance {190'000.0, 0.1, 8000ms};
constexpr std::int64_t parts = 4;
const workspace_id workspace("w");

/// What goes wrong, per request or per step of 2 ms on average.
struct fault_rates
{
    double lostMessage = 0.0;
    double lateResponse = 0.0;
    double pause = 0.0;
    double restart = 0.0;
    double move = 0.0;
    double partition = 0.0;
};

/// Instances that share a workspace's quota over a network with faults. Counts what leases and the pool grant, apart from the shares.
class leasing_fleet
{
public:
    leasing_fleet(std::size_t count, std::uint64_t seed, fault_rates faults)
        : m_random(seed)
        , m_faults(faults)
        , m_pausedUntil(count)
        , m_isCutOff(count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            m_brokers.push_back(makeBroker(i));
        }
        assign(0);
    }

    void offer(double load, std::chrono::milliseconds time)
    {
        const instant until = m_now + time;
        while (m_now < until) {
            const double cost = 1500.0 + 4000.0 * m_random.uniform();
            m_now += std::chrono::duration_cast<boot_clock::duration>(std::chrono::duration<double>(cost / (rate * load)));
            while (!m_events.empty() && m_events.begin()->first <= m_now) {
                m_events.extract(m_events.begin()).mapped()();
            }
            cause();
            request(draw(), cost);
        }
    }

    /// Instances read the lower limit within a second.
    void lowerLimit(double factor)
    {
        m_factor = factor;
        m_lowerBinds = m_now + 1s + tolerance.window;
        for (std::size_t i = 0; i < m_brokers.size(); ++i) {
            m_events.emplace(m_now + std::chrono::milliseconds(static_cast<int>(1000 * m_random.uniform())),
                             [this, i] { m_brokers[i].setPlan(quotaPlan(rate * m_factor, burst * m_factor), m_now); });
        }
    }

    void cutOff(std::size_t count, bool isCutOff)
    {
        std::fill_n(m_isCutOff.rbegin(), count, isCutOff);
        asked = refused = refusedInCut = askedInCut = 0;
    }

    void move(std::size_t holder)
    {
        m_brokers[m_holder].setHeldPartitions({}, deadline::after(m_now, 5700ms), m_now);
        assign(holder);
    }

    bool isWithinQuota = true;
    int asked = 0;
    int refused = 0;
    int askedInCut = 0;
    int refusedInCut = 0;
    double leased = 0.0;

private:
    static instance_id nameOf(std::size_t index)
    {
        return instance_id(std::to_string(index));
    }

    static std::size_t indexOf(const peer_instance &named)
    {
        return std::stoul(named.instance.value());
    }

    quota_broker makeBroker(std::size_t index) const
    {
        quota_broker made(nameOf(index), tolerance, parts);
        made.setInstanceCount(static_cast<std::int64_t>(m_pausedUntil.size()), m_now);
        made.setPlan(quotaPlan(rate * m_factor, burst * m_factor), m_now);
        return made;
    }

    std::size_t draw()
    {
        return static_cast<std::size_t>(m_random.uniform() * static_cast<double>(m_brokers.size()));
    }

    bool happens(double probability)
    {
        return m_random.uniform() < probability;
    }

    void assign(std::size_t holder)
    {
        m_holder = holder;
        m_confirmedAt = m_now;
        m_brokers[m_holder].setHeldPartitions({m_brokers[m_holder].partitionOf(workspace)}, deadline::after(m_now, 5700ms), m_now);
    }

    void cause()
    {
        if (happens(m_faults.pause)) {
            m_pausedUntil[draw()] = m_now + std::chrono::milliseconds(static_cast<int>(9000 * m_random.uniform()));
        }
        if (happens(m_faults.restart)) {
            const std::size_t restarted = draw();
            m_brokers[restarted] = makeBroker(restarted);
        }
        if (happens(m_faults.partition)) {
            std::fill(m_isCutOff.begin(), m_isCutOff.end(), false);
            std::fill_n(m_isCutOff.begin(), draw(), true);
        }
        if (m_now - m_confirmedAt > 6s) {
            assign(draw());
        } else if (happens(m_faults.move)) {
            move(draw());
        } else if (m_now - m_confirmedAt > 1s && m_pausedUntil[m_holder] <= m_now) {
            assign(m_holder);
        }
    }

    void request(std::size_t index, double cost)
    {
        if (m_pausedUntil[index] > m_now) {
            return;
        }
        quota_broker &requester = m_brokers[index];
        quota_decision decision = requester.ask(workspace, cost, m_now);
        if (const auto *pending = std::get_if<quota_pending>(&decision)) {
            decision = exchange(index, *pending);
        }
        if (requester.needsHolderRefresh()) {
            requester.setHolders({{requester.partitionOf(workspace), {nameOf(m_holder), {}}}});
        }
        note(index, decision, cost);
    }

    quota_decision exchange(std::size_t index, const quota_pending &pending)
    {
        const auto holder = indexOf(pending.holder);
        std::optional<pool_response> response;
        const bool isReachable = m_isCutOff[index] == m_isCutOff[holder] && m_pausedUntil[holder] <= m_now;
        if (isReachable && !happens(m_faults.lostMessage)) {
            response = m_brokers[holder].grantFromPool(workspace, nameOf(index), pending.ask, m_now);
        }
        if (response && happens(m_faults.lateResponse)) {
            // What the late response grants is not used, except for the lease.
            const auto late = [this, index, pending, response, sentAt = m_now] {
                m_brokers[index].acceptLease(workspace, pending.holder, *response, sentAt, m_now);
            };
            m_events.emplace(m_now + std::chrono::milliseconds(static_cast<int>(3000 * m_random.uniform())), late);
            response.reset();
        }
        if (response && happens(m_faults.lostMessage)) {
            response.reset();
        }
        if (response) {
            m_brokers[index].acceptLease(workspace, pending.holder, *response, m_now, m_now);
        }
        return m_brokers[index].applyHolderResponse(workspace, pending.ask.cost, pending.holder, response, m_now);
    }

    void note(std::size_t index, const quota_decision &decision, double cost)
    {
        const auto *granted = std::get_if<quota_granted>(&decision);
        ++asked;
        refused += granted == nullptr ? 1 : 0;
        askedInCut += m_isCutOff[index] ? 1 : 0;
        refusedInCut += m_isCutOff[index] && granted == nullptr ? 1 : 0;
        if (granted == nullptr) {
            return;
        }
        if (happens(0.05)) {
            if (const auto charged = m_brokers[index].refundCost(granted->grant)) {
                m_brokers[indexOf(*charged)].acceptRefund(workspace, cost);
            }
            return;
        }
        leased += granted->grant.leased;
        add(granted->grant.chargedHolder ? cost : granted->grant.leased, cost);
    }

    // The pool and the leases have what is not in the shares, and a fifth of the tolerance; all together have the quota.
    void add(double pooled, double cost)
    {
        m_runs.push_back({m_now, pooled, cost});
        m_pooled += pooled;
        m_all += cost;
        while (m_runs.front().at < m_now - tolerance.window) {
            m_pooled -= m_runs.front().pooled;
            m_all -= m_runs.front().cost;
            m_runs.pop_front();
        }
        const double factor = m_now < m_lowerBinds ? 1.0 : m_factor;
        const double allowance = (rate * 8.0 + burst) * factor;
        const double slack = tolerance.amountFor(rate * factor, burst * factor);
        const double poolFraction = 1.0 - workspace_shares::evenSplitFraction(static_cast<std::int64_t>(m_brokers.size()));
        isWithinQuota = isWithinQuota && m_pooled <= allowance * poolFraction + 0.2 * slack + 1.0 && m_all <= allowance + slack;
    }

    struct run
    {
        instant at;
        double pooled = 0.0;
        double cost = 0.0;
    };

    random_source m_random;
    fault_rates m_faults;
    instant m_now {std::chrono::seconds(1000)};
    std::vector<quota_broker> m_brokers;
    std::vector<instant> m_pausedUntil;
    std::vector<bool> m_isCutOff;
    std::multimap<instant, std::function<void()>> m_events;
    std::size_t m_holder = 0;
    instant m_confirmedAt;
    double m_factor = 1.0;
    instant m_lowerBinds = instant::max();
    std::deque<run> m_runs;
    double m_pooled = 0.0;
    double m_all = 0.0;
};

} // namespace

TEST_GROUP(rate_leases) {};

// Guards against tokens that are created by lost and late messages, paused and restarted instances, moved partitions, partitions of the
// network and lowered limits: leases that a holder no longer counts, or that are both returned and spent.
TEST(rate_leases, sumStaysWithinTheQuota)
{
    double leased = 0.0;
    CHECK_PROPERTY("leases of a fleet", [&leased](std::uint32_t seed, std::uint8_t size, std::uint8_t kinds) {
        const auto rateOf = [kinds](int bit, double probability) {
            return (kinds >> bit & 1) != 0 ? probability : 0.0;
        };
        const fault_rates faults = {
            rateOf(0, 0.1), rateOf(1, 0.1), rateOf(2, 0.002), rateOf(3, 0.0005), rateOf(4, 0.001), rateOf(5, 0.003)};
        leasing_fleet fleet(17 + size % 60, seed, faults);
        fleet.offer(0.4, 16s);
        fleet.offer(4.0, 6s);
        fleet.offer(0.3, 10s);
        if ((kinds >> 6 & 1) != 0) {
            fleet.lowerLimit(0.5);
        }
        fleet.offer(3.0, 12s);
        leased += fleet.leased;
        RC_ASSERT(fleet.isWithinQuota);
    });
    CHECK(leased > 0.0);
}

// Guards against rate that is both leased and granted: by a holder that no longer hears of its leases, and by the next holder, which never
// heard of them. Both are asked for more than the rate while the instances that are cut off spend their leases.
TEST(rate_leases, areCountedByHoldersThatDoNotHearOfThem)
{
    for (const bool isMoved : {false, true}) {
        leasing_fleet fleet(64, 3, {});
        fleet.offer(0.5, 30s);
        fleet.cutOff(62, true);
        if (isMoved) {
            fleet.move(1);
        }
        fleet.offer(60.0, 10s);
        CHECK(fleet.leased > rate);
        CHECK(fleet.isWithinQuota);
    }
}

// Guards against refusals within the quota in a data centre that is cut off from the holder for as long as the holder keeps its partition:
// 390 of 1,017 requests in 7 s of one day. Without leases 0.7 are refused. An unused lease must not starve the pool afterwards.
TEST(rate_leases, serveADataCentreThatIsCutOff)
{
    int asked = 0;
    int refused = 0;
    for (const std::uint64_t seed : {5, 6, 7, 8}) {
        leasing_fleet fleet(64, seed, {});
        fleet.offer(0.5, 40s);
        fleet.cutOff(21, true);
        fleet.offer(0.5, 5700ms);
        asked += fleet.askedInCut;
        refused += fleet.refusedInCut;
        // The holder is asked again within half a second.
        fleet.cutOff(21, false);
        fleet.offer(0.5, 1s);
        fleet.cutOff(21, false);
        fleet.offer(0.5, 20s);
        LONGS_EQUAL(0, fleet.refused);
        CHECK(fleet.isWithinQuota);
    }
    CHECK_TEXT(refused * 3 <= asked, (std::to_string(refused) + " of " + std::to_string(asked)).c_str());
}

// Guards against a fleet that refuses requests below its rate when it starts: a new holder has an empty pool and keeps a part of the rate
// back for leases of a previous one.
TEST(rate_leases, refuseHardlyAnythingAtTheStart)
{
    for (const double load : {0.5, 0.6}) {
        leasing_fleet fleet(64, 9, {});
        fleet.offer(load, 8s);
        CHECK_TEXT(fleet.refused * 100 <= fleet.asked, (std::to_string(fleet.refused) + " of " + std::to_string(fleet.asked)).c_str());
    }
}
