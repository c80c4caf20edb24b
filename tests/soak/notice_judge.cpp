#include "notice_judge.h"

#include <utility>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

// Requests that were sent before, or were under way, are allowed.
constexpr milliseconds leavingTolerance {500};
constexpr milliseconds pauseTolerance {500};
constexpr int toleratedCalls = 2;

} // namespace

void notice_judge::noteCall(const std::string &endpoint, std::size_t gateway, const std::string &request, instant sentAt, instant now)
{
    m_restartsAtCall[request] = m_restarts[endpoint];
    const pair_key key = {endpoint, gateway};
    const auto leaving = m_leavingSince.find(key);
    if (leaving != m_leavingSince.end() && sentAt > leaving->second + leavingTolerance) {
        m_findings.push_back(request + " reached " + endpoint + ", which had told gateway " + std::to_string(gateway) + " that it leaves");
    }
    const auto pause = m_pauses.find(key);
    if (pause != m_pauses.end() && pause->second.binding.hasPassed(now) && !pause->second.until.hasPassed(now)
        && ++pause->second.calls > toleratedCalls) {
        m_findings.push_back(request + " reached " + endpoint + " during the pause that gateway " + std::to_string(gateway)
                             + " was asked for");
    }
}

void notice_judge::noteLeavingAnswer(const std::string &endpoint, std::size_t gateway, const std::string &request, instant now)
{
    const auto called = m_restartsAtCall.find(request);
    if (called != m_restartsAtCall.end() && called->second == m_restarts[endpoint]) {
        m_leavingSince.try_emplace({endpoint, gateway}, now);
    }
}

void notice_judge::notePause(const std::string &endpoint, std::size_t gateway, deadline until, instant now)
{
    pause_record &known = m_pauses[{endpoint, gateway}];
    if (known.until.hasPassed(now)) {
        known = {deadline::after(now, pauseTolerance), until, 0};
    }
}

void notice_judge::noteRestart(const std::string &endpoint)
{
    ++m_restarts[endpoint];
    noteLinkFault(endpoint);
    std::erase_if(m_leavingSince, [&](const auto &entry) { return entry.first.first == endpoint; });
}

void notice_judge::noteLinkFault(const std::string &endpoint)
{
    std::erase_if(m_pauses, [&](const auto &entry) { return entry.first.first == endpoint; });
}

void notice_judge::noteDisturbed(std::size_t gateway)
{
    std::erase_if(m_pauses, [&](const auto &entry) { return entry.first.second == gateway; });
    std::erase_if(m_leavingSince, [&](const auto &entry) { return entry.first.second == gateway; });
}

std::vector<std::string> notice_judge::takeFindings()
{
    return std::exchange(m_findings, {});
}

} // namespace burdockshelf
