#include "routing/roster_task.h"

#include <utility>

#include <glog/logging.h>

namespace burdockshelf
{

namespace
{

// The rules hold at any pace; this one is a fifteenth of the lease, so that a deadline is noticed well within it.
constexpr auto tickPause = std::chrono::milliseconds(200);
// Asks that are open at the same time; a lost answer is forgotten when newer asks need its place.
constexpr std::size_t asksKept = 256;
constexpr std::size_t relaysAsked = 3;
// A leave needs the wait for loans and an append; in an outage of the log the instance goes without a record.
constexpr auto leavePatience = std::chrono::seconds(5);

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
                         roster_outlets outlets,
                         random_source random,
                         clock now)
    : task(std::move(box))
    , m_dataCentre(dataCentre)
    , m_settings(settings)
    , m_authority(std::move(dataCentre), std::move(self), settings)
    , m_outlets(std::move(outlets))
    , m_random(random)
    , m_now(std::move(now))
    , m_tick(loop, [this] { tick(); })
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
    m_shutdownUntil = deadline::after(m_now(), leavePatience);
    const bool wasMember = m_authority.isMember();
    feed(roster_leave());
    if (!wasMember) {
        endShutdown();
    }
}

void roster_task::handle(roster_task_message &&message)
{
    std::visit([this](const auto &received) { on(received); }, message);
}

void roster_task::on(const view_changed &changed)
{
    const auto found = changed.view->rosters.find(m_dataCentre);
    m_roster = found == changed.view->rosters.end() ? roster_state() : found->second;
    feed(roster_replayed {changed.view->covered, m_roster});
}

void roster_task::on(const replay_advanced &advanced)
{
    feed(roster_replayed {advanced.covered, m_roster});
}

void roster_task::on(const log_batch &batch)
{
    feed(roster_log_read {batch.sentAt, batch.head});
}

void roster_task::on(const log_unreachable & /*lost*/)
{
    feed(roster_log_unreachable());
}

void roster_task::on(const instance_list &list)
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
    while (listed.relays.size() > relaysAsked) {
        std::swap(listed.relays[m_random.below(listed.relays.size())], listed.relays.back());
        listed.relays.pop_back();
    }
    feed(listed);
}

// The result does not tell whether a copy is still on its way; replay decides.
void roster_task::on(const append_result &result)
{
    if (result.result.has_error()) {
        LOG(INFO) << "routing: roster record was not confirmed: " << result.result.error();
    }
}

void roster_task::on(const peer_message_received &received)
{
    if (const auto *ask = std::get_if<peer_freshness_request>(&received.message)) {
        feed(roster_freshness_requested {ask->epoch, received.from.dataCentre == m_dataCentre}, &received);
    }
}

void roster_task::on(const peer_response &answer)
{
    const auto asked = m_asks.find(answer.exchange);
    if (asked == m_asks.end()) {
        return;
    }
    const pending_ask ask = asked->second;
    m_asks.erase(asked);
    if (answer.answer.has_error()) {
        return;
    }
    if (const auto *freshness = std::get_if<peer_freshness_response>(&answer.answer.value())) {
        feed(roster_peer_freshness {ask.to, ask.at, *freshness});
    }
}

void roster_task::on(const peer_status & /*status*/)
{
}

void roster_task::on(const leave_roster & /*leave*/)
{
    feed(roster_leave());
}

void roster_task::feed(const roster_event &event, const peer_message_received *asker)
{
    const std::vector<roster_action> actions = m_authority.handle(event, m_now(), m_random);
    // Told first, so that nobody here decides at an epoch that a message sent now has ended.
    publish();
    for (const roster_action &action : actions) {
        std::visit([&](const auto &wanted) { act(wanted, asker); }, action);
    }
}

void roster_task::act(const roster_append &append, const peer_message_received * /*asker*/)
{
    const auto posted = m_outlets.log.post(append_request {append.id, append.record, makeSink<append_result>(self())});
    LOG_IF(WARNING, posted != post_result::delivered) << "routing: roster record waits for a busy log task";
}

void roster_task::act(const roster_request_freshness &ask, const peer_message_received * /*asker*/)
{
    if (m_asks.size() >= asksKept) {
        m_asks.erase(m_asks.begin());
    }
    const instant now = m_now();
    m_asks[m_nextExchange] = {ask.to, now};
    const peer_request send = {m_nextExchange++, ask.ask, deadline::after(now, m_settings.lease), makeSink<peer_response>(self())};
    const auto posted = m_outlets.peers.post({ask.to, send});
    LOG_IF(WARNING, posted != post_result::delivered) << "routing: ask for freshness was not sent to " << ask.to;
}

void roster_task::act(const roster_respond_freshness &answer, const peer_message_received *asker)
{
    if (asker == nullptr) {
        return;
    }
    peer_message reply = acknowledgement {false};
    if (answer.answer) {
        reply = *answer.answer;
    }
    const auto posted = asker->reply.post(std::move(reply));
    LOG_IF(WARNING, posted != post_result::delivered) << "routing: freshness was not answered to " << asker->from.instance;
}

void roster_task::act(const roster_left & /*left*/, const peer_message_received * /*asker*/)
{
    LOG(INFO) << "routing: this instance has left the roster";
    endShutdown();
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
    for (const sink<authority_changed> &listener : m_outlets.authority) {
        // An authority that is not told again ends at its deadline, so a lost post is safe; the next tick posts it again.
        m_isPublished = listener.post({shared}) != post_result::full && m_isPublished;
    }
}

void roster_task::tick()
{
    feed(roster_tick());
    m_tick.start(deadline::after(boot_clock::now(), tickPause));
    if (m_isShuttingDown && m_shutdownUntil.hasPassed(m_now())) {
        LOG(WARNING) << "routing: the roster was left without a record";
        endShutdown();
    }
}

void roster_task::endShutdown()
{
    if (std::exchange(m_isShuttingDown, false)) {
        m_tick.stop();
        finish();
    }
}

} // namespace burdockshelf
