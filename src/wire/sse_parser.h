#pragma once

#include "core/outcome.h"
#include "core/units.h"

#include <string>
#include <string_view>
#include <vector>

namespace burdockshelf
{

/// One server-sent event. Its name and retry fields are of no use to the router and are skipped.
struct sse_event
{
    std::string id;
    std::string data;

    friend bool operator==(const sse_event &, const sse_event &) = default;
};

/// Reads server-sent events from a stream in pieces of any size. Keeps at most one event of bounded size.
class sse_parser
{
public:
    explicit sse_parser(byte_count maxEventBytes);

    /// Takes the next piece and returns the events that it completes. After an error nothing more is read.
    outcome<std::vector<sse_event>> feed(std::string_view bytes);

private:
    void endLine(std::vector<sse_event> &events);
    void takeField(std::string_view name, std::string_view value);
    bool isTooLarge() const;

    std::size_t m_limit;
    std::string m_line;
    sse_event m_event;
    bool m_hasData = false;
    bool m_isAfterReturn = false;
    bool m_isBroken = false;
};

} // namespace burdockshelf
