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
    , m_tickTimer(loop, [this] { tick(); })
{
}

outcome<void> slot_task::start()
{
    const instant now = boot_clock::now();
    m_nextHoldings = deadline::after(now, m_settings.holdingsInterval);
    m_tickTimer.start(deadline::after(now, m_settings.loadInterval));
    return success();
}

void slot_task::handle(slot_task_message &&message)
{
    std::visit([this](const auto &content) { receive(content); }, message);
    const bool isLoadMessage = std::holds_alternative<load_report>(message) || std::holds_alternative<endpoint_unreachable>(message);
    if (!isLoadMessage) {
        m_reporter.noteChange();
    }
}

void slot_task::receive(const view_changed &change)
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

void slot_task::receive(const authority_changed &change)
{
    const auto before = std::exchange(m_authority, change.authority);
    if (before->epoch == m_authority->epoch && before->members == m_authority->members) {
        return;
    }
    refreshOwnership();
    releaseOrphanedSlots();
    sendHoldings();
}

void slot_task::receive(const slot_request &request)
{
    const auto endpointOwner = ownerOfEndpoint(request.endpoint);
    if (!endpointOwner) {
        answerRequest(request, {});
        return;
    }
    if (endpointOwner->member != m_self) {
        requestFromOwner(request, *endpointOwner);
        return;
    }
    const instant now = boot_clock::now();
    answerRequest(request, hasAuthority(now) ? m_ledger.ask(request.endpoint, m_self.incarnation, request.request, now) : slot_load());
}

void slot_task::receive(const slot_release &release)
{
    for (auto &[exchange, pending] : m_pendingRequests) {
        if (pending.request.request == release.request && pending.request.endpoint == release.endpoint) {
            pending.isReleased = true;
        }
    }
    if (m_held.erase({release.endpoint, release.request}) > 0) {
        releaseAtOwner({release, m_settings.maxReleaseAttempts});
    }
}

void slot_task::receive(const load_report &report)
{
    const owned_endpoint before = describe(report.endpoint);
    m_ledger.observeLoad(report.endpoint, report.incarnation, report.used, report.total);
    m_unreachable.erase(report.endpoint);
    noteChangeSince(before);
}

void slot_task::receive(const endpoint_unreachable &report)
{
    const owned_endpoint before = describe(report.endpoint);
    m_ledger.observeFailure(report.endpoint);
    if (m_ledger.owns(report.endpoint)) {
        m_unreachable.insert(report.endpoint);
    }
    noteChangeSince(before);
}

void slot_task::receive(const peer_message_received &received)
{
    peer_message reply = std::visit([&](const auto &content) { return answer(received.from, content); }, received.message);
    if (received.reply.post(std::move(reply)) != post_result::delivered) {
        LOG(WARNING) << "routing: could not send a response to instance " << received.from.instance << ".";
    }
}

void slot_task::receive(const peer_response &response)
{
    if (const auto request = m_pendingRequests.extract(response.exchange)) {
        finishOwnerRequest(request.mapped(), response.answer);
        return;
    }
    const auto *confirmation = response.answer ? std::get_if<acknowledgement>(&response.answer.value()) : nullptr;
    const bool isConfirmed = confirmation != nullptr && confirmation->isAccepted;
    if (auto release = m_pendingReleases.extract(response.exchange)) {
        if (!isConfirmed && release.mapped().attemptsLeft > 0) {
            m_releasesToRetry.push_back(std::move(release.mapped()));
        }
        return;
    }
    if (m_pendingLists.erase(response.exchange) > 0 && !isConfirmed) {
        // The owner has not replayed the epoch yet or cannot be reached. It needs the list before it may grant slots, so the list is sent
        // again at the next tick.
        m_nextHoldings = deadline();
    }
}

// A silent member loses its slots when their lease expires; a restored connection needs no action.
void slot_task::receive(const peer_status & /*status*/)
{
}

