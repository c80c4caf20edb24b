#pragma once

#include "core/deadline.h"

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace burdockshelf
{

/// Checks that gateways keep away from endpoints that have said that they leave or pause. What a gateway learnt before it was disturbed, or
/// over a link that has failed, does not count.
class notice_judge
{
public:
    /// A caller's request has reached an endpoint.
    void noteCall(const std::string &endpoint, std::size_t gateway, const std::string &request, instant sentAt, instant now);
    /// A caller got an answer of the endpoint that says that it leaves.
    void noteLeavingAnswer(const std::string &endpoint, std::size_t gateway, const std::string &request, instant now);
    /// The endpoint has turned a request away for a time.
    void notePause(const std::string &endpoint, std::size_t gateway, deadline until, instant now);
    void noteRestart(const std::string &endpoint);
    void noteLinkFault(const std::string &endpoint);
    void noteDisturbed(std::size_t gateway);

    /// Broken promises since the last call, one line each.
    std::vector<std::string> takeFindings();

private:
    using pair_key = std::pair<std::string, std::size_t>;

    struct pause_record
    {
        deadline binding;
        deadline until;
        int calls = 0;
    };

    std::map<pair_key, instant> m_leavingSince;
    std::map<pair_key, pause_record> m_pauses;
    /// How often an endpoint has restarted, and how often it had when a request reached it.
    std::map<std::string, int> m_restarts;
    std::map<std::string, int> m_restartsAtCall;
    std::vector<std::string> m_findings;
};

} // namespace burdockshelf
