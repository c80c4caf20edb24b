#pragma once

#include <array>
#include <chrono>
#include <cstdint>

/// Facts of the simulated service, as measured on a deployment with two priorities.
namespace scarce_room
{

using std::chrono::milliseconds;

struct site_options
{
    int instances = 64;
    int engines = 65;
    double load = 1.0;
    double burstLoad = 1.5;
    double holdSeconds = 4.0;
    int seconds = 120;
    bool isRanked = true;
    double kept = 0.0;
    std::uint64_t seed = 1;
};

constexpr milliseconds askTime {4};
constexpr milliseconds startTime {200};
constexpr milliseconds callerTime {14000};
constexpr milliseconds burstPeriod {24000};
constexpr milliseconds burstTime {8000};
constexpr milliseconds viewLifetime {4000};
constexpr milliseconds fullTime {60};
constexpr std::int64_t engineMemory = 27484;
constexpr std::int64_t engineSlots = 16;
constexpr double startFraction = 0.7;
constexpr double lateValue = 4.1;

struct rank_facts
{
    double perSecond;
    milliseconds target;
    double value;
    double searchFraction;
};

constexpr std::array<rank_facts, 2> ranks {{{8.0, milliseconds(800), 50.0, 0.5}, {94.0, milliseconds(2000), 13.0, 1.0 / 3.0}}};

} // namespace scarce_room
