#include "burdockshelfctl/new_key.h"

#include "core/digest.h"
#include "state/find_workspace_for_key.h"

namespace burdockshelf
{

namespace
{

/// 64 bits: with a million keys the chance that two share an id is below one in ten million, and replay rejects the second.
constexpr std::size_t idDigits = 16;

} // namespace

new_key makeKey(const workspace_id &workspace, random_source &random)
{
    const key_id id(random.hexId().substr(0, idDigits));
    const std::string salt = randomSecret();
    const std::string secret = randomSecret();
    return {"bsk_" + id.value() + "_" + secret, {id, workspace, salt, keyDigest(salt, secret)}};
}

} // namespace burdockshelf
