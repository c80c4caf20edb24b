#include "policy/token_bucket.h"

#include <algorithm>

namespace burdockshelf
{

namespace
{

constexpr std::int64_t unitsPerToken = 1'000'000'000;
// Bounds the memory of a bucket. When it is exceeded, neighbouring intervals share the smaller headroom, which can only lower a refund.
constexpr std::size_t maxHeadroomMinima = 64;

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
    if (rate > 0 && headroom() > 0) {
        // Compares by division, since rate * elapsed may exceed 64 bits.
        m_level += headroom() / rate < elapsed ? headroom() : rate * elapsed;
    }
    recordHeadroom();
}

void token_bucket::skipAccrualUntil(instant now)
{
    m_now = std::max(m_now, now);
}

void token_bucket::setLimit(const bucket_limit &limit)
{
    recordHeadroom();
    m_limit = limit;
    const std::int64_t highest = std::max<std::int64_t>(0, units(limit.cap));
    m_level = std::min(m_level, highest);
    recordHeadroom();
}

void token_bucket::drop()
{
    m_level = std::min<std::int64_t>(m_level, 0);
    m_headroomMinima.clear();
    m_forgottenUntil = ++m_position;
}

bool token_bucket::take(token_count amount)
{
    if (m_level < units(amount)) {
        return false;
    }
    takeAllowingDebt(amount);
    return true;
}

void token_bucket::takeAllowingDebt(token_count amount)
{
    recordHeadroom();
    ++m_position;
    m_level -= units(amount);
}

token_bucket::position token_bucket::lastPosition() const
{
    return m_position;
}

token_count token_bucket::refund(position charge, token_count amount)
{
    recordHeadroom();
    if (charge <= m_forgottenUntil) {
        return {};
    }
    const auto since =
        std::find_if(m_headroomMinima.begin(), m_headroomMinima.end(), [charge](const headroom_minimum &low) { return low.at >= charge; });
    const std::int64_t least = since == m_headroomMinima.end() ? headroom() : std::min(since->headroom, headroom());
    const token_count given(std::clamp<std::int64_t>(least / unitsPerToken, 0, amount.value()));
    m_level += units(given);
    for (auto low = since; low != m_headroomMinima.end(); ++low) {
        low->headroom -= units(given);
    }
    // The lowered entries may now be below earlier ones, which are then not needed.
    std::vector<headroom_minimum> kept;
    for (const headroom_minimum &low : m_headroomMinima) {
        while (!kept.empty() && kept.back().headroom >= low.headroom) {
            kept.pop_back();
        }
        kept.push_back(low);
    }
    m_headroomMinima = std::move(kept);
    return given;
}

void token_bucket::refundWithCap(token_count amount)
{
    m_limit.cap += amount;
    m_level = std::min(m_level + units(amount), std::max<std::int64_t>(0, units(m_limit.cap)));
    recordHeadroom();
}

const bucket_limit &token_bucket::limit() const
{
    return m_limit;
}

token_count token_bucket::level() const
{
    return token_count(m_level >= 0 ? m_level / unitsPerToken : (m_level - unitsPerToken + 1) / unitsPerToken);
}

std::int64_t token_bucket::headroom() const
{
    return units(m_limit.cap) - m_level;
}

void token_bucket::recordHeadroom()
{
    while (!m_headroomMinima.empty() && m_headroomMinima.back().headroom >= headroom()) {
        m_headroomMinima.pop_back();
    }
    if (m_headroomMinima.empty() || m_headroomMinima.back().at < m_position) {
        m_headroomMinima.push_back({m_position, headroom()});
    }
    if (m_headroomMinima.size() > maxHeadroomMinima) {
        mergeHeadroomMinima();
    }
}

void token_bucket::mergeHeadroomMinima()
{
    std::vector<headroom_minimum> merged;
    for (std::size_t i = 0; i + 1 < m_headroomMinima.size(); i += 2) {
        merged.push_back({m_headroomMinima[i + 1].at, m_headroomMinima[i].headroom});
    }
    if (m_headroomMinima.size() % 2 == 1) {
        merged.push_back(m_headroomMinima.back());
    }
    m_headroomMinima = std::move(merged);
}

} // namespace burdockshelf
