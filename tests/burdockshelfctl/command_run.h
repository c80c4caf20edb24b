#pragma once

#include "burdockshelfctl/command_context.h"
#include "http/http_server.h"

#include <functional>
#include <sstream>

namespace burdockshelf
{

/// An instance's operators' port on the loop of the command under test.
struct fake_instance
{
    http_server server;
    socket_address at;

    fake_instance(event_loop &loop, std::function<std::string()> body)
        : server(loop,
                 {},
                 [body = std::move(body)](const std::shared_ptr<http_exchange> &exchange) {
                     exchange->respond({200, {}, body()});
                 })
        , at(server.listen({"127.0.0.1", 0}).value())
    {
    }
};

/// Runs commands on one loop, with short limits for calls to the platform.
struct command_run
{
    event_loop loop;
    random_source random {7};
    std::istringstream in;
    std::ostringstream out;
    std::ostringstream err;
    log_session_limits limits = {std::chrono::seconds(5), std::chrono::milliseconds(300), std::chrono::milliseconds(1)};

    exit_status start(exit_status (*run)(command_context &), const tool_options &options)
    {
        out.str("");
        err.str("");
        command_context context {options, in, out, err, loop, random, limits};
        return run(context);
    }
};

} // namespace burdockshelf
