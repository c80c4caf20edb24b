#include "routing/slot_task.h"

#include "policy/rendezvous.h"
#include "state/is_drained.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

namespace burdockshelf
{

slot_task::slot_task(event_loop &loop,
                     std::shared_ptr<mailbox<slot_task_message>> box,
                     roster_member self,
                     sink<peer_envelope> peers,
                     sink<endpoint_envelope> endpoints,
                     slot_task_settings settings,
                     sink<owned_endpoints_report> reports)
    : task(std::move(box))
    , m_self(std::move(self))
    , m_peers(std::move(peers))
    , m_endpoints(std::move(endpoints))
    , m_reports(std::move(reports))
    , m_settings(settings)
    , m_ledger(settings.ledger)
    , m_reporter(loop, settings.reportInterval, [this] { return report(); })
    , m_tick(loop, [this] { tick(); })
{
}

outcome<void> slot_task::start()
{
    const instant now = boot_clock::now();
    m_nextHoldings = deadline::after(now, m_settings.holdingsInterval);
    m_tick.start(deadline::after(now, m_settings.loadInterval));
    return success();
}

void slot_task::handle(slot_task_message &&message)
{
    std::visit([this](const auto &content) { take(content); }, message);
    const bool isLoadNews = std::holds_alternative<load_report>(message) || std::holds_alternative<endpoint_unreachable>(message);
    if (!isLoadNews) {
        m_reporter.noteChange();
    }
}

void slot_task::take(const view_changed &change)
{
    const state_view_ptr before = std::exchange(m_view, change.view);
    refreshOwnership();
    const auto isSameEpoch = [](const auto &left, const auto &right) {
        return left.first == right.first && left.second.epoch == right.second.epoch;
    };
    if (!std::equal(before->rosters.begin(), before->rosters.end(), m_view->rosters.begin(), m_view->rosters.end(), isSameEpoch)) {
        releaseOrphanedSlots();
        sendHoldings();
    }
}

void slot_task::take(const authority_changed &change)
{
    const auto before = std::exchange(m_authority, change.authority);
    if (before->epoch == m_authority->epoch && before->members == m_authority->members) {
        return;
    }
    refreshOwnership();
    releaseOrphanedSlots();
    sendHoldings();
}

void slot_task::take(const slot_request &request)
{
    const auto at = ownerOfEndpoint(request.endpoint);
    if (!at) {
        decide(request, {});
        return;
    }
    if (at->member != m_self) {
        askOwner(request, *at);
        return;
    }
    const instant now = boot_clock::now();
    decide(request, hasAuthority(now) ? m_ledger.ask(request.endpoint, m_self.incarnation, request.request, now) : slot_load());
}

void slot_task::take(const slot_release &release)
{
    for (auto &[exchange, ask] : m_asks) {
        if (ask.request.request == release.request && ask.request.endpoint == release.endpoint) {
            ask.isReleased = true;
        }
    }
    if (m_held.erase({release.endpoint, release.request}) > 0) {
        returnSlot({release, m_settings.returnTries});
    }
}

void slot_task::take(const load_report &report)
{
    const owned_endpoint before = describe(report.endpoint);
    m_ledger.observeLoad(report.endpoint, report.incarnation, report.used, report.total);
    m_unreachable.erase(report.endpoint);
    noteDifference(before);
}

void slot_task::take(const endpoint_unreachable &report)
{
    const owned_endpoint before = describe(report.endpoint);
    m_ledger.observeFailure(report.endpoint);
    if (m_ledger.owns(report.endpoint)) {
        m_unreachable.insert(report.endpoint);
    }
    noteDifference(before);
}

void slot_task::take(const peer_message_received &received)
{
    peer_message reply = std::visit([&](const auto &content) { return answer(received.from, content); }, received.message);
    if (received.reply.post(std::move(reply)) != post_result::delivered) {
        LOG(WARNING) << "routing: an answer to instance " << received.from.instance << " was not taken.";
    }
}

void slot_task::take(const peer_response &answer)
{
    if (const auto ask = m_asks.extract(answer.exchange)) {
        askEnded(ask.mapped(), answer.answer);
        return;
    }
    const auto *confirmed = answer.answer ? std::get_if<acknowledgement>(&answer.answer.value()) : nullptr;
    const bool isTaken = confirmed != nullptr && confirmed->isAccepted;
    if (auto given = m_returns.extract(answer.exchange)) {
        if (!isTaken && given.mapped().triesLeft > 0) {
            m_returnsToRepeat.push_back(std::move(given.mapped()));
        }
        return;
    }
    if (m_lists.erase(answer.exchange) > 0 && !isTaken) {
        // The owner has not read of the epoch yet, or cannot be reached: it needs the list before it may grant.
        m_nextHoldings = deadline();
    }
}

// Members that are silent lose their slots by the lease; a connection that comes back needs no action.
void slot_task::take(const peer_status & /*status*/)
{
}

peer_message slot_task::answer(const peer &from, const peer_slot_request &ask)
{
    const instant now = boot_clock::now();
    if (ask.epoch != m_authority->epoch || !hasAuthority(now) || !livingMembers().contains(from.incarnation)) {
        return acknowledgement {false};
    }
    const slot_load load = m_ledger.ask(ask.endpoint, from.incarnation, ask.request, now);
    return peer_slot_response {ask.epoch, load.isGranted, load.used, load.limit};
}

peer_message slot_task::answer(const peer & /*from*/, const peer_slot_release &given)
{
    m_ledger.freeSlot(given.endpoint, given.request, given.verdict);
    return acknowledgement {m_ledger.owns(given.endpoint)};
}

peer_message slot_task::answer(const peer &from, const slot_holdings &holdings)
{
    if (holdings.epoch != m_authority->epoch) {
        return acknowledgement {false};
    }
    m_ledger.applyHoldings(from.incarnation, holdings.held, boot_clock::now());
    return acknowledgement {true};
}

template<typename Other>
peer_message slot_task::answer(const peer &from, const Other & /*message*/)
{
    LOG(WARNING) << "routing: instance " << from.instance << " sent slot_task a message of another kind.";
    return acknowledgement {false};
}

void slot_task::askOwner(const slot_request &request, const owner &at)
{
    const std::uint64_t exchange = ++m_lastExchange;
    m_asks.emplace(exchange, pending_ask {request});
    if (!postToPeer(at, exchange, peer_slot_request {at.epoch, request.endpoint, request.request}, request.until)) {
        m_asks.erase(exchange);
        decide(request, {});
        return;
    }
    m_askedOwners[at.member] = at.epoch;
}

void slot_task::askEnded(const pending_ask &ask, const outcome<peer_message> &result)
{
    const slot_request &request = ask.request;
    const auto *granted = result ? std::get_if<peer_slot_response>(&result.value()) : nullptr;
    const slot_load load = granted != nullptr ? slot_load {granted->isGranted, granted->used, granted->limit} : slot_load();
    const bool isUnclear = !result;
    if (isUnclear || (ask.isReleased && load.isGranted)) {
        // Also when the answer was lost on the way the owner may have granted the slot.
        returnSlot({{request.request, request.endpoint, attempt_verdict::cancelled}, m_settings.returnTries});
    }
    if (!ask.isReleased) {
        decide(request, load);
    }
}

void slot_task::decide(const slot_request &request, const slot_load &load)
{
    const slot_decision decision {request.request, request.endpoint, load.isGranted, load.used, load.limit};
    const bool isTaken = request.reply.post(decision) == post_result::delivered;
    if (!load.isGranted) {
        return;
    }
    if (isTaken) {
        m_held.emplace(request.endpoint, request.request);
    } else {
        returnSlot({{request.request, request.endpoint, attempt_verdict::cancelled}, m_settings.returnTries});
    }
}

void slot_task::returnSlot(pending_return given)
{
    const slot_release release = given.release;
    const auto at = ownerOfEndpoint(release.endpoint);
    if (!at) {
        return;
    }
    if (at->member == m_self) {
        m_ledger.freeSlot(release.endpoint, release.request, release.verdict);
        return;
    }
    --given.triesLeft;
    const std::uint64_t exchange = ++m_lastExchange;
    if (postToPeer(*at, exchange, peer_slot_release {release.endpoint, release.request, release.verdict}, messageDeadline())) {
        m_returns.emplace(exchange, std::move(given));
    } else if (given.triesLeft > 0) {
        m_returnsToRepeat.push_back(std::move(given));
    }
}

void slot_task::refreshOwnership()
{
    // An epoch in between may have had another owner, whose grants are unknown here.
    if (m_authority->epoch > m_ownedEpoch + roster_epoch(1)) {
        m_ledger = slot_ledger(m_settings.ledger);
    }
    m_ownedEpoch = m_authority->epoch;
    for (const endpoint_id &endpoint : m_ledger.owned()) {
        const auto at = ownerOfEndpoint(endpoint);
        if (!at || at->member != m_self) {
            m_ledger.disown(endpoint);
            m_unreachable.erase(endpoint);
        }
    }
    for (const auto &[endpoint, settings] : m_view->config.endpoints) {
        const bool isNear = settings.dataCentre == m_authority->dataCentre;
        const roster_member *member = isNear ? rendezvousOwner(endpoint.value(), m_authority->members) : nullptr;
        if (member != nullptr && *member == m_self) {
            m_ledger.own(endpoint, settings.slots, m_authority->exclusiveFrom);
        }
    }
}

void slot_task::releaseOrphanedSlots()
{
    const instant now = boot_clock::now();
    if (!hasAuthority(now)) {
        return;
    }
    for (const auto &[endpoint, request] : m_ledger.releaseOrphanedSlots(livingMembers(), now)) {
        m_reporter.noteChange();
        LOG(INFO) << "routing: endpoint " << endpoint << ": aborting request " << request << " of an instance that is gone.";
        LOG_IF(ERROR, m_endpoints.post({endpoint, abort_request {request}}) != post_result::delivered)
            << "routing: endpoint " << endpoint << ": the abort of request " << request << " was not taken.";
    }
}

void slot_task::tick()
{
    const instant now = boot_clock::now();
    m_tick.start(deadline::after(now, m_settings.loadInterval));
    for (pending_return &given : std::exchange(m_returnsToRepeat, {})) {
        returnSlot(std::move(given));
    }
    if (m_nextHoldings.hasPassed(now)) {
        sendHoldings();
    }
    releaseOrphanedSlots();
    if (!hasAuthority(now)) {
        return;
    }
    for (const endpoint_id &endpoint : m_ledger.owned()) {
        if (m_endpoints.post({endpoint, load_query {}}) != post_result::delivered) {
            VLOG(1) << "routing: endpoint " << endpoint << ": a load query was not taken.";
        }
    }
}

void slot_task::sendHoldings()
{
    m_nextHoldings = deadline::after(boot_clock::now(), m_settings.holdingsInterval);
    std::map<roster_member, slot_holdings> lists;
    for (const auto &[member, epoch] : std::exchange(m_askedOwners, {})) {
        lists[member].epoch = epoch;
    }
    lists[m_self].epoch = m_authority->epoch;
    for (const held_slot &slot : m_held) {
        if (const auto at = ownerOfEndpoint(slot.first)) {
            lists[at->member].epoch = at->epoch;
            lists[at->member].held.push_back(slot);
        }
    }
    m_ledger.applyHoldings(m_self.incarnation, lists[m_self].held, boot_clock::now());
    lists.erase(m_self);
    for (const auto &[member, list] : lists) {
        const std::uint64_t exchange = ++m_lastExchange;
        if (postToPeer({member, list.epoch}, exchange, list, messageDeadline())) {
            m_lists.insert(exchange);
        } else {
            m_nextHoldings = deadline();
        }
    }
}

owned_endpoint slot_task::describe(const endpoint_id &endpoint) const
{
    const slot_load load = m_ledger.load(endpoint);
    owned_endpoint_state state = m_ledger.isWarming(endpoint) ? owned_endpoint_state::warming : owned_endpoint_state::healthy;
    if (m_unreachable.contains(endpoint)) {
        state = owned_endpoint_state::unreachable;
    }
    if (isDrained(*m_view, endpoint)) {
        state = owned_endpoint_state::drained;
    }
    return {endpoint, state, load.used, load.limit};
}

// Load reports come all the time; most of them change nothing that is shown.
void slot_task::noteDifference(const owned_endpoint &before)
{
    if (describe(before.endpoint) != before) {
        m_reporter.noteChange();
    }
}

bool slot_task::report()
{
    owned_endpoints_report made;
    for (const endpoint_id &endpoint : m_ledger.owned()) {
        made.endpoints.push_back(describe(endpoint));
    }
    if (made == m_reported) {
        return true;
    }
    if (m_reports.post(made) == post_result::full) {
        return false;
    }
    m_reported = std::move(made);
    return true;
}

bool slot_task::postToPeer(const owner &to, std::uint64_t exchange, peer_message message, deadline until)
{
    const peer_request send {exchange, std::move(message), until, makeSink<peer_response>(self())};
    return m_peers.post({to.member.instance, send}) == post_result::delivered;
}

const std::vector<roster_member> &slot_task::membersOf(const data_centre_id &dataCentre) const
{
    static const std::vector<roster_member> nobody;
    if (dataCentre == m_authority->dataCentre && !m_authority->members.empty()) {
        return m_authority->members;
    }
    const auto found = m_view->rosters.find(dataCentre);
    return found == m_view->rosters.end() ? nobody : found->second.members;
}

roster_epoch slot_task::epochOf(const data_centre_id &dataCentre) const
{
    if (dataCentre == m_authority->dataCentre && !m_authority->members.empty()) {
        return m_authority->epoch;
    }
    const auto found = m_view->rosters.find(dataCentre);
    return found == m_view->rosters.end() ? roster_epoch() : found->second.epoch;
}

std::optional<slot_task::owner> slot_task::ownerOfEndpoint(const endpoint_id &endpoint) const
{
    const auto found = m_view->config.endpoints.find(endpoint);
    if (found == m_view->config.endpoints.end()) {
        return std::nullopt;
    }
    const data_centre_id &dataCentre = found->second.dataCentre;
    const roster_member *member = rendezvousOwner(endpoint.value(), membersOf(dataCentre));
    return member == nullptr ? std::nullopt : std::optional(owner {*member, epochOf(dataCentre)});
}

std::set<incarnation_id> slot_task::livingMembers() const
{
    std::set<incarnation_id> living = {m_self.incarnation};
    for (const auto &[dataCentre, roster] : m_view->rosters) {
        for (const roster_member &member : roster.members) {
            living.insert(member.incarnation);
        }
    }
    for (const roster_member &member : m_authority->members) {
        living.insert(member.incarnation);
    }
    return living;
}

bool slot_task::hasAuthority(instant now) const
{
    return m_authority->isValid(now);
}

deadline slot_task::messageDeadline() const
{
    return deadline::after(boot_clock::now(), m_settings.messageTimeout);
}

} // namespace burdockshelf
