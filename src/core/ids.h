#pragma once

#include "core/strong_id.h"

namespace burdockshelf
{

/// A machine that runs the router. The id is set in its settings.
using instance_id = strong_id<struct instance_tag>;
/// One run of the daemon on an instance. Every start generates a new random id.
using incarnation_id = strong_id<struct incarnation_tag>;
using data_centre_id = strong_id<struct data_centre_tag>;
using region_id = strong_id<struct region_tag>;
using workspace_id = strong_id<struct workspace_tag>;
using endpoint_id = strong_id<struct endpoint_tag>;
/// A language model or other service that callers send requests to.
using service_id = strong_id<struct service_tag>;
/// A release of a service, such as v1.
using service_version = strong_id<struct service_version_tag>;
/// The public part of an API key.
using key_id = strong_id<struct key_tag>;
using request_id = strong_id<struct request_tag>;
/// One attempt to run a request at an endpoint.
using attempt_id = strong_id<struct attempt_tag>;
/// Unique id that the writer of a log record assigns to it.
using record_id = strong_id<struct record_tag>;
using idempotency_key = strong_id<struct idempotency_key_tag>;
using urgency_class_id = strong_id<struct urgency_class_tag>;

} // namespace burdockshelf
