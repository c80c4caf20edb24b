#pragma once

#include "core/outcome.h"
#include "state/state_view.h"

#include <string>
#include <string_view>

namespace burdockshelf
{

/// Digest of an API key's secret, as stored in the log: SHA-256 of salt and secret, in hexadecimal.
std::string keyDigest(std::string_view salt, std::string_view secret);

/// Returns the workspace of an API key of the form bsk_<id>_<secret>. Errors: unknown_key, also for a wrong secret, and key_withdrawn.
outcome<workspace_id> findWorkspaceForKey(const state_view &view, std::string_view presentedKey);

} // namespace burdockshelf
