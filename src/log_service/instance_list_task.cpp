#include "log_service/instance_list_task.h"

#include "wire/platform_codec.h"

#include <utility>

#include <glog/logging.h>

namespace burdockshelf
{

namespace
{

constexpr byte_count maxAnnouncementResponse {16 * 1024};
// An instance takes some 200 bytes in the list.
constexpr byte_count maxListResponse {1024 * 1024};

error instanceListError(const http_call_result &result)
{
    if (result.has_error()) {
        return result.error().cause;
    }
    return {error_code::unavailable, "the instance list answered with status " + std::to_string(result.value().status)};
}

bool isOkResponse(const http_call_result &result)
{
    return result.has_value() && result.value().status == 200;
}

} // namespace

instance_list_task::instance_list_task(event_loop &loop,
                                       std::shared_ptr<mailbox<instance_list_task_message>> box,
                                       instance_list_settings settings,
                                       std::vector<sink<instance_list>> receivers,
                                       random_source random)
    : task(std::move(box))
    , m_settings(std::move(settings))
    , m_receivers(std::move(receivers))
    , m_random(random)
    , m_client(loop, m_settings.platform)
    , m_cycleTimer(loop, [this] { runCycle(); })
{
}

outcome<void> instance_list_task::start()
{
    runCycle();
    return success();
}

void instance_list_task::handle(instance_list_task_message &&message)
{
    std::visit([this](const auto &content) { receive(content); }, message);
}

void instance_list_task::receive(const announce_state &announcement)
{
    m_settings.self.state = announcement.state;
    restartAnnouncement();
}

void instance_list_task::receive(const announce_address &announcement)
{
    m_settings.self.mesh = announcement.mesh;
    restartAnnouncement();
}

// Cancels an announcement in flight, since it may carry the previous state or address.
void instance_list_task::restartAnnouncement()
{
    if (m_announcement) {
        m_client.cancel(*std::exchange(m_announcement, std::nullopt));
    }
    announce();
}

// The interval is shortened at random by up to a tenth, so that instances that start together do not send their calls at the same time.
void instance_list_task::runCycle()
{
    const auto shortened = std::chrono::duration<double>(m_settings.interval) * (1.0 - 0.1 * m_random.uniform());
    m_cycleTimer.start(deadline::after(boot_clock::now(), std::chrono::duration_cast<boot_clock::duration>(shortened)));
    if (!m_announcement) {
        announce();
    }
    if (!m_read) {
        readList();
    }
}

void instance_list_task::announce()
{
    if (m_settings.self.mesh.port == 0) {
        return;
    }
    const http_request call = {"POST", "/instances/register", {{"Content-Type", "application/json"}}, encodeInstance(m_settings.self)};
    m_announcement =
        m_client.send(call,
                      {nullptr, nullptr, [this](const http_call_result &result) { finishAnnouncement(result); }, maxAnnouncementResponse},
                      callDeadline());
}

void instance_list_task::readList()
{
    m_read = m_client.send({"GET", "/instances", {}, {}},
                           {nullptr, nullptr, [this](const http_call_result &result) { finishList(result); }, maxListResponse},
                           callDeadline());
}

void instance_list_task::finishAnnouncement(const http_call_result &result)
{
    m_announcement.reset();
    if (!isOkResponse(result)) {
        reportFailure(instanceListError(result));
    }
}

void instance_list_task::finishList(const http_call_result &result)
{
    m_read.reset();
    if (!isOkResponse(result)) {
        reportFailure(instanceListError(result));
        return;
    }
    auto instances = decodeInstanceList(result.value().body);
    if (!instances) {
        reportFailure(instances.error());
        return;
    }
    m_isUnreachable = false;
    publish({std::move(instances).value()});
}

void instance_list_task::publish(const instance_list &list)
{
    for (const sink<instance_list> &receiver : m_receivers) {
        if (receiver.post(list) == post_result::full) {
            // Not retried, since the next list replaces this one.
            LOG(WARNING) << "platform: an instance list was dropped, the receiver's mailbox is full.";
        }
    }
}

void instance_list_task::reportFailure(const error &cause)
{
    if (!m_isUnreachable) {
        LOG(WARNING) << "platform: the instance list at " << m_settings.platform << " cannot be used: " << cause << ".";
    }
    m_isUnreachable = true;
}

deadline instance_list_task::callDeadline() const
{
    return deadline::after(boot_clock::now(), m_settings.callTimeout);
}

} // namespace burdockshelf
