#include "fleet_model.h"

#include "policy/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace burdockshelf
{

using namespace std::chrono_literals;

namespace
{

constexpr std::size_t nodesPerDataCentre = 3;
const workspace_id workspace("w");
constexpr std::int64_t fleetRate = 300;
constexpr std::int64_t fleetBurst = 300;
constexpr double worstDrift = 0.004;

roster_settings rosterSettings()
{
    roster_settings settings;
    settings.takeoverWait = 20s;
    // Shorter than the lease, so that a member can be replaced while it still has authority.
    settings.listPatience = 100ms;
    settings.retry = 300ms;
    return settings;
}

data_centre_id dataCentre(std::size_t node)
{
    return data_centre_id(node < nodesPerDataCentre ? "a" : "b");
}

configuration firstConfiguration()
{
    configuration config;
    config.version = configuration_version(1);
    config.dataCentres = {{data_centre_id("a"), {}}, {data_centre_id("b"), {}}};
    config.workspaces[workspace] = {token_rate(fleetRate), token_count(fleetBurst), {}};
    return config;
}

} // namespace

struct fleet_model::node
{
    std::size_t index = 0;
    roster_member self;
    data_centre_id dataCentre;
    bool isAlive = false;
    bool isLeaving = false;
    int logCuts = 0;
    int peerCuts = 0;
    instant pausedUntil;
    boot_clock::duration offset {};
    double drift = 0;
    std::size_t replayed = 0;
    std::unique_ptr<roster_authority> authority;
    // What the roster authority last said.
    decision_authority given;
    std::unique_ptr<quota_ledger> ledger;
    random_source random {0};
};

fleet_model::fleet_model(std::uint64_t seed, unsafe_variant variant)
    : m_random(seed)
    , m_variant(variant)
    , m_now(1000s)
{
    state_view empty;
    empty.config = firstConfiguration();
    m_log.push_back(std::make_shared<state_view>(empty));
    for (std::size_t i = 0; i < 2 * nodesPerDataCentre; ++i) {
        auto fresh = std::make_unique<node>();
        fresh->index = i;
        fresh->dataCentre = dataCentre(i);
        fresh->self.instance = instance_id("i" + std::to_string(i));
        fresh->offset = std::chrono::seconds(m_random.below(1000));
        fresh->drift = (2 * m_random.uniform() - 1) * worstDrift;
        m_nodes.push_back(std::move(fresh));
        start(*m_nodes.back());
    }
    sendList();
}

fleet_model::~fleet_model() = default;

model_findings fleet_model::run(const std::vector<fault> &faults, std::chrono::seconds faulty)
{
    runUntil(m_now + 12s);
    const instant begin = m_now;
    for (const fault &what : faults) {
        at(begin + what.at, [this, what] { apply(what, true); });
        at(std::min(begin + what.at + what.validFor, begin + faulty), [this, what] { apply(what, false); });
    }
    runUntil(begin + faulty + 1s);
    m_isFaulty = false;
    // The longest way back is a takeover: list lag, takeover_wait, a proposal and the settle wait.
    runUntil(m_now + 45s);
    for (const auto &who : m_nodes) {
        m_findings.membersWithoutAuthority += who->given.isSettled(clock(*who)) ? 0 : 1;
    }
    const std::size_t grantsBefore = m_grants.size();
    for (const auto &who : m_nodes) {
        request(*who, token_count(fleetRate / 12), 2);
    }
    runUntil(m_now + 2s);
    m_findings.calmRefusals = static_cast<int>(m_nodes.size() + grantsBefore - m_grants.size());
    m_findings.tokensOver = tokensOver();
    m_findings.grants = m_grants.size();
    return m_findings;
}

void fleet_model::at(instant when, std::function<void()> action)
{
    m_events.emplace(when, std::move(action));
}

// What happens to a node while it is paused happens when it goes on; what was meant for an earlier incarnation is lost.
void fleet_model::onNode(node &target, boot_clock::duration delay, std::function<void()> action)
{
    at(m_now + delay, [this, &target, incarnation = target.self.incarnation, action = std::move(action)] {
        if (!target.isAlive || target.self.incarnation != incarnation) {
            return;
        }
        if (m_now < target.pausedUntil) {
            onNode(target, target.pausedUntil - m_now, action);
            return;
        }
        action();
    });
}

void fleet_model::send(node &from, node &to, const std::function<void()> &action)
{
    const bool isCut = from.peerCuts > 0 || to.peerCuts > 0 || (m_cutDataCentre > 0 && from.dataCentre != to.dataCentre);
    const double trouble = m_isFaulty ? 0.05 : 0.0;
    if (isCut || m_random.uniform() < trouble) {
        return;
    }
    onNode(to, delay(), action);
    if (m_random.uniform() < trouble) {
        onNode(to, delay() + 500ms, action);
    }
}

boot_clock::duration fleet_model::delay()
{
    const std::uint64_t longest = m_isFaulty && m_random.below(10) == 0 ? 1500 : 20;
    return std::chrono::milliseconds(1 + m_random.below(longest));
}

instant fleet_model::clock(const node &who) const
{
    const auto drifted = std::chrono::duration_cast<boot_clock::duration>(m_now.time_since_epoch() * (1.0 + who.drift));
    return instant(drifted + who.offset);
}

void fleet_model::runUntil(instant end)
{
    while (!m_events.empty() && m_events.begin()->first <= end) {
        auto next = m_events.extract(m_events.begin());
        m_now = next.key();
        next.mapped()();
        check();
    }
    m_now = end;
}

void fleet_model::start(node &who)
{
    who.random = random_source(m_random.below(1U << 30U));
    who.self.incarnation = incarnation_id(who.random.hexId());
    who.isAlive = true;
    who.isLeaving = false;
    who.pausedUntil = {};
    who.replayed = 0;
    who.given = {};
    who.authority = std::make_unique<roster_authority>(who.dataCentre, who.self, rosterSettings());
    quota_settings settings;
    settings.dataCentre = who.dataCentre;
    settings.self = who.self;
    settings.reallocationDelay = rosterSettings().takeoverWait;
    who.ledger = std::make_unique<quota_ledger>(settings, m_strategy, who.random.below(1U << 30U));
    onNode(who, delay(), [this, &who] { tick(who, who.self.incarnation); });
}

void fleet_model::apply(const fault &what, bool isOn)
{
    node &who = *m_nodes[what.node % m_nodes.size()];
    const int change = isOn ? 1 : -1;
    switch (what.kind) {
    case fault_kind::kill:
        if (isOn) {
            who.isAlive = false;
        } else if (!who.isAlive) {
            start(who);
        }
        break;
    case fault_kind::pause:
        if (isOn) {
            who.pausedUntil = std::max(who.pausedUntil, m_now + what.validFor);
        }
        break;
    case fault_kind::cut_from_log:
        who.logCuts += change;
        break;
    case fault_kind::cut_from_peers:
        who.peerCuts += change;
        break;
    case fault_kind::cut_data_centre:
        // Cuts one data centre from the other and from the log.
        m_cutDataCentre += change;
        for (const auto &other : m_nodes) {
            other->logCuts += other->dataCentre == who.dataCentre ? change : 0;
        }
        break;
    case fault_kind::log_outage:
        m_isLogUp = !isOn;
        break;
    case fault_kind::leave:
        if (isOn && who.isAlive) {
            who.isLeaving = true;
            onNode(who, 0ms, [this, &who] { handle(who, roster_leave()); });
        } else if (!isOn && who.isLeaving) {
            start(who);
        }
        break;
    case fault_kind::reallocate:
        if (isOn) {
            state_view next = *m_log.back();
            next.config.version += configuration_version(1);
            workspace_settings &settings = next.config.workspaces[workspace];
            settings.shareWeights = {{data_centre_id("a"), static_cast<int>(1 + m_random.below(9))}};
            addPendingReallocations(next.reallocations, m_log.back()->config, next.config, {});
            m_log.push_back(std::make_shared<state_view>(next));
        }
        break;
    }
}

void fleet_model::append(const log_record &record)
{
    state_view next = *m_log.back();
    const auto offset = log_offset(static_cast<std::int64_t>(m_log.size()) - 1);
    if (const auto *change = std::get_if<roster_change>(&record)) {
        roster_state &roster = next.rosters[change->dataCentre];
        if (change->epoch == roster.epoch + roster_epoch(1)) {
            roster = {change->epoch, change->members, change->leaver, offset, std::nullopt, {}, false};
        }
    }
    if (const auto *takeover = std::get_if<roster_takeover>(&record)) {
        roster_state &roster = next.rosters[takeover->dataCentre];
        if (takeover->epoch == roster.epoch && !roster.takeover) {
            roster.takeover = *takeover;
            roster.takeoverOffset = offset;
        }
    }
    m_log.push_back(std::make_shared<state_view>(next));
}

void fleet_model::tick(node &who, const incarnation_id &incarnation)
{
    if (who.self.incarnation != incarnation) {
        return;
    }
    handle(who, roster_tick());
    read(who);
    // Traffic pauses now and then, so that buckets are full when it comes back.
    const bool isBusy = m_now.time_since_epoch() % 8s < 5s;
    if (m_isFaulty && isBusy && !who.isLeaving) {
        request(who, token_count(1 + static_cast<std::int64_t>(m_random.below(fleetBurst / 4))), 2);
    }
    onNode(who, std::chrono::milliseconds(150 + m_random.below(200)), [this, &who, incarnation] { tick(who, incarnation); });
}

void fleet_model::read(node &who)
{
    if (!m_isLogUp || who.logCuts > 0) {
        onNode(who, 300ms, [this, &who] { handle(who, roster_log_unreachable()); });
        return;
    }
    const instant sentAt = clock(who);
    const auto wayThere = delay();
    at(m_now + wayThere, [this, &who, sentAt, incarnation = who.self.incarnation] {
        const std::size_t head = m_log.size();
        if (who.self.incarnation != incarnation) {
            return;
        }
        onNode(who, delay(), [this, &who, sentAt, head] {
            replayTo(who, head);
            const instant counted = m_variant == unsafe_variant::lease_from_receipt ? clock(who) : sentAt;
            handle(who, roster_log_read {counted, log_offset(static_cast<std::int64_t>(head))});
        });
    });
}

void fleet_model::replayTo(node &who, std::size_t count)
{
    if (count <= who.replayed) {
        return;
    }
    who.replayed = count;
    const log_state &state = m_log[count - 1];
    const auto found = state->rosters.find(who.dataCentre);
    const roster_state roster = found == state->rosters.end() ? roster_state() : found->second;
    who.ledger->setView(state, clock(who));
    handle(who, roster_replayed {log_offset(static_cast<std::int64_t>(count) - 1), roster});
}

void fleet_model::handle(node &who, const roster_event &event, node *asker, instant askedAt)
{
    const auto actions = who.authority->handle(event, clock(who), who.random);
    who.given = who.authority->authority();
    if (m_variant == unsafe_variant::no_settle_wait) {
        who.given.exclusiveFrom = deadline();
    }
    who.ledger->setAuthority(who.given, clock(who));
    for (const roster_action &action : actions) {
        act(who, action, asker, askedAt);
    }
}

void fleet_model::act(node &who, const roster_action &action, node *asker, instant askedAt)
{
    if (const auto *appended = std::get_if<roster_append>(&action)) {
        if (m_isLogUp && who.logCuts == 0) {
            // A record may stay on its way for long, and the proposer may die meanwhile.
            at(m_now + delay() * static_cast<int>(1 + m_random.below(4)), [this, record = appended->record] { append(record); });
        }
    }
    if (const auto *ask = std::get_if<roster_request_freshness>(&action)) {
        if (node *to = find(ask->to)) {
            const instant sentAt = clock(who);
            send(who, *to, [this, to, &who, sentAt, epoch = ask->ask.epoch] {
                handle(*to, roster_freshness_requested {epoch}, &who, sentAt);
            });
        }
    }
    if (const auto *reply = std::get_if<roster_respond_freshness>(&action)) {
        const std::optional<peer_freshness_response> &answer = reply->answer;
        if (answer && asker != nullptr) {
            send(who, *asker, [this, asker, answer = *answer, askedAt, count = who.replayed, from = who.self.instance] {
                replayTo(*asker, count);
                handle(*asker, roster_peer_freshness {from, askedAt, answer});
            });
        }
    }
}

// The list shows what was so a round ago.
void fleet_model::sendList()
{
    std::map<data_centre_id, roster_instances_listed> current;
    for (const auto &who : m_nodes) {
        for (const auto &id : {data_centre_id("a"), data_centre_id("b")}) {
            const bool isListed = who->isAlive && who->dataCentre == id && who->logCuts == 0 && m_now >= who->pausedUntil;
            if (isListed) {
                current[id].present.push_back(who->self);
            }
            if (isListed && !who->isLeaving) {
                current[id].joinable.push_back(who->self);
            }
            if (who->dataCentre != id) {
                current[id].relays.push_back(who->self.instance);
            }
        }
    }
    m_lists.push_back(current);
    const auto &shown = m_lists[m_lists.size() > 1 ? m_lists.size() - 2 : 0];
    for (const auto &who : m_nodes) {
        if (who->logCuts == 0 && shown.contains(who->dataCentre)) {
            onNode(*who, delay(), [this, &who = *who, listed = shown.at(who->dataCentre)] { handle(who, listed); });
        }
    }
    at(m_now + 300ms, [this] { sendList(); });
}

void fleet_model::request(node &who, token_count amount, int tries)
{
    const request_id id(std::to_string(m_requests++));
    const instant now = clock(who);
    if (who.ledger->charge(id, workspace, amount, now)) {
        m_grants[id] = {m_now, amount};
        const token_count actual(static_cast<std::int64_t>(m_random.below(static_cast<std::uint64_t>(amount.value()) + 1)));
        onNode(who, std::chrono::milliseconds(m_random.below(m_random.below(2) == 0 ? 400 : 4000)), [this, &who, id, actual] {
            m_grants[id].cost = actual;
            refund(who, who.ledger->settle(id, actual, clock(who)));
        });
        return;
    }
    if (tries == 0) {
        refund(who, who.ledger->returnLoans(workspace, now));
        return;
    }
    for (const outgoing_loan_request &wanted : who.ledger->loanRequests(workspace, amount, now)) {
        node *lender = find(wanted.to);
        send(who, *lender, [this, lender, &who, wanted, now] {
            peer_loan_response answer = lender->ledger->lend(wanted.ask, clock(*lender));
            m_findings.loans += answer.amount > token_count() ? 1 : 0;
            if (m_variant == unsafe_variant::grant_before_debit && answer.amount > token_count()) {
                lender->ledger->acceptRefund({workspace, answer.amount, answer.loan, 0}, clock(*lender));
            }
            send(*lender, who, [this, lender, &who, answer, now] {
                who.ledger->borrow(workspace, lender->self.instance, answer, now, clock(who));
            });
        });
    }
    onNode(who, 100ms, [this, &who, amount, tries] { request(who, amount, tries - 1); });
}

void fleet_model::refund(node &who, const std::vector<outgoing_loan_refund> &returns)
{
    for (const outgoing_loan_refund &back : returns) {
        node *lender = find(back.to);
        send(who, *lender, [this, lender, refund = back.refund] { lender->ledger->acceptRefund(refund, clock(*lender)); });
    }
}

fleet_model::node *fleet_model::find(const instance_id &instance)
{
    const auto found = std::find_if(m_nodes.begin(), m_nodes.end(), [&](const auto &who) { return who->self.instance == instance; });
    return found == m_nodes.end() ? nullptr : found->get();
}

// Members at the same epoch agree on the owner, so only settled authorities at different epochs are compared.
void fleet_model::check()
{
    for (std::size_t first = 0; first < m_nodes.size(); first += nodesPerDataCentre) {
        std::vector<decision_authority> settled;
        for (std::size_t i = first; i < first + nodesPerDataCentre; ++i) {
            if (m_nodes[i]->isAlive && m_nodes[i]->given.isSettled(clock(*m_nodes[i]))) {
                settled.push_back(m_nodes[i]->given);
            }
        }
        const bool isOneEpoch = std::all_of(settled.begin(), settled.end(), [&](const auto &one) { return one.epoch == settled[0].epoch; });
        for (const char *key : {"k0", "k1", "k2", "k3", "k4", "k5"}) {
            const auto owners = isOneEpoch ? 0 : std::count_if(settled.begin(), settled.end(), [key](const auto &one) {
                return *rendezvousOwner(key, one.members) == one.self;
            });
            m_findings.doubleOwners += owners > 1 ? 1 : 0;
        }
    }
}

// For every window, cost <= burst + rate * length; the clocks that buckets run on drift.
double fleet_model::tokensOver() const
{
    std::vector<grant> sorted;
    for (const auto &entry : m_grants) {
        sorted.push_back(entry.second);
    }
    std::sort(sorted.begin(), sorted.end(), [](const grant &left, const grant &right) { return left.at < right.at; });
    const double rate = fleetRate * (1.0 + worstDrift);
    double spent = 0;
    double lowest = 0;
    double worst = -1e9;
    for (const grant &one : sorted) {
        const double due = rate * std::chrono::duration<double>(one.at.time_since_epoch()).count();
        lowest = spent == 0 ? -due : std::min(lowest, spent - due);
        spent += static_cast<double>(one.cost.value());
        worst = std::max(worst, spent - due - lowest - fleetBurst);
    }
    return std::max(0.0, std::floor(worst));
}

} // namespace burdockshelf
