#include "deployment_test.h"

namespace burdockshelf
{

std::unique_ptr<deployment> deployment_test::sharedDeployment;

void deployment_test::setup()
{
    if (sharedDeployment) {
        return;
    }
    sharedDeployment = std::make_unique<deployment>();
    const auto started = sharedDeployment->start();
    CHECK_SEEN(started.has_value(), started.error().message);
}

void deployment_test::teardown()
{
    if (UtestShell::getCurrent()->hasFailed()) {
        sharedDeployment.reset();
    }
}

deployment &deployment_test::running()
{
    return *sharedDeployment;
}

} // namespace burdockshelf
