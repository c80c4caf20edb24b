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
    tell();
}

void readiness::setShuttingDown()
{
    m_isShuttingDown = true;
    tell();
}

void readiness::setView(const state_view &view)
{
    m_isConfigured = view.config.version > configuration_version();
    m_isDrained = isDrained(view, m_instance, m_dataCentre);
    tell();
}

// Why the instance is not ready, empty when it is.
std::string readiness::obstacle() const
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

void readiness::tell()
{
    const std::string reason = obstacle();
    if (m_told == reason) {
        return;
    }
    // An update that is not taken is told again with the next change.
    if (m_operations.post(readiness_changed {reason.empty(), reason}) == post_result::delivered) {
        m_told = reason;
    } else {
        LOG(WARNING) << "operators: the change of readiness could not be delivered.";
    }
}

} // namespace burdockshelf
