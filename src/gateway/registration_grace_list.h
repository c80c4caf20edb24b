#pragma once

#include "core/deadline.h"
#include "core/ids.h"

#include <map>
#include <vector>

namespace burdockshelf
{

/// Bounds on what is believed of endpoints.
struct registration_grace_settings
{
    /// Entries are taken to lapse for lack of the store once it has said nothing for this long.
    std::chrono::milliseconds silence {3000};
    /// From the removal of an entry until its endpoint gets no more requests.
    std::chrono::milliseconds drain {2000};
};

/// Endpoints whose entries went while the store was away. Living ones register again within two seconds of its return (the users' second
/// letter), so that they count as present until then.
class registration_grace_list
{
public:
    explicit registration_grace_list(registration_grace_settings bounds);

    /// An entry is found to be gone after the store has said nothing for a time. True when the endpoint is to be kept for now.
    bool keep(const endpoint_id &endpoint, std::chrono::milliseconds silence, instant now);
    /// The entry is back, or its endpoint is not to be kept.
    void forget(const endpoint_id &endpoint);
    /// Endpoints that have not come back in time; they are no longer kept.
    std::vector<endpoint_id> takeOverdue(instant now);
    /// When the next endpoint is missing.
    deadline next() const;

private:
    registration_grace_settings m_bounds;
    std::map<endpoint_id, deadline> m_until;
};

} // namespace burdockshelf
