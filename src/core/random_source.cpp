#include "core/random_source.h"

#include <cstdio>

namespace burdockshelf
{

random_source::random_source()
{
    std::random_device device;
    std::seed_seq seed = {device(), device(), device(), device()};
    m_engine.seed(seed);
}

random_source::random_source(std::uint64_t seed)
    : m_engine(seed)
{
}

double random_source::uniform()
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(m_engine);
}

std::uint64_t random_source::below(std::uint64_t bound)
{
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_engine);
}

std::string random_source::hexId()
{
    char text[33];
    std::snprintf(
        text, sizeof text, "%016llx%016llx", static_cast<unsigned long long>(m_engine()), static_cast<unsigned long long>(m_engine()));
    return text;
}

} // namespace burdockshelf
