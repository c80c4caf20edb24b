#pragma once

namespace burdockshelf
{

/// What an attempt asks of an endpoint.
enum class attempt_kind
{
    /// Executes the whole request at an endpoint of a plain service.
    plain_call,
    /// Reserves capacity at a decode endpoint for the request.
    reserve,
    /// Processes the prompt.
    prefill,
    /// Generates the output.
    decode,
};

} // namespace burdockshelf
