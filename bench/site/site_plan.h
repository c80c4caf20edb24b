#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace burdockshelf
{

struct data_centre_plan
{
    std::string name;
    int instances = 2;
    int prefill = 1;
    int decode = 2;
    int services = 1;
};

struct workspace_plan
{
    std::string name;
    std::int64_t tokensPerSecond = 20000;
    std::int64_t burstTokens = 40000;
};

/// A deployment on loopback: what is started, and how. Names of the services are "model" and "booking".
struct site_plan
{
    std::vector<data_centre_plan> dataCentres;
    std::vector<workspace_plan> workspaces;
    /// Further arguments of every engine stand-in.
    std::vector<std::string> engineArguments;
    /// How many bytes of a prompt the quota counts as a token; the stand-in engines count four.
    int promptBytesPerToken = 2;
    /// JSON members that are added to every daemon's settings, for example "lease_ms": 1000.
    std::vector<std::string> settingsMembers;

    /// Two data centres with two instances each, and one workspace named "dispatch".
    static site_plan small();
    /// Kavakli and Cascadia as the design page sizes them.
    static site_plan kavakli();
    static site_plan cascadia();
};

} // namespace burdockshelf
