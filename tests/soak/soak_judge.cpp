#include "soak_judge.h"

#include <algorithm>

namespace burdockshelf
{

namespace
{

constexpr const char *wholeStream = "id: 1\ndata: piece\n\nid: 2\ndata: piece\n\nid: 3\ndata: piece\n\n";
constexpr int statusOk = 200;
constexpr int statusTooMany = 429;
constexpr int statusUnavailable = 503;

} // namespace

void soak_judge::noteDisturbed(std::size_t gateway, instant from, instant to)
{
    m_disturbances.push_back({gateway, from, to});
}

void soak_judge::noteRun(const std::string &id)
{
    ++m_runs[id];
}

void soak_judge::noteFault(std::string text)
{
    m_faults.push_back(std::move(text));
}

void soak_judge::judge(const std::map<std::string, soak_request> &requests)
{
    for (const auto &[id, request] : requests) {
        judgeRuns(request);
        judgeAnswer(request);
    }
}

void soak_judge::judgeRuns(const soak_request &request)
{
    const auto found = m_runs.find(request.id);
    const int runs = found == m_runs.end() ? 0 : found->second;
    if (request.kind == soak_kind::non_idempotent && runs > 1) {
        fail("at most once", request.id + " ran " + std::to_string(runs) + " times");
    }
    if ((request.status == statusUnavailable || request.status == statusTooMany) && runs > 0) {
        fail("not run is true", request.id + " was answered " + std::to_string(request.status) + " and ran");
    }
    if (request.status == statusOk && runs == 0) {
        fail("whole answers", request.id + " was answered and ran nowhere");
    }
}

void soak_judge::judgeAnswer(const soak_request &request)
{
    if (request.isTimedOut && !isDisturbed(request)) {
        fail("every request is answered", request.id + " got no answer from gateway " + std::to_string(request.gateway));
    }
    if (request.status == statusUnavailable && !request.response.headers.has("Retry-After")) {
        fail("refusals tell when to come back",
             request.id + " got '" + request.response.body + "' from gateway " + std::to_string(request.gateway));
    }
    if (request.status != statusOk) {
        return;
    }
    if (request.response.headers.value("X-Attempt-Id") != request.id) {
        fail("answers belong to their requests",
             request.id + " got that of " + std::string(request.response.headers.value("X-Attempt-Id")));
    }
    const std::string expected = request.kind == soak_kind::streaming ? wholeStream : "body of " + request.id;
    if (request.response.body != expected) {
        fail("whole answers", request.id + " got '" + request.response.body + "'");
    }
}

bool soak_judge::isDisturbed(const soak_request &request) const
{
    return std::any_of(m_disturbances.begin(), m_disturbances.end(), [&](const disturbance &one) {
        return one.gateway == request.gateway && one.from <= request.endedAt && request.sentAt <= one.to;
    });
}

void soak_judge::fail(const std::string &rule, const std::string &text)
{
    m_findings.push_back(rule + ": " + text);
}

const std::vector<std::string> &soak_judge::findings() const
{
    return m_findings;
}

const std::vector<std::string> &soak_judge::faults() const
{
    return m_faults;
}

} // namespace burdockshelf
