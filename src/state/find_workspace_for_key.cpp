#include "state/find_workspace_for_key.h"

#include "core/digest.h"

namespace burdockshelf
{

namespace
{

constexpr std::string_view keyPrefix = "bsk_";

auto unknownKey()
{
    return failure(error_code::unknown_key, "unknown API key");
}

} // namespace

std::string keyDigest(std::string_view salt, std::string_view secret)
{
    return sha256Hex(std::string(salt) + std::string(secret));
}

// The id may contain underscores, the secret does not: the last underscore separates them.
outcome<workspace_id> findWorkspaceForKey(const state_view &view, std::string_view presentedKey)
{
    const auto divider = presentedKey.rfind('_');
    if (!presentedKey.starts_with(keyPrefix) || divider < keyPrefix.size()) {
        return unknownKey();
    }
    const std::string_view id = presentedKey.substr(keyPrefix.size(), divider - keyPrefix.size());
    const std::string_view secret = presentedKey.substr(divider + 1);
    const auto found = view.keys.find(key_id(std::string(id)));
    if (id.empty() || secret.empty() || found == view.keys.end()) {
        return unknownKey();
    }
    const key_state &key = found->second;
    // A key that was withdrawn before its grant was replayed has no digest to compare with.
    const bool isMatch = key.digest.empty() ? key.isWithdrawn : isEqualConstantTime(key.digest, keyDigest(key.salt, secret));
    if (!isMatch) {
        return unknownKey();
    }
    if (key.isWithdrawn) {
        return failure(error_code::key_withdrawn, "API key " + std::string(id) + " was withdrawn");
    }
    return key.workspace;
}

} // namespace burdockshelf
