#include "routing/recent_records.h"

namespace burdockshelf
{

recent_records::recent_records(std::size_t limit)
    : m_limit(limit)
{
}

void recent_records::clear()
{
    m_records.clear();
}

// Leaves out the content of snapshot records, which may be large; replay skips a snapshot record without reading it.
void recent_records::add(const std::vector<stored_record> &records)
{
    for (const stored_record &record : records) {
        if (!m_records.empty() && record.offset != m_records.back().offset + log_offset(1)) {
            m_records.clear();
        }
        const bool isSnapshot = std::holds_alternative<snapshot>(record.record);
        m_records.push_back(isSnapshot ? stored_record {record.offset, record.id, unknown_record {"snapshot", {}}} : record);
        if (m_records.size() > m_limit) {
            m_records.pop_front();
        }
    }
}

std::optional<std::vector<stored_record>> recent_records::after(log_offset covered) const
{
    if (m_records.empty() || m_records.front().offset > covered + log_offset(1)) {
        return std::nullopt;
    }
    std::vector<stored_record> found;
    for (const stored_record &record : m_records) {
        if (record.offset > covered) {
            found.push_back(record);
        }
    }
    return found;
}

} // namespace burdockshelf
