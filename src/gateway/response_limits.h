#pragma once

#include "core/units.h"

/// Largest bodies of the responses that a gateway accepts, by what a sound response to the call contains. A longer one ends the call, and
/// its connection is closed.
namespace burdockshelf::response_limits
{

/// The response to a caller's request. No service sends larger ones.
constexpr byte_count request {8 * 1024 * 1024};
/// An id and a few figures, or nothing: reservations, prefills, releases, orders to engines, and writes to the store.
constexpr byte_count acknowledgement {16 * 1024};
/// The load report of an engine, which lists the requests that it runs.
constexpr byte_count engineStatus {256 * 1024};
/// The partitions that a member of the group holds, or the holders of all partitions.
constexpr byte_count partitions {256 * 1024};
/// Records of the store: at most a megabyte of them in one response, which the encoding of values in base64 makes larger by a third.
constexpr byte_count records {4 * 1024 * 1024};

} // namespace burdockshelf::response_limits
