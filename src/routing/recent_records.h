#pragma once

#include "state/stored_record.h"

#include <deque>
#include <optional>
#include <vector>

namespace burdockshelf
{

/// The records that were replayed last, without gaps, for peers that lack them.
class recent_records
{
public:
    explicit recent_records(std::size_t limit);

    /// Forgets all records, when replay has moved on by other means.
    void clear();
    void add(const std::vector<stored_record> &records);
    /// The records behind the offset, or nothing when some of them are no longer here.
    std::optional<std::vector<stored_record>> after(log_offset covered) const;

private:
    std::size_t m_limit;
    std::deque<stored_record> m_records;
};

} // namespace burdockshelf
