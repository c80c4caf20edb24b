#pragma once

#include "core/deadline.h"
#include "forwarding/stream_origin.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace burdockshelf
{

/// A stream that its caller may resume, by the id of the try that began it.
struct open_stream
{
    attempt_id attempt;
    stream_origin origin;
};

/// The origins of the streams that this instance has begun or continued and whose callers do not have them whole. Does no I/O.
class stream_origins
{
public:
    /// Streams whose callers state a later deadline, or none, are forgotten after this time.
    static constexpr std::chrono::milliseconds maxAge {60000};
    /// Streams whose callers use longer ids are not kept.
    static constexpr std::size_t maxIdBytes = 64;
    /// Beyond this many, the oldest ones are forgotten. An entry takes some 300 bytes.
    static constexpr std::size_t maxStreams = 65536;

    /// Records a stream before any event of it is passed on. The first origin of a try stays.
    void begin(const attempt_id &attempt, const stream_origin &origin, deadline callerDeadline, instant now);
    /// The caller has the whole stream, or has got nothing of it.
    void end(const attempt_id &attempt);
    std::optional<stream_origin> find(const attempt_id &attempt, instant now) const;
    /// The newest streams that may be resumed, at most the given number.
    std::vector<open_stream> newest(std::size_t most, instant now) const;
    void removeExpired(instant now);
    /// Changes with every begin and end.
    std::uint64_t changeCount() const;

private:
    struct entry
    {
        stream_origin origin;
        deadline until;
        std::uint64_t sequence = 0;
    };

    void remove(std::map<attempt_id, entry>::iterator found);

    std::map<attempt_id, entry> m_streams;
    std::map<std::uint64_t, attempt_id> m_bySequence;
    std::uint64_t m_lastSequence = 0;
    std::uint64_t m_changeCount = 0;
};

} // namespace burdockshelf
