#include "http1/message_parser.h"

#include "support/response_samples.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;

namespace
{

constexpr int firstFinalStatus = 200;

/// What a receiver acts on.
struct received_response : public message_handler
{
    int status = 0;
    std::string body;
    int heads = 0;
    bool isComplete = false;

    void onResponseHead(http_response &&head, const message_framing & /*framing*/) override
    {
        status = head.status;
        ++heads;
    }

    void onBody(std::string_view bytes) override
    {
        body.append(bytes);
    }

    void onComplete() override
    {
        isComplete = status >= firstFinalStatus;
    }
};

// Parses the bytes, given in pieces of that size, until a final response is complete.
parse_state parse(const std::string &bytes, std::size_t pieceSize, bool hasCleanEnd, received_response &seen)
{
    message_parser parser(message_parser::direction::responses, byte_count(32 * 1024), seen);
    for (std::size_t at = 0; at < bytes.size();) {
        const std::size_t taken = parser.take(std::string_view(bytes).substr(at, pieceSize));
        at += taken;
        if (parser.state() == parse_state::complete && !seen.isComplete) {
            parser.resume();
        } else if (parser.state() != parse_state::reading) {
            return parser.state();
        }
    }
    if (hasCleanEnd) {
        parser.finishInput();
    }
    return parser.state();
}

// The names of the samples that are not found to be broken, or of which more heads are acted on.
std::string findAccepted(const std::vector<response_sample> &samples, int maxHeads)
{
    std::string accepted;
    for (const response_sample &sample : samples) {
        const std::string bytes = responseBytes(sample);
        for (const std::size_t pieceSize : {std::size_t(1), std::size_t(7), bytes.size()}) {
            received_response seen;
            const parse_state state = parse(bytes, pieceSize, true, seen);
            if (state != parse_state::broken || seen.isComplete || seen.heads > maxHeads) {
                accepted += sample.name + ", in pieces of " + std::to_string(pieceSize) + "\n";
            }
        }
    }
    return accepted;
}

} // namespace

TEST_GROUP(invalid_response) {};

// Guards against a status that does not exist, which was read as an interim response or passed on; nothing of the head may be acted on.
TEST(invalid_response, isBrokenByItsStatusLine)
{
    STRCMP_EQUAL("", findAccepted(invalidStatusLines(), 0).c_str());
}

// Guards against lines that http_parser takes for fields, such as names with blanks and folded values.
TEST(invalid_response, isBrokenByALineThatIsNoField)
{
    STRCMP_EQUAL("", findAccepted(invalidFields(), 0).c_str());
    STRCMP_EQUAL("", findAccepted(invalidTrailers(), 1).c_str());
}

// Guards against bodies that are cut out of a response at another place than where its server ended them.
TEST(invalid_response, isBrokenByItsFraming)
{
    STRCMP_EQUAL("", findAccepted(invalidFraming(), 1).c_str());
}

// The check must not refuse what ordinary servers send, and the result must not depend on how the bytes arrive.
TEST(invalid_response, isToldFromAnUnusualOne)
{
    for (const response_sample &sample : soundResponses()) {
        const std::string bytes = responseBytes(sample);
        for (const std::size_t pieceSize : {std::size_t(1), std::size_t(7), bytes.size()}) {
            received_response seen;
            CHECK_TEXT(parse(bytes, pieceSize, sample.endsAtClose, seen) == parse_state::complete, sample.name.c_str());
            CHECK_TEXT(seen.isComplete, sample.name.c_str());
            LONGS_EQUAL_TEXT(sample.status, seen.status, sample.name.c_str());
            STRCMP_EQUAL_TEXT(sample.body.c_str(), seen.body.c_str(), sample.name.c_str());
        }
    }
}

// A response to a HEAD request has no body, also after an interim response.
TEST(invalid_response, isNoneToAHeadRequestWithALength)
{
    received_response seen;
    message_parser parser(message_parser::direction::responses, byte_count(1024), seen);
    parser.setNoBody(true);
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n";
    LONGS_EQUAL(interim.size(), parser.take(interim + response));
    parser.resume();
    LONGS_EQUAL(response.size(), parser.take(response));
    CHECK(parser.state() == parse_state::complete);
}