peer_message slot_task::answer(const peer &from, const peer_slot_request &request)
{
    const instant now = boot_clock::now();
    if (request.epoch != m_authority->epoch || !hasAuthority(now) || !liveIncarnations().contains(from.incarnation)) {
        return acknowledgement {false};
    }
    const slot_load load = m_ledger.ask(request.endpoint, from.incarnation, request.request, now);
    return peer_slot_response {request.epoch, load.isGranted, load.used, load.limit};
}

peer_message slot_task::answer(const peer & /*from*/, const peer_slot_release &release)
{
    m_ledger.freeSlot(release.endpoint, release.request, release.verdict);
    return acknowledgement {m_ledger.owns(release.endpoint)};
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
    LOG(WARNING) << "routing: instance " << from.instance << " sent a message that slot_task does not handle.";
    return acknowledgement {false};
}

void slot_task::requestFromOwner(const slot_request &request, const owner &to)
{
    const std::uint64_t exchange = ++m_lastExchange;
    m_pendingRequests.emplace(exchange, pending_request {request});
    if (!postToPeer(to, exchange, peer_slot_request {to.epoch, request.endpoint, request.request}, request.until)) {
        m_pendingRequests.erase(exchange);
        answerRequest(request, {});
        return;
    }
    m_askedOwners[to.member] = to.epoch;
}

void slot_task::finishOwnerRequest(const pending_request &pending, const outcome<peer_message> &result)
{
    const slot_request &request = pending.request;
    const auto *granted = result ? std::get_if<peer_slot_response>(&result.value()) : nullptr;
    const slot_load load = granted != nullptr ? slot_load {granted->isGranted, granted->used, granted->limit} : slot_load();
    const bool isOutcomeUnknown = !result;
    if (isOutcomeUnknown || (pending.isReleased && load.isGranted)) {
        // The owner may have granted the slot even though its response was lost.
        releaseAtOwner({{request.request, request.endpoint, attempt_verdict::cancelled}, m_settings.maxReleaseAttempts});
    }
    if (!pending.isReleased) {
        answerRequest(request, load);
    }
}

void slot_task::answerRequest(const slot_request &request, const slot_load &load)
{
    const slot_decision decision {request.request, request.endpoint, load.isGranted, load.used, load.limit};
    const bool isDelivered = request.reply.post(decision) == post_result::delivered;
    if (!load.isGranted) {
        return;
    }
    if (isDelivered) {
        m_held.emplace(request.endpoint, request.request);
    } else {
        releaseAtOwner({{request.request, request.endpoint, attempt_verdict::cancelled}, m_settings.maxReleaseAttempts});
    }
}

void slot_task::releaseAtOwner(pending_release pending)
{
    const slot_release release = pending.release;
    const auto endpointOwner = ownerOfEndpoint(release.endpoint);
    if (!endpointOwner) {
        return;
    }
    if (endpointOwner->member == m_self) {
        m_ledger.freeSlot(release.endpoint, release.request, release.verdict);
        return;
    }
    --pending.attemptsLeft;
    const std::uint64_t exchange = ++m_lastExchange;
    if (postToPeer(*endpointOwner, exchange, peer_slot_release {release.endpoint, release.request, release.verdict}, messageDeadline())) {
        m_pendingReleases.emplace(exchange, std::move(pending));
    } else if (pending.attemptsLeft > 0) {
        m_releasesToRetry.push_back(std::move(pending));
    }
}

