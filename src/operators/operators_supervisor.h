#pragma once

#include "operators/operations_task.h"
#include "runtime/supervisor.h"

#include <memory>

namespace burdockshelf
{

/// The branch of the operators: operations_task. The mailbox outlives restarts of the task; what the task was told is then told again by
/// the parts with their next change.
class operators_supervisor : public supervisor
{
public:
    operators_supervisor(event_loop &loop,
                         const std::shared_ptr<mailbox<operations_message>> &box,
                         const operations_settings &settings,
                         const sink<operations_listening> &listening);
};

} // namespace burdockshelf
