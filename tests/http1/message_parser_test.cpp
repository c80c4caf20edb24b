#include "http1/message_parser.h"

#include "http1/message_writer.h"

#include <vector>

#include "support/property.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;

namespace
{

struct recording_handler : public message_handler
{
    std::vector<http_request> requests;
    std::vector<http_response> responses;
    std::string body;
    message_framing framing;
    int completed = 0;

    void onRequestHead(http_request &&head, const message_framing &found) override
    {
        requests.push_back(std::move(head));
        framing = found;
    }

    void onResponseHead(http_response &&head, const message_framing &found) override
    {
        responses.push_back(std::move(head));
        framing = found;
    }

    void onBody(std::string_view bytes) override
    {
        body.append(bytes);
    }

    void onComplete() override
    {
        ++completed;
    }
};

parse_state parseRequest(const std::string &text)
{
    recording_handler seen;
    message_parser parser(message_parser::direction::requests, byte_count(1024), seen);
    parser.take(text);
    return parser.state();
}

} // namespace

TEST_GROUP(message_parser) {};

// Guards against consuming the bytes after a message, which belong to no request that was sent.
TEST(message_parser, stopsAfterACompleteMessage)
{
    recording_handler seen;
    message_parser parser(message_parser::direction::responses, byte_count(1024), seen);
    const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    LONGS_EQUAL(first.size(), parser.take(first + "HTTP/1.1 200 OK\r\n"));
    CHECK(parser.state() == parse_state::complete);
    LONGS_EQUAL(1, seen.completed);
    STRCMP_EQUAL("ok", seen.body.c_str());
}

// Guards against request smuggling by two lengths, or by a length together with chunked encoding.
TEST(message_parser, rejectsConflictingLengths)
{
    CHECK(parse_state::broken == parseRequest("POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));
    CHECK(parse_state::broken == parseRequest("POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"));
    CHECK(parse_state::broken == parseRequest("POST / HTTP/1.1\r\nTransfer-Encoding: identity, gzip\r\n\r\n"));
}

TEST(message_parser, rejectsHeadsOverTheLimit)
{
    CHECK(parse_state::head_too_large == parseRequest("GET / HTTP/1.1\r\nX: " + std::string(2000, 'a') + "\r\n\r\n"));
}

// Guards against responses whose many short fields take thirty times the memory of their bytes.
TEST(message_parser, limitsTheMemoryOfAResponsesHead)
{
    const auto stateAfter = [](int fields) {
        std::string head = "HTTP/1.1 200 OK\r\n";
        for (int i = 0; i < fields; ++i) {
            head += "a:\r\n";
        }
        recording_handler seen;
        message_parser parser(message_parser::direction::responses, byte_count(32 * 1024), seen);
        parser.take(head);
        return parser.state();
    };
    CHECK(stateAfter(100) == parse_state::reading);
    CHECK(stateAfter(1000) == parse_state::head_too_large);
}

// Guards against a response without a length that is reported as complete before the stream has ended cleanly.
TEST(message_parser, completesAResponseWithoutLengthAtTheEndOfTheStream)
{
    recording_handler seen;
    message_parser parser(message_parser::direction::responses, byte_count(1024), seen);
    parser.take("HTTP/1.1 200 OK\r\n\r\nsome");
    CHECK(seen.framing.endsAtConnectionClose);
    CHECK(parser.state() == parse_state::reading);
    LONGS_EQUAL(0, seen.completed);
    parser.finishInput();
    LONGS_EQUAL(1, seen.completed);
}

TEST(message_parser, reportsATruncatedBodyAsBroken)
{
    recording_handler seen;
    message_parser parser(message_parser::direction::responses, byte_count(1024), seen);
    parser.take("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nsome");
    parser.finishInput();
    CHECK(parser.state() == parse_state::broken);
    LONGS_EQUAL(0, seen.completed);
}

// Guards against a result that depends on how the bytes are split between calls.
TEST(message_parser, givesTheSameMessageForEverySplit)
{
    CHECK_PROPERTY("the result does not depend on the split", [](const std::vector<std::uint8_t> &lengths) {
        http_request sent;
        sent.method = "POST";
        sent.target = "/a/b?c=d";
        sent.headers.add("Host", "h");
        sent.body = "0123456789";
        const std::string bytes = requestBytes(sent, body_framing::length);
        recording_handler seen;
        message_parser parser(message_parser::direction::requests, byte_count(1024), seen);
        std::size_t at = 0;
        for (const std::uint8_t length : lengths) {
            at += parser.take(std::string_view(bytes).substr(at, length));
        }
        parser.take(std::string_view(bytes).substr(at));
        RC_ASSERT(seen.completed == 1);
        RC_ASSERT(seen.requests.front().target == sent.target);
        RC_ASSERT(seen.body == sent.body);
    });
}

// Guards against forwarding the framing fields of another connection, which together with our own made responses unreadable.
TEST(message_parser, dropsHopByHopFields)
{
    http_headers headers;
    headers.add("Transfer-Encoding", "chunked");
    headers.add("Content-Length", "5");
    headers.add("Connection", "close, X-Private");
    headers.add("X-Private", "1");
    headers.add("X-Kept", "1");
    const http_headers kept = endToEndHeaders(headers);
    LONGS_EQUAL(1, kept.fields().size());
    CHECK(kept.has("X-Kept"));
}

TEST(message_parser, writesNoEmptyChunk)
{
    STRCMP_EQUAL("", chunkBytes("").c_str());
    STRCMP_EQUAL("2\r\nab\r\n", chunkBytes("ab").c_str());
}

// Guards against request smuggling: receivers disagree on the name of a field with a space before its colon.
TEST(message_parser, rejectsASpaceBeforeAColon)
{
    CHECK(parseRequest("GET / HTTP/1.1\r\nHost : a\r\n\r\n") == parse_state::broken);
    CHECK(parseRequest("GET / HTTP/1.1\r\nHost: a\r\nContent-Length : 0\r\n\r\n") == parse_state::broken);
}

// Guards against heads of very many short lines, whose separators are most of their bytes and whose fields cost many times as much.
TEST(message_parser, countsLinesAndNotOnlyTheirText)
{
    std::string head = "GET / HTTP/1.1\r\n";
    for (int i = 0; i < 400; ++i) {
        head += "a:\r\n";
    }
    CHECK(parseRequest(head) == parse_state::head_too_large);
    recording_handler seen;
    message_parser parser(message_parser::direction::requests, byte_count(2048), seen);
    parser.take(head);
    CHECK(parser.state() == parse_state::reading);
    CHECK(parser.headCost() >= byte_count(400 * static_cast<std::int64_t>(sizeof(http_header))));
}
