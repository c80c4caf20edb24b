#pragma once

#include "http/http_message.h"

#include <string>

namespace burdockshelf
{

/// Removes the API key from a request and returns it; empty when there is none. The Authorization, Proxy-Authorization and X-Api-Key
/// headers, the whole Cookie header and the api_key query parameter are removed even when they hold no key of this service, so that no
/// endpoint sees a secret.
std::string extractPresentedKey(http_request &request);

} // namespace burdockshelf
