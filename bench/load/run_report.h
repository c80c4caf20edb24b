#pragma once

#include "load/load_plan.h"
#include "load/request_record.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace burdockshelf
{

/// Prefills that the engines ran, and those whose result nobody imported.
struct prefill_count
{
    std::int64_t run = 0;
    std::int64_t wasted = 0;
};

/// The measures of section 1.2 of the design page, worked out from one run's records.
class run_report
{
public:
    run_report(const load_plan &plan, const std::deque<request_record> &records, prefill_count prefills);

    nlohmann::json toJson() const;

private:
    struct tally
    {
        std::int64_t offered = 0;
        std::int64_t whole = 0;
        std::int64_t good = 0;
    };

    void add(const request_record &record);
    bool isGood(const request_record &record) const;
    double worstShare() const;
    double meanShare() const;
    double longestGapSeconds() const;

    const load_plan &m_plan;
    prefill_count m_prefills;
    tally m_total;
    std::vector<tally> m_byWorkspace;
    std::int64_t m_unended = 0;
    std::int64_t m_refusedWithinRate = 0;
    std::map<std::string, std::int64_t> m_failures;
    std::map<std::string, std::int64_t> m_failuresWithinRate;
    std::map<std::string, std::int64_t> m_refusedByUrgency;
    std::vector<double> m_firstToken;
    std::vector<double> m_betweenTokens;
    std::vector<double> m_longestBetween;
    std::vector<boot_clock::duration> m_completions;
};

/// The value that the given share of the values does not exceed; 0 without values.
double quantileOf(std::vector<double> values, double share);

} // namespace burdockshelf
