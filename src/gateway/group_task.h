#pragma once

#include "gateway/assignment_messages.h"
#include "gateway/dialects.h"
#include "gateway/gateway_messages.h"
#include "gateway/quota_broker_messages.h"
#include "gateway/serial_http_client.h"
#include "gateway/store_call_counter.h"
#include "logging/log_writer_task.h"
#include "runtime/task.h"

namespace burdockshelf
{

struct group_settings
{
    peer_instance self;
    socket_address store;
};

/// Tasks to which group_task sends messages.
struct group_addresses
{
    address<stage_control_message> stageControl;
    address<quota_broker_message> quotas;
    address<store_message> store;
    address<version_message> versions;
    address<mesh_supervisor_message> mesh;
    store_call_counter calls;
};

/// Keeps this instance a member of the group to whose members the store assigns stage control and the partitions of the quota pool, and
/// reports the assignment of this instance to the tasks that act on it.
class group_task : public task<group_message>
{
public:
    /// The store reassigns the work of an instance that has not renewed its membership for this long.
    static constexpr std::chrono::milliseconds sessionTimeout {6000};

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
    /// A confirmed member without work, while no holder is known to have failed.
    bool isIdle(instant now) const;
    void handleJoined(const outcome<http_response> &response, instant sentAt);
    void handleGenerationChange(const group_assignment &joined);
    void readHolders();
    void handleHolders(const outcome<http_response> &response);
    /// Has the mesh keep connections to the holders of partitions, and to no other instances.
    void connectToHolders(const std::vector<quota_partition_holder> &holders);
    void logUndelivered(post_result result, std::string_view receiver);

    group_settings m_settings;
    const store_dialect &m_dialect;
    group_addresses m_to;
    event_log m_log;
    serial_http_client m_joinCall;
    serial_http_client m_holdersCall;
    timer m_joinTimer;
    timer m_holdersReadTimer;
    /// Earliest time at which the list of holders may be read again.
    deadline m_nextHoldersReadAt;
    group_assignment m_assignment;
    bool m_isConfirmed = false;
    bool m_isLeaving = false;
    /// While the work of another member may be about to be reassigned.
    deadline m_takeoverUntil;
};

} // namespace burdockshelf
