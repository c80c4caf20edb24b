#pragma once

#include "core/ids.h"
#include "operators/operations_messages.h"
#include "runtime/mailbox.h"
#include "state/state_view.h"

#include <optional>
#include <string>

namespace burdockshelf
{

/// Whether the load balancer should send callers to this instance. Ready once the listener is open and a configuration is in force, unless
/// operators have taken the instance or its data centre out of service or the instance is shutting down. Tells operations_task of changes.
class readiness
{
public:
    readiness(instance_id instance, data_centre_id dataCentre, address<operations_message> operations);

    void setListening();
    void setShuttingDown();
    void setView(const state_view &view);

private:
    std::string obstacle() const;
    void tell();

    instance_id m_instance;
    data_centre_id m_dataCentre;
    address<operations_message> m_operations;
    std::optional<std::string> m_told;
    bool m_isListening = false;
    bool m_isShuttingDown = false;
    bool m_isConfigured = false;
    bool m_isDrained = false;
};

} // namespace burdockshelf
