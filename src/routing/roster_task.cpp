#include "routing/roster_task.h"

#include <utility>

#include <glog/logging.h>

namespace burdockshelf
{

namespace
{

// roster_authority is correct at any tick interval. This is a fifteenth of the lease, so that a deadline is noticed well within the lease.
constexpr auto tickInterval = std::chrono::milliseconds(200);
// Limit on pending freshness requests. Beyond it the oldest is dropped, which removes requests whose response was lost.
constexpr std::size_t maxPendingRequests = 256;
constexpr std::size_t maxRelays = 3;
// Leaving the roster takes the wait for loans and an append. During a log outage the instance stops without a leave record.
constexpr auto leaveTimeout = std::chrono::seconds(5);

bool isSame(const decision_authority &left, const decision_authority &right)
{
    return left.epoch == right.epoch && left.until == right.until && left.exclusiveFrom == right.exclusiveFrom
        && left.members == right.members;
}

} // namespace

roster_task::roster_task(event_loop &loop,
                         std::shared_ptr<mailbox<roster_task_message>> box,
                         data_centre_id dataCentre,
                         roster_member self,
                         roster_settings settings,
                         roster_task_sinks sinks,
                         random_source random,
                         clock now)
    : task(std::move(box))
    , m_dataCentre(dataCentre)
    , m_settings(settings)
    , m_authority(std::move(dataCentre), std::move(self), settings)
    , m_sinks(std::move(sinks))
    , m_random(random)
    , m_now(std::move(now))
    , m_tickTimer(loop, [this] { tick(); })
{
}

outcome<void> roster_task::start()
{
    tick();
    return success();
}

void roster_task::beginShutdown()
{
    m_isShuttingDown = true;
    m_shutdownDeadline = deadline::after(m_now(), leaveTimeout);
    const bool wasMember = m_authority.isMember();
    handleEvent(roster_leave());
    if (!wasMember) {
        finishShutdown();
    }
}

void roster_task::handle(roster_task_message &&message)
{
    std::visit([this](const auto &received) { receive(received); }, message);
}

void roster_task::receive(const view_changed &changed)
{
    const auto found = changed.view->rosters.find(m_dataCentre);
    m_roster = found == changed.view->rosters.end() ? roster_state() : found->second;
    handleEvent(roster_replayed {changed.view->covered, m_roster});
}

void roster_task::receive(const replay_advanced &advanced)
{
    handleEvent(roster_replayed {advanced.covered, m_roster});
}

void roster_task::receive(const log_batch &batch)
{
    handleEvent(roster_log_read {batch.sentAt, batch.head});
}

void roster_task::receive(const log_unreachable & /*outage*/)
{
    handleEvent(roster_log_unreachable());
}

void roster_task::receive(const instance_list &list)
{
    roster_instances_listed listed;
    for (const listed_instance &instance : list.instances) {
        const roster_member member = {instance.instance, instance.incarnation};
        if (instance.dataCentre != m_dataCentre) {
            listed.relays.push_back(instance.instance);
            continue;
        }
        listed.present.push_back(member);
        if (instance.state == instance_state::live) {
            listed.joinable.push_back(member);
        }
    }
    while (listed.relays.size() > maxRelays) {
        std::swap(listed.relays[m_random.below(listed.relays.size())], listed.relays.back());
        listed.relays.pop_back();
    }
    handleEvent(listed);
}

// The result does not show whether another copy of the record is still in flight; replay decides.
void roster_task::receive(const append_result &result)
{
    if (result.result.has_error()) {
        LOG(INFO) << "routing: the append of a roster record was not confirmed: " << result.result.error();
    }
}

void roster_task::receive(const peer_message_received &received)
{
    if (const auto *request = std::get_if<peer_freshness_request>(&received.message)) {
        handleEvent(roster_freshness_requested {request->epoch, received.from.dataCentre == m_dataCentre}, &received);
    }
}

void roster_task::receive(const peer_response &response)
{
    const auto found = m_pendingRequests.find(response.exchange);
    if (found == m_pendingRequests.end()) {
        return;
    }
    const pending_request request = found->second;
    m_pendingRequests.erase(found);
    if (response.answer.has_error()) {
        return;
    }
    if (const auto *freshness = std::get_if<peer_freshness_response>(&response.answer.value())) {
        handleEvent(roster_peer_freshness {request.to, request.sentAt, *freshness});
    }
}

void roster_task::receive(const peer_status & /*status*/)
{
}

void roster_task::receive(const leave_roster & /*leave*/)
{
    handleEvent(roster_leave());
}

void roster_task::handleEvent(const roster_event &event, const peer_message_received *requester)
{
    const std::vector<roster_action> actions = m_authority.handle(event, m_now(), m_random);
    // Published first, so that no task of this instance decides at an epoch that a message sent below has ended.
    publish();
    for (const roster_action &action : actions) {
        std::visit([&](const auto &wanted) { executeAction(wanted, requester); }, action);
    }
}

void roster_task::executeAction(const roster_append &append, const peer_message_received * /*requester*/)
{
    const auto posted = m_sinks.log.post(append_request {append.id, append.record, makeSink<append_result>(self())});
    LOG_IF(WARNING, posted != post_result::delivered) << "routing: could not post a roster record to log_task; retrying";
}

void roster_task::executeAction(const roster_request_freshness &request, const peer_message_received * /*requester*/)
{
    if (m_pendingRequests.size() >= maxPendingRequests) {
        m_pendingRequests.erase(m_pendingRequests.begin());
    }
    const instant now = m_now();
    m_pendingRequests[m_nextExchange] = {request.to, now};
    const peer_request send = {m_nextExchange++, request.ask, deadline::after(now, m_settings.lease), makeSink<peer_response>(self())};
    const auto posted = m_sinks.peers.post({request.to, send});
    LOG_IF(WARNING, posted != post_result::delivered) << "routing: could not send a freshness request to instance " << request.to;
}

void roster_task::executeAction(const roster_respond_freshness &answer, const peer_message_received *requester)
{
    if (requester == nullptr) {
        return;
    }
    peer_message reply = acknowledgement {false};
    if (answer.answer) {
        reply = *answer.answer;
    }
    const auto posted = requester->reply.post(std::move(reply));
    LOG_IF(WARNING, posted != post_result::delivered)
        << "routing: could not send a freshness response to instance " << requester->from.instance;
}

void roster_task::executeAction(const roster_left & /*left*/, const peer_message_received * /*requester*/)
{
    LOG(INFO) << "routing: this instance has left the roster";
    finishShutdown();
}

void roster_task::publish()
{
    const decision_authority authority = m_authority.authority();
    if (m_isPublished && isSame(authority, m_published)) {
        return;
    }
    if (authority.epoch != m_published.epoch) {
        LOG(INFO) << "routing: roster epoch " << authority.epoch << " with " << authority.members.size() << " members";
    }
    m_published = authority;
    m_isPublished = true;
    const auto shared = std::make_shared<const decision_authority>(authority);
    for (const sink<authority_changed> &listener : m_sinks.authority) {
        // A lost post is safe: an authority that is not renewed ends at its deadline. The next tick posts it again.
        m_isPublished = listener.post({shared}) != post_result::full && m_isPublished;
    }
}

void roster_task::tick()
{
    handleEvent(roster_tick());
    m_tickTimer.start(deadline::after(boot_clock::now(), tickInterval));
    if (m_isShuttingDown && m_shutdownDeadline.hasPassed(m_now())) {
        LOG(WARNING) << "routing: stopping without a leave record in the log; the roster may still list this instance";
        finishShutdown();
    }
}

void roster_task::finishShutdown()
{
    if (std::exchange(m_isShuttingDown, false)) {
        m_tickTimer.stop();
        finish();
    }
}

} // namespace burdockshelf
