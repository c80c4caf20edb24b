#pragma once

#include <chrono>

namespace burdockshelf
{

/// How long the responses to the reads of one topic are waited for. A store that does not respond at all has to be tried again soon,
/// because what was sent during the silence is never answered; a store that all instances read at once, as after a mass restart or a large
/// change, responds late, and if they all gave up and began again, none would get a response. A small call tells the two apart: after a
/// failure, nothing is read until a probe has been answered, and then the response to the read is waited for longer. Owned by
/// topic_follower.
class store_retry
{
public:
    /// The timeouts of a read before and after a failure.
    store_retry(std::chrono::milliseconds responseTimeout, std::chrono::milliseconds extendedTimeout);

    /// True from a failure until a read is complete.
    bool isFailing() const;
    /// True from a failure until a probe is answered.
    bool mustProbe() const;
    std::chrono::milliseconds probeTimeout() const;
    std::chrono::milliseconds readTimeout() const;
    /// A probe or a read has failed.
    void noteFailure();
    void noteProbeAnswered();
    /// All that was to be read has been read.
    void noteComplete();

private:
    std::chrono::milliseconds m_responseTimeout;
    std::chrono::milliseconds m_extendedTimeout;
    bool m_isFailing = false;
    bool m_mustProbe = false;
};

} // namespace burdockshelf
