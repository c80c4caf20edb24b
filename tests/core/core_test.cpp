#include "core/deadline.h"
#include "core/digest.h"
#include "core/socket_address.h"

#include "support/property.h"

using namespace burdockshelf;
using namespace std::chrono_literals;

TEST_GROUP(deadlines) {};

// Guards against a lease that still counts as valid at the instant of its expiry.
TEST(deadlines, passAtTheirExactInstant)
{
    const instant now(100s);
    const deadline until = deadline::after(now, 5s);
    CHECK_FALSE(until.hasPassed(now + 4999ms));
    CHECK_TRUE(until.hasPassed(now + 5s));
    CHECK_TRUE(until.remaining(now + 6s) == 0s);
    CHECK_FALSE(deadline::never().hasPassed(now + 100000h));
}

TEST_GROUP(socket_addresses) {};

// Guards against a formatted address that cannot be parsed again.
TEST(socket_addresses, roundTripThroughText)
{
    CHECK_PROPERTY("parse(toString(a)) == a", [](std::uint16_t port, bool isVersion6) {
        const socket_address address = {isVersion6 ? "::1" : "127.0.0.1", port};
        const auto parsed = socket_address::parse(address.toString());
        RC_ASSERT(parsed.has_value());
        RC_ASSERT(parsed.value() == address);
    });
}

// Guards against accepting host names, which would need a resolver, or invalid ports, which would fail only on first use.
TEST(socket_addresses, rejectInvalidAddresses)
{
    for (const char *text : {"", "localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:x", "127.0.0.1:65536", "127.0.0.1:-1", ":80"}) {
        CHECK_TRUE(socket_address::parse(text).has_error());
    }
}

TEST_GROUP(digests) {};

// Guards against a SHA-256 digest that other tools cannot reproduce. Also checks the constant-time comparison.
TEST(digests, areStandardSha256)
{
    STRCMP_EQUAL("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad", sha256Hex("abc").c_str());
    CHECK_TRUE(isEqualConstantTime("abc", "abc"));
    CHECK_FALSE(isEqualConstantTime("abc", "abd"));
    CHECK_FALSE(isEqualConstantTime("abc", "ab"));
}
