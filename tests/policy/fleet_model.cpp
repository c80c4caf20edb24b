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
constexpr double maxClockDrift = 0.004;

roster_settings rosterSettings()
{
    roster_settings settings;
    settings.takeoverWait = 20s;
    // Shorter than the lease, so that a member can be replaced while it still has authority.
    settings.listStabilityPeriod = 100ms;
    settings.retryInterval = 300ms;
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
    // The latest result of the roster authority.
    decision_authority lastAuthority;
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
        fresh->drift = (2 * m_random.uniform() - 1) * maxClockDrift;
        m_nodes.push_back(std::move(fresh));
        start(*m_nodes.back());
    }
    sendList();
}

fleet_model::~fleet_model() = default;

model_findings fleet_model::run(const std::vector<fault> &faults, std::chrono::seconds faultPeriod)
{
    runUntil(m_now + 12s);
    const instant begin = m_now;
    for (const fault &injected : faults) {
        at(begin + injected.at, [this, injected] { apply(injected, true); });
        at(std::min(begin + injected.at + injected.duration, begin + faultPeriod), [this, injected] { apply(injected, false); });
    }
    runUntil(begin + faultPeriod + 1s);
    m_isFaulty = false;
    // The longest recovery is a takeover: list lag, takeover_wait, a proposal, and the wait until the authority is exclusive.
    runUntil(m_now + 45s);
    for (const auto &member : m_nodes) {
        m_findings.membersWithoutAuthority += member->lastAuthority.isExclusive(clock(*member)) ? 0 : 1;
    }
    const std::size_t grantsBefore = m_grants.size();
    for (const auto &member : m_nodes) {
        request(*member, token_count(fleetRate / 12), 2);
    }
    runUntil(m_now + 2s);
    m_findings.refusalsAfterRecovery = static_cast<int>(m_nodes.size() + grantsBefore - m_grants.size());
    m_findings.excessTokens = excessTokens();
    m_findings.grants = m_grants.size();
    return m_findings;
}

void fleet_model::at(instant when, std::function<void()> action)
{
    m_events.emplace(when, std::move(action));
}

// Events of a paused node are delivered when it resumes. Events for an earlier incarnation are lost.
void fleet_model::scheduleOnNode(node &target, boot_clock::duration delay, std::function<void()> action)
{
    at(m_now + delay, [this, &target, incarnation = target.self.incarnation, action = std::move(action)] {
        if (!target.isAlive || target.self.incarnation != incarnation) {
            return;
        }
        if (m_now < target.pausedUntil) {
            scheduleOnNode(target, target.pausedUntil - m_now, action);
            return;
        }
        action();
    });
}

void fleet_model::send(node &from, node &to, const std::function<void()> &action)
{
    const bool isCut = from.peerCuts > 0 || to.peerCuts > 0 || (m_cutDataCentre > 0 && from.dataCentre != to.dataCentre);
    const double faultProbability = m_isFaulty ? 0.05 : 0.0;
    if (isCut || m_random.uniform() < faultProbability) {
        return;
    }
    scheduleOnNode(to, delay(), action);
    if (m_random.uniform() < faultProbability) {
        scheduleOnNode(to, delay() + 500ms, action);
    }
}

boot_clock::duration fleet_model::delay()
{
    const std::uint64_t longest = m_isFaulty && m_random.below(10) == 0 ? 1500 : 20;
    return std::chrono::milliseconds(1 + m_random.below(longest));
}

