// Simulates instances that compete for the decode capacity of one service, with the product's search policies, monitor and queue. Prints
// the shares of requests that are in time, late and refused by rank, and the value of all.

#include "scarce_room.h"

#include "core/random_source.h"
#include "forwarding/refusal_policy.h"
#include "forwarding/reservation_queue.h"
#include "forwarding/search_policy.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <iostream>
#include <map>
#include <queue>
#include <tuple>
#include <vector>

using namespace burdockshelf;
using namespace scarce_room;

namespace
{

struct engine
{
    std::int64_t tokens = 0;
    std::int64_t running = 0;
};

/// What an instance believes of an engine.
struct engine_view
{
    double running = 0.0;
    instant seenAt;
    deadline fullUntil;
};

struct instance
{
    room_monitor monitor;
    reservation_queue queue;
    std::vector<engine_view> views;
};

struct request
{
    std::size_t rank = 0;
    std::size_t at = 0;
    std::int64_t tokens = 0;
    int workspace = 0;
    instant born;
    instant begun;
    instant lastAsked;
    bool isRetry = false;
    bool isSearching = false;
    bool isPausing = false;
    std::uint64_t timer = 0;
    reservation_search search;
    search_step step;
};

struct tally
{
    std::int64_t inTime = 0;
    std::int64_t late = 0;
    std::int64_t refused = 0;
    std::int64_t refusedAtOnce = 0;
    double waitedBeforeRefusal = 0.0;
};

class simulation
{
public:
    explicit simulation(const site_options &options)
        : m_options(options)
        , m_random(options.seed)
        , m_engines(static_cast<std::size_t>(options.engines))
        , m_instances(static_cast<std::size_t>(options.instances))
    {
        for (instance &one : m_instances) {
            one.views.resize(m_engines.size());
        }
    }

    void run()
    {
        for (std::size_t rank = 0; rank < ranks.size(); ++rank) {
            at(m_start, [this, rank] { arrive(rank); });
        }
        const instant end = m_start + std::chrono::seconds(m_options.seconds);
        while (!m_events.empty() && m_events.top().when <= end) {
            event next = m_events.top();
            m_events.pop();
            m_now = next.when;
            next.run();
        }
        print();
    }

private:
    struct event
    {
        instant when;
        std::uint64_t order;
        std::function<void()> run;

        bool operator<(const event &other) const
        {
            return std::tie(when, order) > std::tie(other.when, other.order);
        }
    };

    void at(instant when, std::function<void()> run)
    {
        m_events.push({when, ++m_order, std::move(run)});
    }

    double exponential(double mean)
    {
        return -std::log(1.0 - m_random.uniform()) * mean;
    }

    static boot_clock::duration seconds(double count)
    {
        return std::chrono::duration_cast<boot_clock::duration>(std::chrono::duration<double>(count));
    }

    void arrive(std::size_t rank)
    {
        const bool isBurst = (m_now - m_start) % burstPeriod >= burstPeriod - burstTime;
        const double rate = ranks.at(rank).perSecond * (isBurst ? m_options.burstLoad : m_options.load);
        at(m_now + seconds(exponential(1.0 / rate)), [this, rank] { arrive(rank); });
        request fresh;
        fresh.rank = rank;
        fresh.tokens = 2600 + static_cast<std::int64_t>(m_random.below(1800));
        fresh.workspace = static_cast<int>(m_random.below(8));
        fresh.born = m_now;
        begin(std::move(fresh));
    }

    void begin(request &&fresh)
    {
        const flow_id flow(++m_lastFlow);
        fresh.at = static_cast<std::size_t>(m_random.below(m_instances.size()));
        fresh.begun = fresh.lastAsked = m_now;
        fresh.isSearching = true;
        fresh.search.begin({}, deadline::never());
        if (m_options.isRanked) {
            m_instances[fresh.at].queue.join(
                {flow, rankOf(fresh), workspace_id(std::to_string(fresh.workspace)), token_count(fresh.tokens), latestStartOf(fresh)});
        }
        m_requests[flow] = std::move(fresh);
        startRound(flow);
    }

    static priority_rank rankOf(const request &of)
    {
        return priority_rank(static_cast<std::int64_t>(of.rank));
    }

    deadline latestStartOf(const request &of) const
    {
        return deadline::after(of.begun, std::chrono::duration_cast<milliseconds>(ranks.at(of.rank).target * startFraction));
    }

