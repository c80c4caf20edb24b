#pragma once

#include "gateway/assignment_messages.h"
#include "gateway/dialects.h"
#include "gateway/gateway_messages.h"
#include "gateway/quota_broker_messages.h"
#include "gateway/serial_http_client.h"
#include "logging/log_writer_task.h"
#include "runtime/task.h"

namespace burdockshelf
{

struct group_settings
{
    peer_instance self;
    socket_address store;
};

/// Whom the group's news concern.
struct group_addresses
{
    address<stage_control_message> duty;
    address<quota_broker_message> quotas;
    address<store_message> store;
    address<mesh_supervisor_message> mesh;
};

/// Keeps this instance in the group among which the store deals the duties of the fleet, and tells the tasks that carry them out what this
/// instance holds.
class group_task : public task<group_message>
{
public:
    /// The store gives the duties of an instance to others after this silence.
    static constexpr std::chrono::milliseconds sessionTimeout {3000};

    group_task(event_loop &loop,
               std::shared_ptr<mailbox<group_message>> box,
               group_settings settings,
               const store_dialect &dialect,
               group_addresses to,
               event_log log);

    outcome<void> start() override;
    void beginShutdown() override;

private:
    void handle(group_message &&message) override;
    void join();
    void takeJoined(const outcome<http_response> &answer, instant sentAt);
    void noteChange(const group_assignment &joined);
    void readHolders();
    void takeHolders(const outcome<http_response> &answer);
    /// Keeps connections to those who hold parts, and to nobody else.
    void connectTo(const std::vector<quota_partition_holder> &holders);
    void noteUndelivered(post_result result, std::string_view receiver);

    group_settings m_settings;
    const store_dialect &m_dialect;
    group_addresses m_to;
    event_log m_log;
    serial_http_client m_joinCall;
    serial_http_client m_holdersCall;
    timer m_nextJoin;
    timer m_nextHolders;
    /// The list of holders is not read again before this.
    deadline m_holdersAllowedAt;
    group_assignment m_known;
    bool m_isConfirmed = false;
};

} // namespace burdockshelf
