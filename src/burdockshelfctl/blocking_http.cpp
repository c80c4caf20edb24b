#include "burdockshelfctl/blocking_http.h"

#include <memory>
#include <optional>

namespace burdockshelf
{

namespace
{

outcome<std::string> bodyOf(const socket_address &server, const http_call_result &result)
{
    if (result.has_error()) {
        return failure(result.error().cause.code, result.error().cause.message);
    }
    if (result.value().status != 200) {
        return failure(error_code::unavailable, server.toString() + " answered with status " + std::to_string(result.value().status));
    }
    return result.value().body;
}

} // namespace

http_call_result callAndWait(event_loop &loop, const socket_address &server, const http_request &request, boot_clock::duration limit)
{
    http_client client(loop, server);
    std::optional<http_call_result> result;
    const auto onDone = [&loop, &result](http_call_result ended) {
        result = std::move(ended);
        loop.stop();
    };
    client.send(request, {nullptr, nullptr, onDone}, deadline::after(boot_clock::now(), limit));
    loop.run();
    return *result;
}

std::vector<fetched_body>
fetchFromAll(event_loop &loop, const std::vector<socket_address> &servers, const std::string &target, boot_clock::duration limit)
{
    std::vector<fetched_body> bodies;
    std::vector<std::unique_ptr<http_client>> clients;
    const deadline until = deadline::after(boot_clock::now(), limit);
    std::size_t pending = servers.size();
    for (std::size_t i = 0; i < servers.size(); ++i) {
        bodies.push_back({servers[i], std::string()});
        clients.push_back(std::make_unique<http_client>(loop, servers[i]));
        const auto onDone = [&, i](const http_call_result &ended) {
            bodies[i].body = bodyOf(servers[i], ended);
            --pending;
            if (pending == 0) {
                loop.stop();
            }
        };
        clients.back()->send({"GET", target, {}, ""}, {nullptr, nullptr, onDone}, until);
    }
    if (pending > 0) {
        loop.run();
    }
    return bodies;
}

void pauseFor(event_loop &loop, boot_clock::duration span)
{
    timer alarm(loop, [&loop] { loop.stop(); });
    alarm.start(deadline::after(boot_clock::now(), span));
    loop.run();
}

} // namespace burdockshelf
