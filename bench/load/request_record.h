#pragma once

#include "core/boot_clock.h"
#include "core/ids.h"
#include "core/units.h"

#include <string>

namespace burdockshelf
{

/// One offered request and what became of it. Indexes refer to the load plan.
struct request_record
{
    std::size_t workspace = 0;
    std::size_t shape = 0;
    /// Since the start of the run.
    boot_clock::duration planned {0};
    boot_clock::duration ended {0};
    boot_clock::duration firstToken {0};
    boot_clock::duration meanBetweenTokens {0};
    boot_clock::duration longestBetweenTokens {0};
    token_count received;
    int status = 0;
    /// The error code of a refusal, or what broke the call; empty for a whole answer.
    std::string code;
    bool isNotExecuted = false;
    bool isWhole = false;
    bool isEnded = false;
    /// True when the workspace's rate and burst covered the request at the time it was offered.
    bool isWithinRate = false;
};

} // namespace burdockshelf
