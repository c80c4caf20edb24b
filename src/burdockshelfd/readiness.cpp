#include "burdockshelfd/readiness.h"

#include "state/is_drained.h"

#include <utility>

#include <glog/logging.h>

namespace burdockshelf
{

readiness::readiness(instance_id instance, data_centre_id dataCentre, address<operations_message> operations)
    : m_instance(std::move(instance))
    , m_dataCentre(std::move(dataCentre))
    , m_operations(std::move(operations))
{
}

void readiness::setListening()
{
    m_isListening = true;
    reportChange();
}

void readiness::setShuttingDown()
{
    m_isShuttingDown = true;
    reportChange();
}

void readiness::setView(const state_view &view)
{
    m_isConfigured = view.config.version > configuration_version();
    m_isDrained = isDrained(view, m_instance, m_dataCentre);
    reportChange();
}

// Returns why the instance is not ready, or an empty string if it is ready.
std::string readiness::notReadyReason() const
{
    if (m_isShuttingDown) {
        return "shutting down";
    }
    if (!m_isListening) {
        return "starting";
    }
    if (!m_isConfigured) {
        return "no configuration is in force yet";
    }
    return m_isDrained ? "taken out of service" : "";
}

void readiness::reportChange()
{
    const std::string reason = notReadyReason();
    if (m_reportedReason == reason) {
        return;
    }
    // If the mailbox does not accept the update, the next call reports it again.
    if (m_operations.post(readiness_changed {reason.empty(), reason}) == post_result::delivered) {
        m_reportedReason = reason;
    } else {
        LOG(WARNING) << "operators: the change of readiness could not be delivered to operations_task.";
    }
}

} // namespace burdockshelf