    void startRound(flow_id flow)
    {
        request &one = m_requests.at(flow);
        const rank_facts &facts = ranks.at(one.rank);
        instance &home = m_instances[one.at];
        search_situation situation;
        situation.begun = one.begun;
        situation.lastAsked = one.lastAsked;
        situation.target = facts.target;
        situation.latestStart = latestStartOf(one);
        const auto allowed = one.born + callerTime - one.begun;
        const auto kept = std::chrono::duration_cast<milliseconds>(allowed * facts.searchFraction);
        situation.searchLimit = std::max(situation.latestStart, deadline::after(one.begun, kept));
        situation.ahead = home.queue.aheadOf(flow, m_now);
        situation.outlook = home.monitor.outlook(rankOf(one), m_now);
        one.step = searchPolicyFor(m_options.isRanked ? std::optional(rankOf(one)) : std::nullopt).nextRound(situation, m_now);
        one.search.setPace(one.step.pace);
        one.isPausing = false;
        if (one.step.isRefused) {
            ++m_tallies.at(one.rank).refusedAtOnce;
            refuse(flow);
        } else if (one.step.pace.maxAsked == 0 && !home.queue.hasOffer(flow)) {
            pause(flow);
        } else {
            ask(flow);
        }
    }

    void pause(flow_id flow)
    {
        request &one = m_requests.at(flow);
        if (!one.search.scheduleNextRound(m_now)) {
            refuse(flow);
            return;
        }
        one.isPausing = true;
        const std::uint64_t timer = ++one.timer;
        at(one.search.nextRoundAt().at(), [this, flow, timer] {
            const auto known = m_requests.find(flow);
            if (known != m_requests.end() && known->second.isPausing && known->second.timer == timer) {
                known->second.search.startDueRound(m_now);
                startRound(flow);
            }
        });
    }

    bool isKept(std::size_t engineNumber) const
    {
        return static_cast<double>(engineNumber) < m_options.kept * static_cast<double>(m_engines.size());
    }

    std::optional<std::size_t> choose(const request &one)
    {
        std::vector<engine_view> &views = m_instances[one.at].views;
        const bool isHeldOff = m_options.isRanked && one.rank > 0 && m_instances[one.at].monitor.outlook(rankOf(one), m_now).isScarce();
        std::optional<std::size_t> best;
        double bestScore = 0.0;
        for (std::size_t i = 0; i < views.size(); ++i) {
            const endpoint_id id(std::to_string(i));
            const auto &excluded = one.search.excluded();
            if ((isHeldOff && isKept(i)) || std::find(excluded.begin(), excluded.end(), id) != excluded.end()) {
                continue;
            }
            const double age = std::chrono::duration<double>(m_now - views[i].seenAt) / viewLifetime;
            const double load = age < 1.0 ? views[i].running * (1.0 - age) * 3300.0 / engineMemory : 0.0;
            const double score = load + (views[i].fullUntil.hasPassed(m_now) ? 0.0 : 4.0) + m_random.uniform() * 0.02;
            if (!best || score < bestScore) {
                best = i;
                bestScore = score;
            }
        }
        return best;
    }

    void ask(flow_id flow)
    {
        request &one = m_requests.at(flow);
        std::optional<std::size_t> chosen;
        if (const auto offered = m_instances[one.at].queue.takeOffer(flow)) {
            chosen = std::stoul(offered->value());
        } else if (!one.search.isRoundFull()) {
            chosen = choose(one);
        }
        if (!chosen) {
            one.search.endRound(token_count(one.tokens));
            pause(flow);
            return;
        }
        one.lastAsked = m_now;
        ++m_asks;
        at(m_now + askTime / 2, [this, flow, chosen] { reserve(flow, *chosen); });
    }

    void reserve(flow_id flow, std::size_t number)
    {
        engine &target = m_engines[number];
        const bool isGranted = target.running < engineSlots && target.tokens + m_requests.at(flow).tokens <= engineMemory;
        if (isGranted) {
            ++target.running;
            target.tokens += m_requests.at(flow).tokens;
        }
        const auto running = static_cast<double>(target.running);
        at(m_now + askTime / 2, [this, flow, number, isGranted, running] { onAnswer(flow, number, isGranted, running); });
    }

