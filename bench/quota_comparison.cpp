// Compares the quota strategies on the same traces, in simulated time around the ledgers of the product.

#include "core/random_source.h"
#include "policy/quota_ledger.h"
#include "policy/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t instanceCount = 8;
constexpr int workspaceCount = 5;
constexpr std::int64_t rate = 10'000;
constexpr std::int64_t burst = 40'000;
// Charges are bounds, of which this part is used on average, as with output bounds that answers rarely reach.
constexpr double usedPart = 0.6;
constexpr double offeredPart = 0.9;
constexpr auto oneWay = 500us;
constexpr auto traceLength = 60s;
constexpr auto settleWait = 3230ms;

/// One trace: which instance a request comes to, how much each workspace sends, and whether an instance is killed.
struct scenario
{
    const char *name;
    bool isOnOneInstance = false;
    double firstFactor = 1.0;
    bool isInstanceKilled = false;
};

const std::vector<scenario> scenarios = {
    {"one_instance", true},
    {"spread_evenly"},
    {"five_times_rate", false, 5.0},
    {"instance_killed", false, 1.0, true},
};

struct result
{
    std::string strategy;
    std::string scenario;
    std::uint64_t seed = 0;
    std::int64_t requests = 0;
    std::int64_t refusedWithinRate = 0;
    /// Of these, refusals of the workspaces whose load does not differ between the scenarios.
    std::int64_t refusedOfSteady = 0;
    std::int64_t messages = 0;
    double tokensOver = 0;
};

/// A request of the trace: the same for all strategies.
struct arrival
{
    instant at;
    std::size_t instance = 0;
    int workspace = 0;
    token_count bound;
    token_count actual;
    boot_clock::duration runs {};
};

std::vector<arrival> makeTrace(const scenario &what, std::uint64_t seed)
{
    random_source random(seed);
    std::vector<arrival> trace;
    for (int workspace = 0; workspace < workspaceCount; ++workspace) {
        const double factor = workspace == 0 ? what.firstFactor : 1.0;
        constexpr double meanBound = 700;
        const double perSecond = factor * offeredPart * rate / (meanBound * usedPart);
        double seconds = 10;
        while (seconds < 10 + std::chrono::duration<double>(traceLength).count()) {
            seconds += -std::log(1.0 - random.uniform()) / perSecond;
            arrival one;
            one.at = instant(std::chrono::duration_cast<boot_clock::duration>(std::chrono::duration<double>(seconds)));
            one.instance = what.isOnOneInstance ? 0 : random.below(instanceCount);
            one.workspace = workspace;
            one.bound = token_count(100 + static_cast<std::int64_t>(random.below(1201)));
            one.actual = token_count(static_cast<std::int64_t>(static_cast<double>(one.bound.value()) * (0.2 + 0.8 * random.uniform())));
            one.runs = std::chrono::milliseconds(200 + random.below(4000));
            trace.push_back(one);
        }
    }
    std::sort(trace.begin(), trace.end(), [](const arrival &left, const arrival &right) { return left.at < right.at; });
    return trace;
}

/// What a bucket that sees everything at once would do: the measure of "within its rate" and of "over the limit".
class reference_limit
{
public:
    reference_limit()
        : m_bucket(instant(0s))
    {
        m_bucket.setLimit({token_rate(rate), token_count(burst)});
    }

    /// True when the workspace could have had the request from one bucket for the fleet.
    bool admits(instant now, token_count cost)
    {
        m_bucket.advance(now);
        return m_bucket.take(cost);
    }

private:
    token_bucket m_bucket;
};

/// The fleet of one run: a ledger for each instance of a data centre and the messages between them.
class fleet
{
public:
    fleet(const quota_strategy &strategy, const scenario &what, std::uint64_t seed)
        : m_what(what)
        , m_trace(makeTrace(what, seed))
    {
        auto view = std::make_shared<state_view>();
        view->config.version = configuration_version(1);
        view->config.dataCentres[m_dataCentre] = {};
        for (int i = 0; i < workspaceCount; ++i) {
            view->config.workspaces[workspaceName(i)] = {token_rate(rate), token_count(burst), {}};
        }
        for (std::size_t i = 0; i < instanceCount; ++i) {
            m_members.push_back({instance_id("i" + std::to_string(i)), incarnation_id("x" + std::to_string(i))});
        }
        view->rosters[m_dataCentre] = {roster_epoch(1), m_members, {}, {}, {}, {}, false};
        m_view = view;
        for (const roster_member &member : m_members) {
            quota_settings settings;
            settings.dataCentre = m_dataCentre;
            settings.self = member;
            m_ledgers.push_back(std::make_unique<quota_ledger>(settings, strategy, 0));
        }
        m_result.strategy = strategy.name();
        m_result.scenario = what.name;
        m_result.seed = seed;
    }

