#include "gateway/caller_waiting_list.h"

#include <iterator>

namespace burdockshelf
{

void caller_waiting_list::touch(caller_connection &connection)
{
    const auto found = m_positions.find(&connection);
    if (found != m_positions.end()) {
        m_byProgress.splice(m_byProgress.end(), m_byProgress, found->second);
        return;
    }
    m_byProgress.push_back(&connection);
    m_positions[&connection] = std::prev(m_byProgress.end());
}

void caller_waiting_list::remove(const caller_connection &connection)
{
    const auto found = m_positions.find(&connection);
    if (found != m_positions.end()) {
        m_byProgress.erase(found->second);
        m_positions.erase(found);
    }
}

const std::list<caller_connection *> &caller_waiting_list::byProgress() const
{
    return m_byProgress;
}

} // namespace burdockshelf
