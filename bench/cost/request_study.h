#pragma once

#include "core/outcome.h"
#include "runtime/event_loop.h"
#include "site/site.h"

#include <nlohmann/json.hpp>

namespace burdockshelf
{

/// Measures what one daemon uses for requests: processor time per request and per token event, memory per open stream, and the latency
/// that it adds to a direct call of the same stand-in.
class request_study
{
public:
    request_study(event_loop &loop, std::uint64_t seed);

    outcome<nlohmann::json> run();

private:
    outcome<void> startSite();
    outcome<nlohmann::json> measureLoad(std::int64_t requestsPerMinute, std::int64_t outputTokens);
    outcome<nlohmann::json> measureOpenStreams(int streams);
    outcome<nlohmann::json> measureAddedLatency();
    double timedCall(const socket_address &at, const std::string &key);

    event_loop &m_loop;
    std::uint64_t m_seed;
    std::unique_ptr<site> m_site;
};

} // namespace burdockshelf