    result run()
    {
        beginEpoch(1, m_members, instant(0s), instant(0s));
        for (const arrival &one : m_trace) {
            at(one.at, [this, &one] { arrive(one); });
        }
        // The killed instance holds no home of its own any more once the others have read the new roster, 3 s later as the list lags.
        if (m_what.isInstanceKilled) {
            at(instant(30s), [this] { m_isKilled = true; });
            std::vector<roster_member> rest(m_members.begin() + 1, m_members.end());
            at(instant(33s), [this, rest] { beginEpoch(2, rest, instant(33s), instant(33s) + settleWait); });
        }
        while (!m_events.empty()) {
            auto next = m_events.extract(m_events.begin());
            m_now = next.key();
            next.mapped()();
        }
        m_result.tokensOver = tokensOver();
        return m_result;
    }

private:
    void at(instant when, std::function<void()> action)
    {
        m_events.emplace(when, std::move(action));
    }

    static workspace_id workspaceName(int index)
    {
        return workspace_id("w" + std::to_string(index));
    }

    void beginEpoch(int epoch, const std::vector<roster_member> &members, instant now, instant exclusiveFrom)
    {
        auto view = std::make_shared<state_view>(*m_view);
        view->rosters[m_dataCentre].epoch = roster_epoch(epoch);
        view->rosters[m_dataCentre].members = members;
        m_view = view;
        for (std::size_t i = 0; i < m_ledgers.size(); ++i) {
            decision_authority authority = {
                m_dataCentre, m_members[i], roster_epoch(epoch), members, {}, deadline(instant(1h)), deadline(exclusiveFrom)};
            m_ledgers[i]->setAuthority(authority, now);
            m_ledgers[i]->setView(view, now);
        }
    }

    // Callers of a killed instance come to the next one.
    void arrive(const arrival &one)
    {
        const std::size_t instance = m_isKilled && one.instance == 0 ? 1 : one.instance;
        const bool isWithinRate = m_reference[one.workspace].admits(m_now, one.actual);
        ++m_result.requests;
        tryCharge(one, instance, isWithinRate, 0);
    }

    void tryCharge(const arrival &one, std::size_t instance, bool isWithinRate, std::size_t asked)
    {
        quota_ledger &ledger = *m_ledgers[instance];
        const workspace_id workspace = workspaceName(one.workspace);
        const request_id id(std::to_string(&one - m_trace.data()));
        if (ledger.charge(id, workspace, one.bound, m_now)) {
            m_granted[one.workspace].emplace_back(m_now, one.actual);
            at(m_now + one.runs, [this, &one, id, instance] { settle(id, one, instance); });
            return;
        }
        const std::vector<outgoing_loan_request> requests = ledger.loanRequests(workspace, one.bound, m_now);
        if (asked >= requests.size()) {
            m_result.refusedWithinRate += isWithinRate ? 1 : 0;
            m_result.refusedOfSteady += isWithinRate && one.workspace != 0 ? 1 : 0;
            return;
        }
        m_result.messages += 2;
        const instant askedAt = m_now;
        at(m_now + oneWay, [this, &one, instance, isWithinRate, asked, wanted = requests[asked], askedAt] {
            const std::size_t lender = indexOf(wanted.to);
            const peer_loan_response answer = isGone(lender) ? peer_loan_response() : m_ledgers[lender]->lend(wanted.ask, m_now);
            at(m_now + oneWay, [this, &one, instance, isWithinRate, asked, wanted, answer, askedAt] {
                m_ledgers[instance]->borrow(wanted.ask.workspace, wanted.to, answer, askedAt, m_now);
                tryCharge(one, instance, isWithinRate, asked + 1);
            });
        });
    }

    void settle(const request_id &id, const arrival &one, std::size_t instance)
    {
        if (isGone(instance)) {
            return;
        }
        for (const outgoing_loan_refund &back : m_ledgers[instance]->settle(id, one.actual, m_now)) {
            ++m_result.messages;
            const std::size_t lender = indexOf(back.to);
            at(m_now + oneWay, [this, lender, back] {
                if (!isGone(lender)) {
                    m_ledgers[lender]->acceptRefund(back.refund, m_now);
                }
            });
        }
    }

