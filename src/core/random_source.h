#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace burdockshelf
{

/// Pseudo-random numbers for jitter, tie-breaking and ids. Passed to its users as a parameter, so that a test can fix the seed. Not for
/// secrets; use randomSecret() for those.
class random_source
{
public:
    /// Seeds the generator from the operating system.
    random_source();
    explicit random_source(std::uint64_t seed);

    /// Uniform in [0, 1).
    double uniform();
    /// Uniform in [0, bound); bound must be positive.
    std::uint64_t below(std::uint64_t bound);
    /// Returns 128 random bits in lower-case hexadecimal.
    std::string hexId();

private:
    std::mt19937_64 m_engine;
};

} // namespace burdockshelf
