#pragma once

#include "core/ids.h"
#include "operators/operations_messages.h"
#include "runtime/mailbox.h"
#include "state/state_view.h"

#include <optional>
#include <string>

namespace burdockshelf
{

/// Determines whether the load balancer should send requests to this instance. The instance is ready when its listener is open and a
/// configuration is active, unless operators have drained the instance or its data centre, or the instance is shutting down. Reports
/// changes to operations_task.
class readiness
{
public:
    readiness(instance_id instance, data_centre_id dataCentre, address<operations_message> operations);

    void setListening();
    void setShuttingDown();
    void setView(const state_view &view);

private:
    std::string notReadyReason() const;
    void reportChange();

    instance_id m_instance;
    data_centre_id m_dataCentre;
    address<operations_message> m_operations;
    std::optional<std::string> m_reportedReason;
    bool m_isListening = false;
    bool m_isShuttingDown = false;
    bool m_isConfigured = false;
    bool m_isDrained = false;
};

} // namespace burdockshelf
