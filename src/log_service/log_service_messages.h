#pragma once

#include "core/boot_clock.h"
#include "core/ids.h"
#include "core/outcome.h"
#include "core/units.h"
#include "log_service/listed_instance.h"
#include "runtime/sink.h"
#include "state/stored_record.h"

#include <variant>
#include <vector>

namespace burdockshelf
{

/// The result of a read of the platform's log.
struct log_batch
{
    /// Oldest offset that the log still keeps.
    log_offset first;
    /// Offset that the next record will get.
    log_offset head;
    std::vector<stored_record> records;
    /// When the read was sent; authority counts from here.
    instant sentAt;
};

/// The log did not answer a read.
struct log_unreachable
{
    error cause;
};

/// What became of one try to append. An error other than invalid_argument leaves open whether the record was stored.
struct append_result
{
    record_id id;
    outcome<log_offset> result;
};

/// Asks log_task to try one append.
struct append_request
{
    record_id id;
    log_record record;
    sink<append_result> reply;
};

/// Asks log_task to read on from an offset instead of the one it is at, for example after a start from a peer's state.
struct seek_request
{
    log_offset next;
};

using log_task_message = std::variant<append_request, seek_request>;

/// The platform's list of instances, as old as the platform makes it.
struct instance_list
{
    std::vector<listed_instance> instances;
};

/// Changes what this instance says of itself in the list.
struct announce_state
{
    instance_state state = instance_state::live;
};

/// The address at which peers reach this instance. Nothing is announced before it is known.
struct announce_address
{
    socket_address mesh;
};

using instance_list_task_message = std::variant<announce_state, announce_address>;

} // namespace burdockshelf
