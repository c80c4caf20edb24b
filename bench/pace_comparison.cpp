// Compares rules for the pace of an endpoint that has started, in simulated time around the pacing of the product.

#include "core/random_source.h"
#include "forwarding/adaptive_pace_rule.h"
#include "forwarding/endpoint_pace.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <memory>
#include <utility>
#include <vector>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

constexpr auto simulated = 40s;
constexpr auto step = 1ms;
constexpr double slowFactor = 3.0;
// As in endpoint_table.
constexpr int failuresToBlock = 2;

/// Gives the next limit after a response.
using next_limit = double (*)(double limit, double usual, const pace_observation &observed);

bool isGood(const pace_observation &observed)
{
    return observed.evidence == pace_evidence::good;
}

double addOrHalve(double limit, double /*usual*/, const pace_observation &observed)
{
    return !isGood(observed) || observed.slowness > slowFactor ? limit / 2 : limit + 1.0;
}

double followGradient(double limit, double /*usual*/, const pace_observation &observed)
{
    const double gradient = isGood(observed) ? std::clamp(1.5 / observed.slowness, 0.5, 1.0) : 0.5;
    return limit * gradient + (gradient < 1.0 ? 0.0 : std::sqrt(limit));
}

double takeHalfOfTheFreeShare(double /*limit*/, double usual, const pace_observation &observed)
{
    const double reported = observed.reportedRequests.value_or(usual);
    return isGood(observed) ? reported + (usual - reported) / 2 + 0.5 : 1.0;
}

/// The rules that are compared with the product's. Without a function for the next limit, the limit grows with time alone.
class simple_rule : public pace_rule
{
public:
    explicit simple_rule(next_limit next)
        : m_next(next)
    {
    }

    void begin(double usualRequests, bool /*isRelapse*/, instant now) override
    {
        m_usual = usualRequests;
        m_begun = now;
    }

    void note(const pace_observation &observed, instant /*now*/) override
    {
        m_isConfirmed = m_isConfirmed || isGood(observed);
        m_limit = m_next == nullptr ? m_limit : std::max(m_next(m_limit, m_usual, observed), 1.0);
    }

    double limitAt(instant now) const override
    {
        return m_next == nullptr ? std::max(m_usual * (std::chrono::duration<double>(now - m_begun) / 5s), 0.5) : m_limit;
    }

    bool isReached(instant now) const override
    {
        return m_isConfirmed && limitAt(now) >= m_usual;
    }

private:
    next_limit m_next;
    double m_usual = 1.0;
    double m_limit = 1.0;
    instant m_begun;
    bool m_isConfirmed = false;
};

template<typename Rule, next_limit... Arguments>
std::unique_ptr<pace_rule> make()
{
    return std::make_unique<Rule>(Arguments...);
}

using make_rule = std::unique_ptr<pace_rule> (*)();

struct load_case
{
    const char *name;
    std::size_t instances;
    std::size_t slots;
    std::size_t queue;
    std::chrono::milliseconds workTime;
    /// Requests per second of the whole service, and the number of its endpoints.
    double demand;
    double endpoints;
    /// How long after its start the endpoint takes eight times as long as usual.
    std::chrono::seconds slowFor;
    /// Requests beyond this number fail; 0 for an endpoint in good health.
    std::size_t failsBeyond;
};

struct request
{
    std::size_t instance;
    instant sentAt;
    instant endsAt;
};

struct view
{
    endpoint_pace pace;
    std::int64_t outstanding = 0;
    int failures = 0;
    double reported = 0.0;
    instant reportedAt;
};

struct result
{
    std::size_t peak = 0;
    int refused = 0;
    int late = 0;
    double fullUseAfter = -1.0;
};

