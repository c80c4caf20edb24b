#include "gateway/store_gate.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds minPause {40};
// Endpoints whose entries are still missing two seconds after the store's return count as gone, so the return has to be noticed soon.
constexpr milliseconds maxPause {250};
// A call that takes longer than this no longer holds the others back.
constexpr milliseconds maxHold {100};

} // namespace

store_gate::store_gate()
    : m_backoff(minPause, maxPause)
{
}

deadline store_gate::nextCallAt(instant now) const
{
    return m_isFailing ? std::max(m_nextCallAt, deadline(now)) : deadline(now);
}

bool store_gate::isFailing() const
{
    return m_isFailing;
}

void store_gate::noteBegun(instant now)
{
    if (m_isFailing) {
        m_isProbing = true;
        m_nextCallAt = deadline::after(now, maxHold);
    }
}

void store_gate::noteSuccess()
{
    m_isFailing = false;
    m_isProbing = false;
    m_backoff.reset();
}

void store_gate::noteFailure(instant now, random_source &random)
{
    // Calls that were running when the first one failed say nothing new.
    if (m_isFailing && !std::exchange(m_isProbing, false)) {
        return;
    }
    m_isFailing = true;
    m_nextCallAt = deadline::after(now, m_backoff.next(random));
}

} // namespace burdockshelf
