#pragma once

#include "core/deadline.h"
#include "core/ids.h"

#include <map>
#include <vector>

namespace burdockshelf
{

/// Bounds on what is believed of endpoints.
struct entry_bounds
{
    /// Entries are taken to lapse for lack of the store once it has said nothing for this long.
    std::chrono::milliseconds silence {3000};
    /// From the removal of an entry until its endpoint gets no more requests.
    std::chrono::milliseconds drain {2000};
};

/// Endpoints whose entries went while the store was away. Living ones register again within two seconds of its return (the users' second
/// letter), so that they count as present until then.
class lapsed_entries
{
public:
    explicit lapsed_entries(entry_bounds bounds);

    /// An entry is found to be gone after the store has said nothing for a time. True when the endpoint is to be kept for now.
    bool keep(const endpoint_id &endpoint, std::chrono::milliseconds silence, instant now);
    /// The entry is back, or its endpoint is not to be kept.
    void forget(const endpoint_id &endpoint);
    /// Endpoints that have not come back in time; they are no longer kept.
    std::vector<endpoint_id> takeMissing(instant now);
    /// When the next endpoint is missing.
    deadline next() const;

private:
    entry_bounds m_bounds;
    std::map<endpoint_id, deadline> m_until;
};

} // namespace burdockshelf
