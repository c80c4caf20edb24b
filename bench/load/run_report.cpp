#include "load/run_report.h"

#include <algorithm>

namespace burdockshelf
{

namespace
{

double inMilliseconds(boot_clock::duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

double shareOf(std::int64_t part, std::int64_t whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

} // namespace

run_report::run_report(const load_plan &plan, const std::deque<request_record> &records, prefill_count prefills)
    : m_plan(plan)
    , m_prefills(prefills)
    , m_byWorkspace(plan.workspaces.size())
{
    for (const request_record &record : records) {
        add(record);
    }
    std::sort(m_completions.begin(), m_completions.end());
}

void run_report::add(const request_record &record)
{
    tally &workspace = m_byWorkspace[record.workspace];
    ++m_total.offered;
    ++workspace.offered;
    if (!record.isEnded) {
        ++m_unended;
        return;
    }
    if (record.isWhole) {
        ++m_total.whole;
        ++workspace.whole;
        m_completions.push_back(record.ended);
        m_firstToken.push_back(inMilliseconds(record.firstToken));
        m_betweenTokens.push_back(inMilliseconds(record.meanBetweenTokens));
        m_longestBetween.push_back(inMilliseconds(record.longestBetweenTokens));
    } else {
        const std::string code = record.code + (record.isNotExecuted ? " (not run)" : "");
        ++m_failures[code];
        m_failuresWithinRate[code] += record.isWithinRate ? 1 : 0;
        const bool isRefusal = record.status != 200 && record.code != "call_failed";
        if (isRefusal && record.isWithinRate) {
            ++m_refusedWithinRate;
            ++m_refusedByUrgency[m_plan.shapes[record.shape].urgency.value()];
        }
    }
    if (isGood(record)) {
        ++m_total.good;
        ++workspace.good;
    }
}

bool run_report::isGood(const request_record &record) const
{
    const traffic_shape &shape = m_plan.shapes[record.shape];
    return record.isWhole && record.firstToken <= shape.firstTokenWithin && record.meanBetweenTokens <= shape.betweenTokensWithin;
}

double run_report::worstShare() const
{
    double worst = 1;
    for (std::size_t i = 0; i < m_byWorkspace.size(); ++i) {
        if (m_plan.workspaces[i].isWellBehaved) {
            worst = std::min(worst, shareOf(m_byWorkspace[i].good, m_byWorkspace[i].offered));
        }
    }
    return worst;
}

double run_report::meanShare() const
{
    double sum = 0;
    int count = 0;
    for (std::size_t i = 0; i < m_byWorkspace.size(); ++i) {
        if (m_plan.workspaces[i].isWellBehaved) {
            sum += shareOf(m_byWorkspace[i].good, m_byWorkspace[i].offered);
            ++count;
        }
    }
    return count == 0 ? 0 : sum / count;
}

double run_report::longestGapSeconds() const
{
    boot_clock::duration last {0};
    boot_clock::duration longest {0};
    for (const boot_clock::duration at : m_completions) {
        const boot_clock::duration end = std::min<boot_clock::duration>(at, m_plan.duration);
        longest = std::max(longest, end - last);
        last = end;
    }
    longest = std::max<boot_clock::duration>(longest, m_plan.duration - last);
    return std::chrono::duration<double>(longest).count();
}

nlohmann::json run_report::toJson() const
{
    const double seconds = std::chrono::duration<double>(m_plan.duration).count();
    nlohmann::json workspaces = nlohmann::json::object();
    for (std::size_t i = 0; i < m_byWorkspace.size(); ++i) {
        const tally &one = m_byWorkspace[i];
        workspaces[m_plan.workspaces[i].workspace.value()] = {{"offered", one.offered}, {"whole", one.whole}, {"good", one.good}};
    }
    return {{"offered", m_total.offered},
            {"whole", m_total.whole},
            {"good", m_total.good},
            {"goodput_per_s", static_cast<double>(m_total.good) / seconds},
            {"not_ended", m_unended},
            {"failures", m_failures},
            {"failures_within_rate", m_failuresWithinRate},
            {"refused_within_rate", m_refusedWithinRate},
            {"refused_within_rate_by_urgency", m_refusedByUrgency},
            {"worst_share", worstShare()},
            {"mean_share", meanShare()},
            {"longest_gap_s", longestGapSeconds()},
            {"prefills", m_prefills.run},
            {"wasted_prefills", m_prefills.wasted},
            {"wasted_prefill_share", shareOf(m_prefills.wasted, m_prefills.run)},
            {"first_token_ms", {{"p50", quantileOf(m_firstToken, 0.5)}, {"p95", quantileOf(m_firstToken, 0.95)}}},
            {"between_tokens_ms", {{"p50", quantileOf(m_betweenTokens, 0.5)}, {"p95", quantileOf(m_betweenTokens, 0.95)}}},
            {"longest_between_tokens_ms", {{"p50", quantileOf(m_longestBetween, 0.5)}, {"p95", quantileOf(m_longestBetween, 0.95)}}},
            {"workspaces", workspaces}};
}

double quantileOf(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + rank, values.end());
    return values[static_cast<std::size_t>(rank)];
}

} // namespace burdockshelf
