#pragma once

#include "gateway/dialects.h"

#include <deque>
#include <optional>
#include <vector>

namespace burdockshelf
{

/// The latest records of a topic, one behind the other, for instances that read them here instead of at the store. Bounded.
class record_history
{
public:
    /// Begins anew behind an offset; nothing before it is kept.
    void begin(store_offset end);
    /// Records that stand behind all others.
    void append(const std::vector<store_record> &records);

    store_offset end() const;
    /// The records from an offset on; nothing when some of them are not kept.
    std::optional<std::vector<store_record>> from(store_offset offset) const;

private:
    std::deque<store_record> m_records;
    store_offset m_end;
};

} // namespace burdockshelf
