#include "policy/token_bucket.h"

#include <algorithm>

namespace burdockshelf
{

namespace
{

constexpr std::int64_t unitsPerToken = 1'000'000'000;
// Bounds the memory of a bucket; when it is full, neighbouring stretches share the smaller room, which can only lower a refund.
constexpr std::size_t roomsKept = 64;

std::int64_t units(token_count amount)
{
    return amount.value() * unitsPerToken;
}

} // namespace

bucket_limit smallerLimit(const bucket_limit &left, const bucket_limit &right)
{
    return {std::min(left.rate, right.rate), std::min(left.cap, right.cap)};
}

token_bucket::token_bucket(instant now)
    : m_now(now)
{
}

void token_bucket::advance(instant now)
{
    if (now <= m_now) {
        return;
    }
    const std::int64_t elapsed = (now - m_now).count();
    const std::int64_t rate = m_limit.rate.value();
    m_now = now;
    if (rate > 0 && room() > 0) {
        // Compares by division, since rate * elapsed may exceed 64 bits.
        m_level += room() / rate < elapsed ? room() : rate * elapsed;
    }
    noteRoom();
}

void token_bucket::skipTo(instant now)
{
    m_now = std::max(m_now, now);
}

void token_bucket::setLimit(const bucket_limit &limit)
{
    noteRoom();
    m_limit = limit;
    const std::int64_t highest = std::max<std::int64_t>(0, units(limit.cap));
    m_level = std::min(m_level, highest);
    noteRoom();
}

void token_bucket::drop()
{
    m_level = std::min<std::int64_t>(m_level, 0);
    m_rooms.clear();
    m_forgottenUntil = ++m_position;
}

bool token_bucket::take(token_count amount)
{
    if (m_level < units(amount)) {
        return false;
    }
    takeDebt(amount);
    return true;
}

void token_bucket::takeDebt(token_count amount)
{
    noteRoom();
    ++m_position;
    m_level -= units(amount);
}

token_bucket::position token_bucket::lastPosition() const
{
    return m_position;
}

token_count token_bucket::refund(position charge, token_count amount)
{
    noteRoom();
    if (charge <= m_forgottenUntil) {
        return {};
    }
    const auto since = std::find_if(m_rooms.begin(), m_rooms.end(), [charge](const low_room &low) { return low.at >= charge; });
    const std::int64_t least = since == m_rooms.end() ? room() : std::min(since->room, room());
    const token_count given(std::clamp<std::int64_t>(least / unitsPerToken, 0, amount.value()));
    m_level += units(given);
    for (auto low = since; low != m_rooms.end(); ++low) {
        low->room -= units(given);
    }
    // The lowered rooms may now be below earlier ones, which they cover.
    std::vector<low_room> kept;
    for (const low_room &low : m_rooms) {
        while (!kept.empty() && kept.back().room >= low.room) {
            kept.pop_back();
        }
        kept.push_back(low);
    }
    m_rooms = std::move(kept);
    return given;
}

void token_bucket::returnWithRoom(token_count amount)
{
    m_limit.cap += amount;
    m_level = std::min(m_level + units(amount), std::max<std::int64_t>(0, units(m_limit.cap)));
    noteRoom();
}

const bucket_limit &token_bucket::limit() const
{
    return m_limit;
}

token_count token_bucket::level() const
{
    return token_count(m_level >= 0 ? m_level / unitsPerToken : (m_level - unitsPerToken + 1) / unitsPerToken);
}

std::int64_t token_bucket::room() const
{
    return units(m_limit.cap) - m_level;
}

void token_bucket::noteRoom()
{
    while (!m_rooms.empty() && m_rooms.back().room >= room()) {
        m_rooms.pop_back();
    }
    if (m_rooms.empty() || m_rooms.back().at < m_position) {
        m_rooms.push_back({m_position, room()});
    }
    if (m_rooms.size() > roomsKept) {
        mergeRooms();
    }
}

void token_bucket::mergeRooms()
{
    std::vector<low_room> merged;
    for (std::size_t i = 0; i + 1 < m_rooms.size(); i += 2) {
        merged.push_back({m_rooms[i + 1].at, m_rooms[i].room});
    }
    if (m_rooms.size() % 2 == 1) {
        merged.push_back(m_rooms.back());
    }
    m_rooms = std::move(merged);
}

} // namespace burdockshelf