    void onAnswer(flow_id flow, std::size_t number, bool isGranted, double running)
    {
        request &one = m_requests.at(flow);
        instance &home = m_instances[one.at];
        home.views[number].running = running;
        home.views[number].seenAt = m_now;
        if (!isGranted) {
            home.views[number].fullUntil = deadline::after(m_now, fullTime);
            home.monitor.noteRefused(rankOf(one), m_now);
            one.search.noteFull(endpoint_id(std::to_string(number)));
            ask(flow);
            return;
        }
        home.monitor.noteGranted(rankOf(one), m_now);
        home.queue.noteGranted(flow, m_now);
        const bool isInTime = m_now + startTime - one.born <= ranks.at(one.rank).target;
        ++(isInTime ? m_tallies.at(one.rank).inTime : m_tallies.at(one.rank).late);
        const double hold = m_options.holdSeconds * 0.4 + exponential(m_options.holdSeconds * 0.6);
        at(m_now + seconds(hold), [this, number, tokens = one.tokens, from = one.at] { free(number, tokens, from); });
        m_requests.erase(flow);
    }

    void free(std::size_t number, std::int64_t tokens, std::size_t from)
    {
        --m_engines[number].running;
        m_engines[number].tokens -= tokens;
        if (!m_options.isRanked) {
            return;
        }
        const auto woken = m_instances[from].queue.offer(endpoint_id(std::to_string(number)), m_now);
        const auto known = woken ? m_requests.find(*woken) : m_requests.end();
        if (known != m_requests.end() && known->second.isPausing) {
            known->second.search.startDueRound(m_now, true);
            startRound(*woken);
        }
    }

    void refuse(flow_id flow)
    {
        request one = std::move(m_requests.at(flow));
        m_requests.erase(flow);
        m_instances[one.at].queue.leave(flow);
        refusal_facts facts;
        facts.cause = refusal_cause::overloaded;
        facts.isCapacityExhausted = true;
        facts.endpoints.available = 1;
        if (m_options.isRanked) {
            facts.capacityWait = one.step.expectedWait;
        }
        facts.callerDeadline = deadline(one.born + callerTime);
        facts.jitter = m_random.uniform();
        m_tallies.at(one.rank).waitedBeforeRefusal += std::chrono::duration<double>(m_now - one.begun).count();
        const milliseconds wait = *decideRefusal(facts, m_now).retryAfter;
        if (one.isRetry || wait > facts.callerDeadline.remaining(m_now) / 3) {
            ++m_tallies.at(one.rank).refused;
            return;
        }
        request again;
        again.rank = one.rank;
        again.tokens = one.tokens;
        again.workspace = one.workspace;
        again.born = one.born;
        again.isRetry = true;
        at(m_now + wait, [this, again]() mutable { begin(std::move(again)); });
    }

    void print() const
    {
        double value = 0.0;
        double possible = 0.0;
        for (std::size_t rank = 0; rank < ranks.size(); ++rank) {
            const tally &counted = m_tallies.at(rank);
            const auto total = static_cast<double>(counted.inTime + counted.late + counted.refused);
            value += static_cast<double>(counted.inTime) * ranks.at(rank).value + static_cast<double>(counted.late) * lateValue;
            possible += total * ranks.at(rank).value;
            std::cout << "rank " << rank << " in_time " << static_cast<double>(counted.inTime) / total << " late "
                      << static_cast<double>(counted.late) / total << " refused " << static_cast<double>(counted.refused) / total
                      << " refused_at_once " << counted.refusedAtOnce << " waited_before_refusal_s " << counted.waitedBeforeRefusal << '\n';
        }
        std::cout << "value " << value / possible << " asks_per_second_and_instance "
                  << static_cast<double>(m_asks) / m_options.seconds / m_options.instances << '\n';
    }

    site_options m_options;
    random_source m_random;
    std::vector<engine> m_engines;
    std::vector<instance> m_instances;
    std::map<flow_id, request> m_requests;
    std::priority_queue<event> m_events;
    std::array<tally, ranks.size()> m_tallies;
    std::int64_t m_lastFlow = 0;
    std::int64_t m_asks = 0;
    std::uint64_t m_order = 0;
    const instant m_start {std::chrono::seconds(1000)};
    instant m_now {std::chrono::seconds(1000)};
};

} // namespace

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    site_options options;
    po::options_description described("Options");
    described.add_options()("instances", po::value(&options.instances))("engines", po::value(&options.engines))("load",
                                                                                                                po::value(&options.load))(
        "burst", po::value(&options.burstLoad))("hold", po::value(&options.holdSeconds))("seconds", po::value(&options.seconds))(
        "ranked", po::value(&options.isRanked))("kept", po::value(&options.kept))("seed", po::value(&options.seed));
    po::variables_map given;
    po::store(po::parse_command_line(argc, argv, described), given);
    po::notify(given);
    simulation(options).run();
    return 0;
}
