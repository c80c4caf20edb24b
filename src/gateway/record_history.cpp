#include "gateway/record_history.h"

namespace burdockshelf
{

namespace
{

// An instance that lacks more records reads the newest records at the store. Instances that started together report at the same time, so
// the history must take a report of each.
constexpr std::size_t maxRecords = 1024;
// Up to 16 instances ask one reader at the same time; this much for each of them occupies a link of 10 Mbit/s for 0.8 s. The link of the
// store is faster.
constexpr std::size_t maxBytes = 64 * 1024;

std::size_t sizeOf(const store_record &record)
{
    return record.key.size() + (record.value ? record.value->size() : 0);
}

} // namespace

void record_history::begin(store_offset end)
{
    m_records.clear();
    m_bytes = 0;
    m_end = end;
}

void record_history::append(const std::vector<store_record> &records)
{
    for (const store_record &record : records) {
        m_records.push_back(record);
        m_bytes += sizeOf(record);
        while (m_records.size() > maxRecords || m_bytes > maxBytes) {
            m_bytes -= sizeOf(m_records.front());
            m_records.pop_front();
        }
    }
    m_end += store_offset(static_cast<std::int64_t>(records.size()));
}

store_offset record_history::end() const
{
    return m_end;
}

std::optional<std::vector<store_record>> record_history::from(store_offset offset) const
{
    const std::int64_t behind = (m_end - offset).value();
    if (behind < 0 || behind > static_cast<std::int64_t>(m_records.size())) {
        return std::nullopt;
    }
    return std::vector<store_record>(m_records.end() - behind, m_records.end());
}

} // namespace burdockshelf
