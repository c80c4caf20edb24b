#pragma once

#include "forwarding/endpoint_entry.h"

namespace burdockshelf
{

/// The service and the software version that began a stream. The stream goes on only there, because the output of another version does not
/// continue it.
struct stream_origin
{
    service_id service;
    service_version version;

    friend bool operator==(const stream_origin &, const stream_origin &) = default;
};

} // namespace burdockshelf
