#pragma once

#include "core/random_source.h"
#include "policy/endpoint_directory.h"

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace burdockshelf
{

/// Input for the placement of one request.
struct placement_query
{
    /// Hash of the first part of the prompt. Requests with the same hash can share cached prefixes.
    std::uint64_t prefixHash = 0;
    /// Endpoints that have already failed or refused this request.
    std::vector<endpoint_id> excluded;
    instant now;
};

/// Orders the endpoints of a pool for one request, the best first.
class placement_strategy
{
public:
    virtual ~placement_strategy() = default;

    virtual std::string_view name() const = 0;
    virtual std::vector<endpoint_id>
    order(const placement_query &query, std::vector<endpoint_candidate> candidates, random_source &random) const = 0;
};

/// Baseline strategy: every endpoint with the same probability, regardless of its load.
class random_placement : public placement_strategy
{
public:
    std::string_view name() const override;
    std::vector<endpoint_id>
    order(const placement_query &query, std::vector<endpoint_candidate> candidates, random_source &random) const override;
};

/// Prefers endpoints of the local data centre, then those with free slots. Among these it prefers the endpoint that rendezvous hashing
/// selects for the prompt's prefix, unless its load is clearly above that of the least loaded one.
class affinity_placement : public placement_strategy
{
public:
    std::string_view name() const override;
    std::vector<endpoint_id>
    order(const placement_query &query, std::vector<endpoint_candidate> candidates, random_source &random) const override;
};

/// Creates the strategy of the given name; null if the name is unknown.
std::unique_ptr<placement_strategy> makePlacementStrategy(std::string_view name);

} // namespace burdockshelf
