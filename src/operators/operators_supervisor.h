#pragma once

#include "operators/operations_task.h"
#include "runtime/supervisor.h"

#include <memory>

namespace burdockshelf
{

/// Supervises operations_task. The mailbox outlives restarts of the task, but the status collected so far is lost; each task posts its
/// status again with its next change.
class operators_supervisor : public supervisor
{
public:
    operators_supervisor(event_loop &loop,
                         const std::shared_ptr<mailbox<operations_message>> &box,
                         const operations_settings &settings,
                         const sink<operations_listening> &listening);
};

} // namespace burdockshelf
