#pragma once

#include "endless_site.h"

#include <string>
#include <vector>

namespace burdockshelf
{

/// Requests whose endpoints answer calls with faults, and the checks of what must hold afterwards.
class fault_play
{
public:
    explicit fault_play(std::int64_t prefillPercent = 0);

    endless_site &site();
    /// Starts the gateway, sends requests whose calls get the faults in turn, and checks that the gateway stands.
    void play(const std::vector<faulty_response> &faults, call_filter isFaulty, const std::string &method, const std::string &target);
    /// The same for calls that the gateway makes by itself, with that path.
    void playOwnCalls(const std::vector<faulty_response> &faults, const std::string &path);
    void send(const std::string &method, const std::string &target);
    /// Waits until all requests have ended, and checks that none that an endpoint has run was answered with a promise that it has not.
    void finish();

private:
    struct sent_request
    {
        std::string id;
        const raw_caller *caller;
    };

    endless_site m_site;
    std::vector<sent_request> m_sent;
};

} // namespace burdockshelf
