#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace burdockshelf
{

/// Random numbers for decisions (jitter, tie breaks, ids). Passed in, so that a test can fix the seed. Not for secrets: those come from
/// randomSecret().
class random_source
{
public:
    /// Seeds from the operating system.
    random_source();
    explicit random_source(std::uint64_t seed);

    /// Uniform in [0, 1).
    double uniform();
    /// Uniform in [0, bound); bound must be positive.
    std::uint64_t below(std::uint64_t bound);
    /// Hexadecimal text of 128 random bits.
    std::string hexId();

private:
    std::mt19937_64 m_engine;
};

} // namespace burdockshelf
