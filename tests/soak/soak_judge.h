#pragma once

#include "core/boot_clock.h"
#include "http/http_client.h"

#include <map>
#include <string>
#include <vector>

namespace burdockshelf
{

enum class soak_kind
{
    idempotent,
    non_idempotent,
    streaming,
    /// Idempotent, on the route that moves between services, with a key that is replaced.
    moved,
};

/// A request of the soak's callers with what became of it.
struct soak_request
{
    std::string id;
    soak_kind kind = soak_kind::idempotent;
    std::size_t gateway = 0;
    std::string key;
    instant sentAt;
    instant endedAt;
    bool isEnded = false;
    /// 0 while there is no whole answer.
    int status = 0;
    http_response response;
    /// The caller's own time was over.
    bool isTimedOut = false;
};

/// Checks the promises from what callers and endpoints have seen.
class soak_judge
{
public:
    /// A gateway was stopped, killed or ended in this time, so that it need not answer in time.
    void noteDisturbed(std::size_t gateway, instant from, instant to);
    void noteRun(const std::string &id);
    void noteFault(std::string text);

    /// Judges all requests once nothing is under way any more.
    void judge(const std::map<std::string, soak_request> &requests);
    void fail(const std::string &rule, const std::string &text);

    /// Broken promises, one line each.
    const std::vector<std::string> &findings() const;
    const std::vector<std::string> &faults() const;

private:
    struct disturbance
    {
        std::size_t gateway = 0;
        instant from;
        instant to;
    };

    bool isDisturbed(const soak_request &request) const;
    void judgeRuns(const soak_request &request);
    void judgeAnswer(const soak_request &request);

    std::vector<disturbance> m_disturbances;
    std::map<std::string, int> m_runs;
    std::vector<std::string> m_findings;
    std::vector<std::string> m_faults;
};

} // namespace burdockshelf