result simulate(const load_case &load, make_rule makeRule)
{
    const std::chrono::duration<double> work = load.workTime;
    const double usualRate = load.demand / load.endpoints;
    const pace_surroundings surroundings = {static_cast<std::int64_t>(load.instances), std::max(usualRate * work.count(), 1.0), work};
    const instant start {1000s};
    random_source random(7);
    std::vector<view> views(load.instances);
    for (view &one : views) {
        if (makeRule != nullptr) {
            one.pace = endpoint_pace(makeRule());
            one.pace.begin(pace_cause::started, surroundings, random.uniform(), start);
        }
    }
    std::vector<request> running;
    std::deque<request> waiting;
    std::deque<instant> recent;
    result total;
    double due = 0.0;
    for (instant now = start; now < start + simulated; now += step) {
        const double slowness = now - start < load.slowFor ? 8.0 : 1.0;
        const auto answer = [&](const request &ended, pace_evidence evidence) {
            view &at = views[ended.instance];
            --at.outstanding;
            at.reported = static_cast<double>(running.size() + waiting.size());
            at.reportedAt = now;
            const double relative = (now - ended.sentAt) / work;
            total.refused += evidence == pace_evidence::good ? 0 : 1;
            total.late += evidence == pace_evidence::good && relative > slowFactor ? 1 : 0;
            recent.insert(recent.end(), evidence == pace_evidence::good ? 1 : 0, now);
            if (at.pace.isPaced()) {
                at.pace.note({evidence, relative, at.reported, !waiting.empty()}, now);
            } else if (makeRule != nullptr && evidence == pace_evidence::good && at.failures >= failuresToBlock) {
                at.pace.begin(pace_cause::recovered, surroundings, random.uniform(), now);
            }
            at.failures = evidence == pace_evidence::failed ? at.failures + 1 : 0;
        };
        const auto ended = std::stable_partition(running.begin(), running.end(), [&](const request &one) { return one.endsAt > now; });
        std::for_each(ended, running.end(), [&](const request &one) { answer(one, pace_evidence::good); });
        running.erase(ended, running.end());
        for (due += load.demand * std::chrono::duration<double>(step).count(); due >= 1.0; due -= 1.0) {
            const std::size_t chosen = random.below(load.instances);
            view &at = views[chosen];
            at.pace.endIfReached(now);
            const double fade = std::max(1.0 - (now - at.reportedAt) / std::chrono::duration<double>(4s), 0.0);
            const bool looksFree = static_cast<double>(at.outstanding) + at.reported * fade < surroundings.usualRequests;
            const bool isHeldBack = at.pace.isPaced() && !at.pace.hasAllowance(surroundings, at.outstanding, now);
            if (isHeldBack || !(looksFree || random.uniform() < 1.0 / load.endpoints)) {
                continue;
            }
            at.pace.noteSent(1.0);
            ++at.outstanding;
            waiting.push_back({chosen, now, {}});
            const std::size_t present = running.size() + waiting.size();
            const bool hasFailed = load.failsBeyond > 0 && present > load.failsBeyond;
            if (hasFailed || present > load.slots + load.queue) {
                waiting.pop_back();
                answer({chosen, now, {}}, hasFailed ? pace_evidence::failed : pace_evidence::refused);
            }
        }
        while (!waiting.empty() && running.size() < load.slots) {
            running.push_back(waiting.front());
            running.back().endsAt = now + std::chrono::duration_cast<boot_clock::duration>(work * slowness);
            waiting.pop_front();
        }
        total.peak = std::max(total.peak, running.size() + waiting.size());
        const auto window = std::max<boot_clock::duration>(2s, load.workTime * 2);
        while (!recent.empty() && recent.front() < now - window) {
            recent.pop_front();
        }
        const double usualCount = usualRate * std::chrono::duration<double>(window).count();
        if (total.fullUseAfter < 0.0 && static_cast<double>(recent.size()) >= 0.8 * usualCount) {
            total.fullUseAfter = std::chrono::duration<double>(now - start).count();
        }
    }
    return total;
}

} // namespace

int main()
{
    const std::vector<std::pair<const char *, make_rule>> rules = {
        {"none", nullptr},
        {"ramp", make<simple_rule, nullptr>},
        {"aimd", make<simple_rule, addOrHalve>},
        {"gradient", make<simple_rule, followGradient>},
        {"report", make<simple_rule, takeHalfOfTheFreeShare>},
        {"adaptive", make<adaptive_pace_rule>},
    };
    const std::vector<load_case> cases = {
        {"plain, 64, fast", 64, 6, 24, 50ms, 203, 6, 0s, 0},
        {"plain, 64, slow for 10 s", 64, 6, 24, 50ms, 203, 6, 10s, 0},
        {"plain, 64, fails beyond 1", 64, 6, 24, 50ms, 203, 6, 0s, 1},
        {"engine, 64, fails beyond 3", 64, 8, 0, 500ms, 1020, 90, 0s, 3},
        {"plain, 295, fast", 295, 6, 24, 50ms, 203, 6, 0s, 0},
        {"plain, 295, slow for 10 s", 295, 6, 24, 50ms, 203, 6, 10s, 0},
        {"engine, 64, fast", 64, 8, 0, 5000ms, 102, 90, 0s, 0},
        {"engine, 295, fast", 295, 8, 0, 5000ms, 102, 90, 0s, 0},
        {"engine, 64, slow for 10 s", 64, 8, 0, 5000ms, 102, 90, 10s, 0},
    };
    std::printf("%-28s %-10s %6s %8s %6s %10s\n", "case", "rule", "peak", "refused", "late", "full use s");
    for (const load_case &load : cases) {
        for (const auto &[name, makeRule] : rules) {
            const result got = simulate(load, makeRule);
            std::printf("%-28s %-10s %6zu %8d %6d %10.1f\n", load.name, name, got.peak, got.refused, got.late, got.fullUseAfter);
        }
    }
}
