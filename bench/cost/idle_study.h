#pragma once

#include "core/outcome.h"
#include "runtime/event_loop.h"
#include "site/site_plan.h"

#include <nlohmann/json.hpp>

namespace burdockshelf
{

/// Measures what an idle daemon uses against the number of members, endpoints and workspaces, one of them varied at a time.
class idle_study
{
public:
    explicit idle_study(event_loop &loop);

    outcome<nlohmann::json> run();

private:
    struct deployment_size
    {
        int members = 2;
        int endpoints = 4;
        int workspaces = 2;
    };

    outcome<nlohmann::json> measure(const deployment_size &size);

    event_loop &m_loop;
};

} // namespace burdockshelf
