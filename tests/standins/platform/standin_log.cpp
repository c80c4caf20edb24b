#include "standins/platform/standin_log.h"

#include <algorithm>

namespace burdockshelf
{

standin_log::standin_log(log_retention retention)
    : m_retention(retention)
{
}

log_offset standin_log::append(const log_append &append, instant now)
{
    const log_offset offset = head();
    m_entries.push_back({{offset, append.id, append.content}, now});
    expire(now);
    return offset;
}

log_page standin_log::read(log_offset from, std::size_t limit, instant now)
{
    expire(now);
    log_page page = {m_first, head(), {}};
    const log_offset begin = std::clamp(from, m_first, head());
    auto next = static_cast<std::size_t>((begin - m_first).value());
    for (; next < m_entries.size() && page.records.size() < limit; ++next) {
        page.records.push_back(m_entries[next].record);
    }
    return page;
}

void standin_log::keepOnly(std::size_t count)
{
    while (m_entries.size() > count) {
        m_entries.pop_front();
        m_first += log_offset(1);
    }
}

log_offset standin_log::head() const
{
    return m_first + log_offset(static_cast<std::int64_t>(m_entries.size()));
}

void standin_log::expire(instant now)
{
    keepOnly(m_retention.records);
    while (!m_entries.empty() && now - m_entries.front().at > m_retention.age) {
        keepOnly(m_entries.size() - 1);
    }
}

} // namespace burdockshelf
