#include "gateway/caller_memory.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

constexpr std::int64_t mebibyte = 1024 * 1024;
// Code, records of the platform's store and buffers of other connections.
constexpr std::int64_t processReserve = 28 * mebibyte;
// Share of the rest that callers may take; the other half is for responses in progress, temporary copies and the allocator's overhead.
constexpr std::int64_t callerShareDivisor = 2;
constexpr std::int64_t minTotal = 8 * mebibyte;
// Descriptors for the store, other instances, listeners and the log.
constexpr std::int64_t descriptorReserve = 64;
constexpr std::int64_t minConnections = 16;
// Behind a load balancer all callers have one address, so one source may take most of the account.
constexpr std::int64_t sourceNumerator = 3;
constexpr std::int64_t sourceDenominator = 4;
constexpr std::int64_t chargeStep = 1024;

byte_count roundedUp(byte_count amount)
{
    return byte_count((amount.value() + chargeStep - 1) / chargeStep * chargeStep);
}

} // namespace

std::string_view memoryBoundName(memory_bound bound)
{
    constexpr std::array<std::string_view, 4> names = {"none", "connection", "source", "total"};
    return names.at(static_cast<std::size_t>(bound));
}

caller_memory_limits caller_memory_limits::of(byte_count machineMemory, std::int64_t descriptors)
{
    caller_memory_limits limits;
    const std::int64_t total = std::max((machineMemory.value() - processReserve) / callerShareDivisor, minTotal);
    limits.total = byte_count(total);
    limits.perSource = byte_count(total * sourceNumerator / sourceDenominator);
    limits.perConnection = byte_count(total / 2);
    // A request in progress takes a descriptor for its caller and one for its endpoint.
    limits.connections = std::max((descriptors - descriptorReserve) / 2, minConnections);
    limits.connectionsPerSource = limits.connections * sourceNumerator / sourceDenominator;
    return limits;
}

caller_memory::caller_memory(caller_memory_limits limits)
    : m_limits(limits)
{
}

const caller_memory_limits &caller_memory::limits() const
{
    return m_limits;
}

byte_count caller_memory::held() const
{
    return m_held;
}

std::int64_t caller_memory::connections() const
{
    return m_connections;
}

bool caller_memory::isOver() const
{
    return m_held > m_limits.total;
}

memory_bound caller_memory::boundForConnection(source_address source) const
{
    if (m_connections >= m_limits.connections) {
        return memory_bound::total;
    }
    const auto found = m_sources.find(source);
    const bool isSourceFull = found != m_sources.end() && found->second.connections >= m_limits.connectionsPerSource;
    return isSourceFull ? memory_bound::source : memory_bound::none;
}

void caller_memory::addConnection(source_address source)
{
    ++m_connections;
    ++m_sources[source].connections;
}

void caller_memory::removeConnection(source_address source)
{
    --m_connections;
    --m_sources[source].connections;
    removeIfUnused(source);
}

void caller_memory::countShed(memory_bound bound)
{
    ++m_shed.at(static_cast<std::size_t>(bound));
}

std::int64_t caller_memory::takeShed(memory_bound bound)
{
    return std::exchange(m_shed.at(static_cast<std::size_t>(bound)), 0);
}

memory_bound caller_memory::boundFor(source_address source, byte_count more) const
{
    if (m_held + more > m_limits.total) {
        return memory_bound::total;
    }
    const auto found = m_sources.find(source);
    const byte_count heldBySource = found == m_sources.end() ? byte_count() : found->second.held;
    return heldBySource + more > m_limits.perSource ? memory_bound::source : memory_bound::none;
}

void caller_memory::add(source_address source, byte_count more)
{
    m_held += more;
    m_sources[source].held += more;
    removeIfUnused(source);
}

void caller_memory::removeIfUnused(source_address source)
{
    const auto found = m_sources.find(source);
    if (found != m_sources.end() && found->second.connections == 0 && found->second.held == byte_count()) {
        m_sources.erase(found);
    }
}

memory_charge::memory_charge(std::shared_ptr<caller_memory> account, source_address source)
    : m_account(std::move(account))
    , m_source(source)
{
}

memory_charge::~memory_charge()
{
    force(byte_count());
}

memory_charge::memory_charge(memory_charge &&other) noexcept
    : m_account(std::move(other.m_account))
    , m_source(other.m_source)
    , m_amount(std::exchange(other.m_amount, byte_count()))
{
}

memory_charge &memory_charge::operator=(memory_charge &&other) noexcept
{
    if (this != &other) {
        force(byte_count());
        m_account = std::move(other.m_account);
        m_source = other.m_source;
        m_amount = std::exchange(other.m_amount, byte_count());
    }
    return *this;
}

memory_bound memory_charge::resize(byte_count amount)
{
    const byte_count wanted = roundedUp(amount);
    if (m_account && wanted > m_amount) {
        if (wanted > m_account->m_limits.perConnection) {
            return memory_bound::connection;
        }
        const memory_bound exceeded = m_account->boundFor(m_source, wanted - m_amount);
        if (exceeded != memory_bound::none) {
            return exceeded;
        }
    }
    force(amount);
    return memory_bound::none;
}

void memory_charge::force(byte_count amount)
{
    const byte_count wanted = roundedUp(amount);
    if (m_account && wanted != m_amount) {
        m_account->add(m_source, wanted - m_amount);
    }
    m_amount = wanted;
}

byte_count memory_charge::amount() const
{
    return m_amount;
}

} // namespace burdockshelf
