#pragma once

#include "core/strong_id.h"

#include <vector>

namespace burdockshelf
{

/// Part of a prompt, such as a system prompt or a document, as named by the caller. Prompts that contain the same part name it alike.
using prompt_part_id = strong_id<struct prompt_part_tag>;

/// The parts that a prompt consists of.
struct prompt_parts
{
    /// Parts that other prompts may contain too, in their order.
    std::vector<prompt_part_id> shared;
    /// The last part, which belongs to this request or its session; empty for requests without a prompt.
    prompt_part_id own;
};

} // namespace burdockshelf
