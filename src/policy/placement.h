#pragma once

#include "core/random_source.h"
#include "policy/endpoint_directory.h"

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace burdockshelf
{

/// What placement looks at for one request.
struct placement_query
{
    /// Hash of the first part of the prompt; requests that share it share cached prefixes.
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

/// Baseline: every endpoint with the same chance, whatever its load.
class random_placement : public placement_strategy
{
public:
    std::string_view name() const override;
    std::vector<endpoint_id>
    order(const placement_query &query, std::vector<endpoint_candidate> candidates, random_source &random) const override;
};

/// Endpoints of the own data centre before others, those with free slots first; among these the one that rendezvous hashing prefers for the
/// prompt's prefix unless its load is clearly above the least loaded.
class affinity_placement : public placement_strategy
{
public:
    std::string_view name() const override;
    std::vector<endpoint_id>
    order(const placement_query &query, std::vector<endpoint_candidate> candidates, random_source &random) const override;
};

/// Makes the strategy of that name; an unknown name gives none.
std::unique_ptr<placement_strategy> makePlacementStrategy(std::string_view name);

} // namespace burdockshelf
