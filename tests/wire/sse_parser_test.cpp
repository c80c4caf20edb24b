#include "wire/sse_parser.h"

#include "support/property.h"

using namespace burdockshelf;

namespace
{

constexpr byte_count maxEventBytes(1000);

std::vector<sse_event> parseInPieces(std::string_view text, const std::vector<std::uint8_t> &sizes)
{
    sse_parser parser(maxEventBytes);
    std::vector<sse_event> events;
    std::size_t pieceIndex = 0;
    while (!text.empty()) {
        const std::size_t size = sizes.empty() ? text.size() : sizes[pieceIndex++ % sizes.size()] % 7U + 1U;
        const auto completed = parser.feed(text.substr(0, size));
        events.insert(events.end(), completed.value().begin(), completed.value().end());
        text.remove_prefix(std::min(size, text.size()));
    }
    return events;
}

} // namespace

TEST_GROUP(sse_parsers) {};

// Guards against events that are lost or merged depending on where the network splits the stream.
TEST(sse_parsers, giveTheSameEventsForAnyChunking)
{
    const std::string text =
        ": note\r\nid: 4\r\ndata: {\"a\":1}\r\n\r\ndata:two\ndata:  lines\n\nevent: x\n\ndata\n\rid:9\rdata: [DONE]\r\rdata: open";
    const std::vector<sse_event> expected = {{"4", "{\"a\":1}"}, {"", "two\n lines"}, {"", ""}, {"9", "[DONE]"}};
    CHECK_TRUE(parseInPieces(text, {}) == expected);
    CHECK_PROPERTY("any chunking gives the same events",
                   [&](const std::vector<std::uint8_t> &sizes) { RC_ASSERT(parseInPieces(text, sizes) == expected); });
}

// Guards against unbounded memory use when an engine sends an event that never ends.
TEST(sse_parsers, rejectAnEventOverTheLimit)
{
    sse_parser oneLine(maxEventBytes);
    CHECK_TRUE(oneLine.feed("data: " + std::string(990, 'x')).has_value());
    CHECK_TRUE(oneLine.feed("xxxxxxxxxx").error().code == error_code::too_large);
    CHECK_TRUE(oneLine.feed("\n\ndata: y\n\n").has_error());
    sse_parser manyLines(maxEventBytes);
    std::string lines;
    for (int i = 0; i < 100; ++i) {
        lines += "data: 0123456789\n";
    }
    CHECK_TRUE(manyLines.feed(lines).has_error());
}
