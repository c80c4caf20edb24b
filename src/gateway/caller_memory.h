#pragma once

#include "core/units.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string_view>

namespace burdockshelf
{

/// The IPv4 address that a caller connects from.
enum class source_address : std::uint32_t
{
};

/// A bound of the account that something held for a caller would exceed.
enum class memory_bound
{
    none,
    connection,
    source,
    total,
};

std::string_view memoryBoundName(memory_bound bound);

struct caller_memory_limits
{
    byte_count total;
    byte_count perSource;
    byte_count perConnection;
    std::int64_t connections = 0;
    std::int64_t connectionsPerSource = 0;

    /// Derives the bounds from the memory of the machine and the descriptors of the process.
    static caller_memory_limits of(byte_count machineMemory, std::int64_t descriptors);
};

class memory_charge;

/// Account of the memory and the connections held for callers. The tasks of one event loop share it: each of them accounts for what it
/// holds through a memory_charge, which moves with the data from task to task and is released with the data.
class caller_memory
{
public:
    explicit caller_memory(caller_memory_limits limits);

    const caller_memory_limits &limits() const;
    byte_count held() const;
    std::int64_t connections() const;
    /// True while more is held than the bound, because responses are accounted for even if they do not fit.
    bool isOver() const;

    /// Bound that one more connection from the source would exceed; connections have no bound of their own.
    memory_bound boundForConnection(source_address source) const;
    void addConnection(source_address source);
    void removeConnection(source_address source);

    /// Records that something was refused or closed because of a bound.
    void countShed(memory_bound bound);
    /// The number of such events since the previous call, and starts again.
    std::int64_t takeShed(memory_bound bound);

private:
    friend class memory_charge;

    struct source_usage
    {
        byte_count held;
        std::int64_t connections = 0;
    };

    memory_bound boundFor(source_address source, byte_count more) const;
    void add(source_address source, byte_count more);
    void removeIfUnused(source_address source);

    caller_memory_limits m_limits;
    byte_count m_held;
    std::int64_t m_connections = 0;
    std::map<source_address, source_usage> m_sources;
    std::array<std::int64_t, 4> m_shed {};
};

/// The part of the account for one piece of data, released when the object is destroyed. Amounts are rounded up to whole steps, so that
/// bytes that arrive one by one seldom touch the account.
class memory_charge
{
public:
    memory_charge() = default;
    memory_charge(std::shared_ptr<caller_memory> account, source_address source);
    ~memory_charge();
    memory_charge(memory_charge &&other) noexcept;
    memory_charge &operator=(memory_charge &&other) noexcept;
    memory_charge(const memory_charge &) = delete;
    memory_charge &operator=(const memory_charge &) = delete;

    /// Changes the amount, unless that would exceed a bound, which is returned.
    memory_bound resize(byte_count amount);
    /// Changes the amount even if it exceeds a bound.
    void force(byte_count amount);
    byte_count amount() const;

private:
    std::shared_ptr<caller_memory> m_account;
    source_address m_source {};
    byte_count m_amount;
};

} // namespace burdockshelf
