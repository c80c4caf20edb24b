#pragma once

#include "forwarding/flow_messages.h"
#include "forwarding/stream_origins.h"
#include "forwarding/version_record.h"
#include "gateway/quota_broker_messages.h"
#include "mesh/mesh_messages.h"

#include <optional>
#include <variant>
#include <vector>

namespace burdockshelf
{

// To version_task.

/// The versions of the registered endpoints of services with resumable streams.
struct versions_registered
{
    service_versions versions;
};

/// The streams of this instance that their callers may resume; replaces those sent before.
struct open_streams
{
    std::vector<open_stream> streams;
};

/// Asks for the origin of a stream that a caller resumes and that this instance has not seen.
struct stream_lookup
{
    flow_id flow;
    /// The try that began the stream; empty if the caller names none.
    attempt_id stream;
    /// The services at which it may have begun.
    std::vector<service_id> services;
};

/// The store has come back from an older copy, which may lack records that it had acknowledged.
struct store_restored
{
};

using version_message =
    std::variant<versions_registered, open_streams, stream_lookup, store_restored, holders_listed, peer_message_received, peer_response>;

// From version_task to the dispatcher.

/// The versions that may begin streams.
struct versions_recorded
{
    service_versions versions;
};

struct stream_found
{
    flow_id flow;
    /// Unset if it is not known, or cannot be found out now.
    std::optional<stream_origin> origin;
    /// The store has answered.
    bool isCertain = false;
};

} // namespace burdockshelf
