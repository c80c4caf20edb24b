#include "callers/presented_key.h"

#include <string>
#include <vector>

#include "support/property.h"

using namespace burdockshelf;

namespace
{

const std::string key = "bsk_k1_5ecret";

std::string textOf(const http_request &request)
{
    std::string text = request.target + "\n" + request.body;
    for (const http_header &field : request.headers.fields()) {
        text += field.name + ": " + field.value + "\n";
    }
    return text;
}

} // namespace

TEST_GROUP(presented_keys) {};

// Guards against an API key that is read from one place of the request and still passed on to the endpoint in another.
TEST(presented_keys, areRemovedFromEveryPlace)
{
    CHECK_PROPERTY("no place keeps the key", [](bool inHeader, bool inApiHeader, bool inQuery, bool inCookie, bool isEscaped) {
        http_request request = {"POST", "/booking?a=1", {}, "body"};
        if (inHeader) {
            request.headers.add("authorization", "bearer " + key);
        }
        if (inApiHeader) {
            request.headers.add("x-api-key", key);
        }
        if (inQuery) {
            request.target += (isEscaped ? "&api%5Fkey=" : "&api_key=") + key + "&b=2&api_key=" + key;
        }
        if (inCookie) {
            request.headers.add("Cookie", "x=1; api_key=" + key);
        }
        const std::string extracted = extractPresentedKey(request);
        RC_ASSERT(extracted == (inHeader || inApiHeader || inQuery || inCookie ? key : std::string()));
        RC_ASSERT(textOf(request).find("5ecret") == std::string::npos);
        RC_ASSERT(request.target == (inQuery ? "/booking?a=1&b=2" : "/booking?a=1"));
    });
}

// Guards against a crash or an endless loop on a malformed query or cookie.
TEST(presented_keys, areExtractedFromAnyTarget)
{
    CHECK_PROPERTY("any target", [](const std::string &target, const std::string &cookie) {
        http_request request = {"GET", "/" + target, {{"Cookie", cookie}}, {}};
        extractPresentedKey(request);
        RC_ASSERT(!request.headers.has("Cookie"));
    });
}
