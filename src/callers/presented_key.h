#pragma once

#include "http/http_message.h"

#include <string>

namespace burdockshelf
{

/// Takes the key out of a request and returns it; empty when there is none. The Authorization and X-Api-Key headers, the whole Cookie
/// header and the api_key parameter of the query are removed, whether they hold a key of ours or not, so that no endpoint sees a secret.
std::string takePresentedKey(http_request &request);

} // namespace burdockshelf
