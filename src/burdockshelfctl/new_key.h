#pragma once

#include "core/random_source.h"
#include "state/log_record.h"

#include <string>

namespace burdockshelf
{

/// A key that nobody else has seen: its text for the caller, and the grant for the log, which holds no secret.
struct new_key
{
    std::string text;
    key_grant grant;
};

/// Draws a key. The id comes from the random source; salt and secret come from the operating system.
new_key makeKey(const workspace_id &workspace, random_source &random);

} // namespace burdockshelf