instant fleet_model::clock(const node &member) const
{
    const auto drifted = std::chrono::duration_cast<boot_clock::duration>(m_now.time_since_epoch() * (1.0 + member.drift));
    return instant(drifted + member.offset);
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

void fleet_model::start(node &member)
{
    member.random = random_source(m_random.below(1U << 30U));
    member.self.incarnation = incarnation_id(member.random.hexId());
    member.isAlive = true;
    member.isLeaving = false;
    member.pausedUntil = {};
    member.replayed = 0;
    member.lastAuthority = {};
    member.authority = std::make_unique<roster_authority>(member.dataCentre, member.self, rosterSettings());
    quota_settings settings;
    settings.dataCentre = member.dataCentre;
    settings.self = member.self;
    settings.reallocationDelay = rosterSettings().takeoverWait;
    member.ledger = std::make_unique<quota_ledger>(settings, m_strategy, member.random.below(1U << 30U));
    scheduleOnNode(member, delay(), [this, &member] { tick(member, member.self.incarnation); });
}

void fleet_model::apply(const fault &injected, bool isActive)
{
    node &member = *m_nodes[injected.node % m_nodes.size()];
    const int change = isActive ? 1 : -1;
    switch (injected.kind) {
    case fault_kind::kill:
        if (isActive) {
            member.isAlive = false;
        } else if (!member.isAlive) {
            start(member);
        }
        break;
    case fault_kind::pause:
        if (isActive) {
            member.pausedUntil = std::max(member.pausedUntil, m_now + injected.duration);
        }
        break;
    case fault_kind::cut_from_log:
        member.logCuts += change;
        break;
    case fault_kind::cut_from_peers:
        member.peerCuts += change;
        break;
    case fault_kind::cut_data_centre:
        // Cuts one data centre from the other and from the log.
        m_cutDataCentre += change;
        for (const auto &other : m_nodes) {
            other->logCuts += other->dataCentre == member.dataCentre ? change : 0;
        }
        break;
    case fault_kind::log_outage:
        m_isLogUp = !isActive;
        break;
    case fault_kind::leave:
        if (isActive && member.isAlive) {
            member.isLeaving = true;
            scheduleOnNode(member, 0ms, [this, &member] { handle(member, roster_leave()); });
        } else if (!isActive && member.isLeaving) {
            start(member);
        }
        break;
    case fault_kind::reallocate:
        if (isActive) {
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

void fleet_model::tick(node &member, const incarnation_id &incarnation)
{
    if (member.self.incarnation != incarnation) {
        return;
    }
    handle(member, roster_tick());
    read(member);
    // Traffic pauses from time to time, so that buckets are full when it resumes.
    const bool isBusy = m_now.time_since_epoch() % 8s < 5s;
    if (m_isFaulty && isBusy && !member.isLeaving) {
        request(member, token_count(1 + static_cast<std::int64_t>(m_random.below(fleetBurst / 4))), 2);
    }
    scheduleOnNode(
        member, std::chrono::milliseconds(150 + m_random.below(200)), [this, &member, incarnation] { tick(member, incarnation); });
}

void fleet_model::read(node &member)
{
    if (!m_isLogUp || member.logCuts > 0) {
        scheduleOnNode(member, 300ms, [this, &member] { handle(member, roster_log_unreachable()); });
        return;
    }
    const instant sentAt = clock(member);
    const auto requestDelay = delay();
    at(m_now + requestDelay, [this, &member, sentAt, incarnation = member.self.incarnation] {
        const std::size_t head = m_log.size();
        if (member.self.incarnation != incarnation) {
            return;
        }
        scheduleOnNode(member, delay(), [this, &member, sentAt, head] {
            replayTo(member, head);
            const instant counted = m_variant == unsafe_variant::lease_from_receipt ? clock(member) : sentAt;
            handle(member, roster_log_read {counted, log_offset(static_cast<std::int64_t>(head))});
        });
    });
}

void fleet_model::replayTo(node &member, std::size_t count)
{
    if (count <= member.replayed) {
        return;
    }
    member.replayed = count;
    const log_state &state = m_log[count - 1];
    const auto found = state->rosters.find(member.dataCentre);
    const roster_state roster = found == state->rosters.end() ? roster_state() : found->second;
    member.ledger->setView(state, clock(member));
    handle(member, roster_replayed {log_offset(static_cast<std::int64_t>(count) - 1), roster});
}

void fleet_model::handle(node &member, const roster_event &event, node *requester, instant askedAt)
{
    const auto actions = member.authority->handle(event, clock(member), member.random);
    member.lastAuthority = member.authority->authority();
    if (m_variant == unsafe_variant::no_settle_wait) {
        member.lastAuthority.exclusiveFrom = deadline();
    }
    member.ledger->setAuthority(member.lastAuthority, clock(member));
    for (const roster_action &action : actions) {
        perform(member, action, requester, askedAt);
    }
}

void fleet_model::perform(node &member, const roster_action &action, node *requester, instant askedAt)
{
    if (const auto *appended = std::get_if<roster_append>(&action)) {
        if (m_isLogUp && member.logCuts == 0) {
            // A record may be in flight for a long time, and its proposer may die in the meantime.
            at(m_now + delay() * static_cast<int>(1 + m_random.below(4)), [this, record = appended->record] { append(record); });
        }
    }
    if (const auto *ask = std::get_if<roster_request_freshness>(&action)) {
        if (node *to = find(ask->to)) {
            const instant sentAt = clock(member);
            send(member, *to, [this, to, &member, sentAt, epoch = ask->ask.epoch] {
                handle(*to, roster_freshness_requested {epoch}, &member, sentAt);
            });
        }
    }
    if (const auto *reply = std::get_if<roster_respond_freshness>(&action)) {
        const std::optional<peer_freshness_response> &answer = reply->answer;
        if (answer && requester != nullptr) {
            send(member, *requester, [this, requester, answer = *answer, askedAt, count = member.replayed, from = member.self.instance] {
                replayTo(*requester, count);
                handle(*requester, roster_peer_freshness {from, askedAt, answer});
            });
        }
    }
}

// The list shows the state of the previous round.
void fleet_model::sendList()
{
    std::map<data_centre_id, roster_instances_listed> current;
    for (const auto &member : m_nodes) {
        for (const auto &id : {data_centre_id("a"), data_centre_id("b")}) {
            const bool isListed = member->isAlive && member->dataCentre == id && member->logCuts == 0 && m_now >= member->pausedUntil;
            if (isListed) {
                current[id].present.push_back(member->self);
            }
            if (isListed && !member->isLeaving) {
                current[id].joinable.push_back(member->self);
            }
            if (member->dataCentre != id) {
                current[id].relays.push_back(member->self.instance);
            }
        }
    }
    m_lists.push_back(current);
    const auto &shown = m_lists[m_lists.size() > 1 ? m_lists.size() - 2 : 0];
    for (const auto &member : m_nodes) {
        if (member->logCuts == 0 && shown.contains(member->dataCentre)) {
            scheduleOnNode(*member, delay(), [this, &member = *member, listed = shown.at(member->dataCentre)] { handle(member, listed); });
        }
    }
    at(m_now + 300ms, [this] { sendList(); });
}

void fleet_model::request(node &member, token_count amount, int tries)
{
    const request_id id(std::to_string(m_requests++));
    const instant now = clock(member);
    if (member.ledger->charge(id, workspace, amount, now)) {
        m_grants[id] = {m_now, amount};
        const token_count actual(static_cast<std::int64_t>(m_random.below(static_cast<std::uint64_t>(amount.value()) + 1)));
        scheduleOnNode(member, std::chrono::milliseconds(m_random.below(m_random.below(2) == 0 ? 400 : 4000)), [this, &member, id, actual] {
            m_grants[id].cost = actual;
            refund(member, member.ledger->settle(id, actual, clock(member)));
        });
        return;
    }
    if (tries == 0) {
        refund(member, member.ledger->returnLoans(workspace, now));
        return;
    }
    for (const outgoing_loan_request &wanted : member.ledger->loanRequests(workspace, amount, now)) {
        node *lender = find(wanted.to);
        send(member, *lender, [this, lender, &member, wanted, now] {
            peer_loan_response answer = lender->ledger->lend(wanted.ask, clock(*lender));
            m_findings.loans += answer.amount > token_count() ? 1 : 0;
            if (m_variant == unsafe_variant::grant_before_debit && answer.amount > token_count()) {
                lender->ledger->acceptRefund({workspace, answer.amount, answer.loan, 0}, clock(*lender));
            }
            send(*lender, member, [this, lender, &member, answer, now] {
                member.ledger->borrow(workspace, lender->self.instance, answer, now, clock(member));
            });
        });
    }
    scheduleOnNode(member, 100ms, [this, &member, amount, tries] { request(member, amount, tries - 1); });
}

void fleet_model::refund(node &member, const std::vector<outgoing_loan_refund> &returns)
{
    for (const outgoing_loan_refund &back : returns) {
        node *lender = find(back.to);
        send(member, *lender, [this, lender, refund = back.refund] { lender->ledger->acceptRefund(refund, clock(*lender)); });
    }
}

fleet_model::node *fleet_model::find(const instance_id &instance)
{
    const auto found = std::find_if(m_nodes.begin(), m_nodes.end(), [&](const auto &member) { return member->self.instance == instance; });
    return found == m_nodes.end() ? nullptr : found->get();
}

// Members at the same epoch agree on the owner, so only exclusive authorities at different epochs are compared.
void fleet_model::check()
{
    for (std::size_t first = 0; first < m_nodes.size(); first += nodesPerDataCentre) {
        std::vector<decision_authority> exclusive;
        for (std::size_t i = first; i < first + nodesPerDataCentre; ++i) {
            if (m_nodes[i]->isAlive && m_nodes[i]->lastAuthority.isExclusive(clock(*m_nodes[i]))) {
                exclusive.push_back(m_nodes[i]->lastAuthority);
            }
        }
        const bool isOneEpoch =
            std::all_of(exclusive.begin(), exclusive.end(), [&](const auto &one) { return one.epoch == exclusive[0].epoch; });
        for (const char *key : {"k0", "k1", "k2", "k3", "k4", "k5"}) {
            const auto owners = isOneEpoch ? 0 : std::count_if(exclusive.begin(), exclusive.end(), [key](const auto &one) {
                return *rendezvousOwner(key, one.members) == one.self;
            });
            m_findings.doubleOwners += owners > 1 ? 1 : 0;
        }
    }
}

// Requires cost <= burst + rate * length for every time window. The rate includes the drift of the clocks that the buckets use.
double fleet_model::excessTokens() const
{
    std::vector<grant> sorted;
    for (const auto &entry : m_grants) {
        sorted.push_back(entry.second);
    }
    std::sort(sorted.begin(), sorted.end(), [](const grant &left, const grant &right) { return left.at < right.at; });
    const double rate = fleetRate * (1.0 + maxClockDrift);
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