    bool isGone(std::size_t instance) const
    {
        return m_isKilled && instance == 0;
    }

    std::size_t indexOf(const instance_id &instance) const
    {
        const auto found =
            std::find_if(m_members.begin(), m_members.end(), [&](const auto &member) { return member.instance == instance; });
        return static_cast<std::size_t>(found - m_members.begin());
    }

    // The worst window of all workspaces, by true cost.
    double tokensOver() const
    {
        double worst = 0;
        for (const auto &[workspace, grants] : m_granted) {
            double spent = 0;
            double lowest = 0;
            for (const auto &[when, cost] : grants) {
                const double due = rate * std::chrono::duration<double>(when.time_since_epoch()).count();
                lowest = spent == 0 ? -due : std::min(lowest, spent - due);
                spent += static_cast<double>(cost.value());
                worst = std::max(worst, spent - due - lowest - burst);
            }
        }
        return std::floor(worst);
    }

    const scenario &m_what;
    const data_centre_id m_dataCentre {"a"};
    std::vector<arrival> m_trace;
    std::vector<roster_member> m_members;
    std::vector<std::unique_ptr<quota_ledger>> m_ledgers;
    state_view_ptr m_view;
    std::map<int, reference_limit> m_reference;
    std::map<int, std::vector<std::pair<instant, token_count>>> m_granted;
    std::multimap<instant, std::function<void()>> m_events;
    instant m_now;
    bool m_isKilled = false;
    result m_result;
};

double messagesPerRequest(const result &one)
{
    return static_cast<double>(one.messages) / static_cast<double>(one.requests);
}

void printJson(const result &one)
{
    const nlohmann::json line = {{"strategy", one.strategy},
                                 {"scenario", one.scenario},
                                 {"seed", one.seed},
                                 {"requests", one.requests},
                                 {"tokens_over_limit", one.tokensOver},
                                 {"refused_within_rate", one.refusedWithinRate},
                                 {"refused_within_rate_without_first_workspace", one.refusedOfSteady},
                                 {"messages_per_request", messagesPerRequest(one)}};
    std::cout << line.dump() << '\n';
}

void printTable(const std::vector<result> &results)
{
    std::printf("| scenario | strategy | seed | requests | tokens over | refused within rate | of these without the first workspace | "
                "messages per request |\n|---|---|---|---|---|---|---|---|\n");
    for (const result &one : results) {
        std::printf("| %s | %s | %llu | %lld | %.0f | %lld | %lld | %.2f |\n",
                    one.scenario.c_str(),
                    one.strategy.c_str(),
                    static_cast<unsigned long long>(one.seed),
                    static_cast<long long>(one.requests),
                    one.tokensOver,
                    static_cast<long long>(one.refusedWithinRate),
                    static_cast<long long>(one.refusedOfSteady),
                    messagesPerRequest(one));
    }
}

} // namespace

int main(int argc, char **argv)
{
    namespace options = boost::program_options;
    std::vector<std::uint64_t> seeds;
    options::options_description description("Compares the quota strategies on the same traces");
    description.add_options()("help", "print this text")("table", "print a table instead of JSON lines")(
        "seed", options::value(&seeds)->multitoken()->default_value({1, 2, 3}, "1 2 3"), "seeds of the traces");
    options::variables_map chosen;
    try {
        options::store(options::parse_command_line(argc, argv, description), chosen);
        options::notify(chosen);
    } catch (const options::error &problem) {
        std::cerr << problem.what() << '\n';
        return 2;
    }
    if (chosen.contains("help")) {
        std::cout << description;
        return 0;
    }
    const static_split split;
    const single_owner owner;
    const moving_shares moving;
    std::vector<result> results;
    for (const scenario &what : scenarios) {
        for (const quota_strategy *strategy : std::initializer_list<const quota_strategy *> {&split, &owner, &moving}) {
            for (const std::uint64_t seed : seeds) {
                results.push_back(fleet(*strategy, what, seed).run());
            }
        }
    }
    if (chosen.contains("table")) {
        printTable(results);
    } else {
        std::for_each(results.begin(), results.end(), printJson);
    }
    const bool isOver = std::any_of(results.begin(), results.end(), [](const result &one) { return one.tokensOver > 0; });
    return isOver ? 1 : 0;
}
