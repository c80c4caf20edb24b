#include "operators/operators_supervisor.h"

namespace burdockshelf
{

operators_supervisor::operators_supervisor(event_loop &loop,
                                           const std::shared_ptr<mailbox<operations_message>> &box,
                                           const operations_settings &settings,
                                           const sink<operations_listening> &listening)
    : supervisor(loop, "operators", std::make_unique<one_for_one>())
{
    addChild({"operations", [&loop, box, settings, listening] {
                  return std::make_unique<operations_task>(loop, box, settings, listening);
              }});
}

} // namespace burdockshelf
