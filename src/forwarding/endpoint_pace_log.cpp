#include "forwarding/endpoint_pace_log.h"

#include <array>
#include <utility>

namespace burdockshelf
{

namespace
{

// Hundreds of endpoints that recover at once must not displace all other lines of the log.
constexpr std::size_t maxChanges = 40;

} // namespace

std::string_view paceStepName(pace_step step)
{
    static constexpr std::array<std::string_view, 4> names = {"begun", "grown", "reduced", "ended"};
    return names.at(static_cast<std::size_t>(step));
}

void endpoint_pace_log::add(pace_change change)
{
    if (m_content.changes.size() < maxChanges) {
        m_content.changes.push_back(std::move(change));
    } else {
        ++m_content.leftOut;
    }
}

endpoint_pace_log::content endpoint_pace_log::take()
{
    return std::exchange(m_content, {});
}

} // namespace burdockshelf
