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

/// The result of one read of the platform's log.
struct log_batch
{
    /// Oldest offset that the log still retains.
    log_offset first;
    /// Offset of the next record to be appended.
    log_offset head;
    std::vector<stored_record> records;
    /// When the read was sent. The authority to make decisions is counted from this time, not from the arrival of the response.
    instant sentAt;
};

/// A read of the log failed.
struct log_unreachable
{
    error cause;
};

/// The result of one attempt to append. After an error other than invalid_argument the record may have been stored.
struct append_result
{
    record_id id;
    outcome<log_offset> result;
};

/// Asks log_task for one attempt to append.
struct append_request
{
    record_id id;
    log_record record;
    sink<append_result> reply;
};

/// Asks log_task to continue reading at another offset, for example after the state was loaded from a peer at startup.
struct seek_request
{
    log_offset next;
};

using log_task_message = std::variant<append_request, seek_request>;

/// The platform's list of instances; may be outdated.
struct instance_list
{
    std::vector<listed_instance> instances;
};

/// Changes the state under which this instance is listed.
struct announce_state
{
    instance_state state = instance_state::live;
};

/// Sets the address at which peers reach this instance. Nothing is announced before it is known.
struct announce_address
{
    socket_address mesh;
};

using instance_list_task_message = std::variant<announce_state, announce_address>;

} // namespace burdockshelf
