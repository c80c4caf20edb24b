#pragma once

#include <cstdint>

namespace burdockshelf
{

/// Bounds what one instance sends to an untrusted version by what it has provably sent to the service since the order. The bound holds for
/// the sum of any number of instances without messages between them: each keeps to it for its own requests, and a restarted one begins at
/// zero.
class rollout_exposure
{
public:
    explicit rollout_exposure(double share = 0.0);

    /// A request has reached the service, which a response shows.
    void noteReached();
    bool mayTake(std::int64_t attempts) const;
    /// Takes attempts at the untrusted version; false when they would exceed the share.
    bool take(std::int64_t attempts);

    std::int64_t reached() const;
    std::int64_t taken() const;

private:
    double m_share;
    std::int64_t m_reached = 0;
    std::int64_t m_taken = 0;
};

} // namespace burdockshelf
