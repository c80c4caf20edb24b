#pragma once

#include "state/stored_record.h"

#include <deque>
#include <optional>
#include <vector>

namespace burdockshelf
{

/// The most recently replayed records, without gaps, kept for peers that lack them.
class recent_records
{
public:
    explicit recent_records(std::size_t limit);

    /// Removes all records. Called when replay has loaded a whole state, which the records do not lead to.
    void clear();
    void add(const std::vector<stored_record> &records);
    /// The records after the offset, or nullopt when some of them are not held.
    std::optional<std::vector<stored_record>> after(log_offset covered) const;

private:
    std::size_t m_limit;
    std::deque<stored_record> m_records;
};

} // namespace burdockshelf
