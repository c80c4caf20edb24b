#pragma once

#include "core/random_source.h"
#include "http/http_client.h"
#include "log_service/log_service_messages.h"
#include "runtime/task.h"
#include "runtime/timer.h"

#include <chrono>
#include <optional>
#include <vector>

namespace burdockshelf
{

struct instance_list_settings
{
    socket_address platform;
    /// The entry that this instance registers for itself.
    listed_instance self;
    /// Longest time between two announcements and between two reads of the list; each is shortened at random by up to a tenth.
    std::chrono::milliseconds interval {2000};
    std::chrono::milliseconds callTimeout {2000};
};

/// Registers this instance with the platform and polls the platform's list of instances, both at the interval of the settings. While the
/// platform is unreachable nothing is published, and the receivers keep using the last list.
class instance_list_task : public task<instance_list_task_message>
{
public:
    instance_list_task(event_loop &loop,
                       std::shared_ptr<mailbox<instance_list_task_message>> box,
                       instance_list_settings settings,
                       std::vector<sink<instance_list>> receivers,
                       random_source random);

    outcome<void> start() override;

protected:
    void handle(instance_list_task_message &&message) override;

private:
    void receive(const announce_state &announcement);
    void receive(const announce_address &announcement);
    void restartAnnouncement();

    void runCycle();
    void announce();
    void readList();
    void finishAnnouncement(const http_call_result &result);
    void finishList(const http_call_result &result);
    void publish(const instance_list &list);
    void reportFailure(const error &cause);
    deadline callDeadline() const;

    instance_list_settings m_settings;
    std::vector<sink<instance_list>> m_receivers;
    random_source m_random;
    http_client m_client;
    timer m_cycleTimer;
    std::optional<http_call_id> m_announcement;
    std::optional<http_call_id> m_read;
    bool m_isUnreachable = false;
};

} // namespace burdockshelf
