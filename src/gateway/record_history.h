#pragma once

#include "gateway/dialects.h"

#include <deque>
#include <optional>
#include <vector>

namespace burdockshelf
{

/// The latest consecutive records of a topic, kept for the instances that request them from this one. Their number and their size are
/// bounded; a record that is larger than the bound is not kept.
class record_history
{
public:
    /// Clears the history; the next record has the given offset.
    void begin(store_offset end);
    /// Appends the records that follow the last one.
    void append(const std::vector<store_record> &records);

    store_offset end() const;
    /// Returns the records from an offset on; nothing when some of them are no longer kept.
    std::optional<std::vector<store_record>> from(store_offset offset) const;

private:
    std::deque<store_record> m_records;
    std::size_t m_bytes = 0;
    store_offset m_end;
};

} // namespace burdockshelf
