#include "deployment_test.h"

namespace burdockshelf
{

std::unique_ptr<deployment> deployment_test::m_shared;

void deployment_test::setup()
{
    if (m_shared) {
        return;
    }
    m_shared = std::make_unique<deployment>();
    const auto started = m_shared->start();
    CHECK_SEEN(started.has_value(), started.error().message);
}

void deployment_test::teardown()
{
    if (UtestShell::getCurrent()->hasFailed()) {
        m_shared.reset();
    }
}

deployment &deployment_test::running()
{
    return *m_shared;
}

} // namespace burdockshelf
