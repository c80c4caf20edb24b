#include "policy/placement.h"

#include "core/digest.h"

#include <algorithm>
#include <tuple>

namespace burdockshelf
{

namespace
{

// Known loads lag by the time a response takes to arrive, so differences smaller than this step are not significant.
constexpr double loadStepWidth = 0.15;
// Number of load steps by which the endpoint that holds the prefix may be above another one.
constexpr double affinityBonusSteps = 1.5;

double relativeLoad(const endpoint_candidate &candidate)
{
    const auto limit = std::max<std::int64_t>(candidate.limit.value(), 1);
    return static_cast<double>(candidate.used.value()) / static_cast<double>(limit);
}

void dropExcluded(const placement_query &query, std::vector<endpoint_candidate> &candidates)
{
    std::erase_if(candidates, [&](const endpoint_candidate &candidate) {
        return std::find(query.excluded.begin(), query.excluded.end(), candidate.id) != query.excluded.end();
    });
}

void shuffle(std::vector<endpoint_candidate> &candidates, random_source &random)
{
    for (std::size_t i = candidates.size(); i > 1; --i) {
        std::swap(candidates[i - 1], candidates[random.below(i)]);
    }
}

std::vector<endpoint_id> idsOf(const std::vector<endpoint_candidate> &candidates)
{
    std::vector<endpoint_id> ids;
    ids.reserve(candidates.size());
    for (const endpoint_candidate &candidate : candidates) {
        ids.push_back(candidate.id);
    }
    return ids;
}

// The endpoint that requests with this prefix are sent to, and that therefore caches it. It is the same on every instance.
endpoint_id preferredForPrefix(std::uint64_t prefixHash, const std::vector<endpoint_candidate> &candidates)
{
    const auto best =
        std::max_element(candidates.begin(), candidates.end(), [&](const endpoint_candidate &left, const endpoint_candidate &right) {
            const auto rank = [&](const endpoint_candidate &candidate) {
                return std::tuple(candidate.isLocal, stableHash(candidate.id.value(), prefixHash));
            };
            return rank(left) < rank(right);
        });
    return best == candidates.end() ? endpoint_id() : best->id;
}

} // namespace

std::string_view random_placement::name() const
{
    return "random";
}

std::vector<endpoint_id>
random_placement::order(const placement_query &query, std::vector<endpoint_candidate> candidates, random_source &random) const
{
    dropExcluded(query, candidates);
    shuffle(candidates, random);
    return idsOf(candidates);
}

std::string_view affinity_placement::name() const
{
    return "affinity";
}

std::vector<endpoint_id>
affinity_placement::order(const placement_query &query, std::vector<endpoint_candidate> candidates, random_source &random) const
{
    dropExcluded(query, candidates);
    std::erase_if(candidates, [&](const endpoint_candidate &candidate) { return !candidate.retryAt.hasPassed(query.now); });
    const endpoint_id preferred = preferredForPrefix(query.prefixHash, candidates);
    // Equal ranks stay in random order, so that instances with the same view do not all choose the same endpoint.
    shuffle(candidates, random);
    const auto rank = [&](const endpoint_candidate &candidate) {
        const double steps = relativeLoad(candidate) / loadStepWidth - (candidate.id == preferred ? affinityBonusSteps : 0.0);
        return std::tuple(
            !candidate.isLocal, candidate.used >= candidate.limit, static_cast<int>(std::max(steps, 0.0)), candidate.id != preferred);
    };
    std::stable_sort(candidates.begin(), candidates.end(), [&](const endpoint_candidate &left, const endpoint_candidate &right) {
        return rank(left) < rank(right);
    });
    return idsOf(candidates);
}

std::unique_ptr<placement_strategy> makePlacementStrategy(std::string_view name)
{
    if (name == "random") {
        return std::make_unique<random_placement>();
    }
    if (name == "affinity") {
        return std::make_unique<affinity_placement>();
    }
    return nullptr;
}

} // namespace burdockshelf