void slot_task::refreshOwnership()
{
    // Another member may have owned the endpoints in a skipped epoch, and its grants are unknown here.
    if (m_authority->epoch > m_ownedEpoch + roster_epoch(1)) {
        m_ledger = slot_ledger(m_settings.ledger);
    }
    m_ownedEpoch = m_authority->epoch;
    for (const endpoint_id &endpoint : m_ledger.owned()) {
        const auto endpointOwner = ownerOfEndpoint(endpoint);
        if (!endpointOwner || endpointOwner->member != m_self) {
            m_ledger.disown(endpoint);
            m_unreachable.erase(endpoint);
        }
    }
    for (const auto &[endpoint, settings] : m_view->config.endpoints) {
        const bool isLocal = settings.dataCentre == m_authority->dataCentre;
        const roster_member *member = isLocal ? rendezvousOwner(endpoint.value(), m_authority->members) : nullptr;
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
    for (const auto &[endpoint, request] : m_ledger.releaseOrphanedSlots(liveIncarnations(), now)) {
        m_reporter.noteChange();
        LOG(INFO) << "routing: endpoint " << endpoint << ": aborting request " << request
                  << " because its instance left the roster or stopped renewing its slots.";
        LOG_IF(ERROR, m_endpoints.post({endpoint, abort_request {request}}) != post_result::delivered)
            << "routing: endpoint " << endpoint << ": could not post the abort of request " << request << ".";
    }
}

void slot_task::tick()
{
    const instant now = boot_clock::now();
    m_tickTimer.start(deadline::after(now, m_settings.loadInterval));
    for (pending_release &pending : std::exchange(m_releasesToRetry, {})) {
        releaseAtOwner(std::move(pending));
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
            VLOG(1) << "routing: endpoint " << endpoint << ": could not post a load query.";
        }
    }
}

void slot_task::sendHoldings()
{
    m_nextHoldings = deadline::after(boot_clock::now(), m_settings.holdingsInterval);
    std::map<roster_member, slot_holdings> listsByOwner;
    for (const auto &[member, epoch] : std::exchange(m_askedOwners, {})) {
        listsByOwner[member].epoch = epoch;
    }
    listsByOwner[m_self].epoch = m_authority->epoch;
    for (const held_slot &slot : m_held) {
        if (const auto endpointOwner = ownerOfEndpoint(slot.first)) {
            listsByOwner[endpointOwner->member].epoch = endpointOwner->epoch;
            listsByOwner[endpointOwner->member].held.push_back(slot);
        }
    }
    m_ledger.applyHoldings(m_self.incarnation, listsByOwner[m_self].held, boot_clock::now());
    listsByOwner.erase(m_self);
    for (const auto &[member, list] : listsByOwner) {
        const std::uint64_t exchange = ++m_lastExchange;
        if (postToPeer({member, list.epoch}, exchange, list, messageDeadline())) {
            m_pendingLists.insert(exchange);
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

// Load reports arrive constantly, and most of them change nothing in the status report.
void slot_task::noteChangeSince(const owned_endpoint &before)
{
    if (describe(before.endpoint) != before) {
        m_reporter.noteChange();
    }
}

bool slot_task::report()
{
    owned_endpoints_report current;
    for (const endpoint_id &endpoint : m_ledger.owned()) {
        current.endpoints.push_back(describe(endpoint));
    }
    if (current == m_reported) {
        return true;
    }
    if (m_reports.post(current) == post_result::full) {
        return false;
    }
    m_reported = std::move(current);
    return true;
}

bool slot_task::postToPeer(const owner &to, std::uint64_t exchange, peer_message message, deadline until)
{
    const peer_request send {exchange, std::move(message), until, makeSink<peer_response>(self())};
    return m_peers.post({to.member.instance, send}) == post_result::delivered;
}

const std::vector<roster_member> &slot_task::membersOf(const data_centre_id &dataCentre) const
{
    static const std::vector<roster_member> noMembers;
    if (dataCentre == m_authority->dataCentre && !m_authority->members.empty()) {
        return m_authority->members;
    }
    const auto found = m_view->rosters.find(dataCentre);
    return found == m_view->rosters.end() ? noMembers : found->second.members;
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

std::set<incarnation_id> slot_task::liveIncarnations() const
{
    std::set<incarnation_id> live = {m_self.incarnation};
    for (const auto &[dataCentre, roster] : m_view->rosters) {
        for (const roster_member &member : roster.members) {
            live.insert(member.incarnation);
        }
    }
    for (const roster_member &member : m_authority->members) {
        live.insert(member.incarnation);
    }
    return live;
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
