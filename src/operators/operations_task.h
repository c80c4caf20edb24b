#pragma once

#include "http/http_server.h"
#include "metrics/metric_registry.h"
#include "operators/operations_messages.h"
#include "operators/status_board.h"
#include "runtime/task.h"

#include <memory>
#include <string>

namespace burdockshelf
{

struct operations_settings
{
    socket_address listenAddress;
    service_level_settings burn;
};

/// Serves the HTTP endpoints for operators and monitoring on a separate listening address. Shows only the status that other tasks post to
/// it, and takes no part in routing decisions.
class operations_task : public task<operations_message>
{
public:
    operations_task(event_loop &loop,
                    std::shared_ptr<mailbox<operations_message>> box,
                    operations_settings settings,
                    sink<operations_listening> listening);

    outcome<void> start() override;

private:
    struct route
    {
        std::string_view path;
        http_response (operations_task::*answer)() const;
    };

    static const route routes[];

    void handle(operations_message &&message) override;
    void apply(status_update &&part);
    void apply(const metric_batch &batch);
    void apply(readiness_changed &&change);
    http_response answer(const http_request &request) const;
    http_response live() const;
    http_response ready() const;
    http_response metrics() const;
    http_response status() const;
    http_response burn() const;

    operations_settings m_settings;
    sink<operations_listening> m_listening;
    status_board m_board;
    metric_registry m_registry;
    readiness_changed m_readiness {false, "starting"};
    http_server m_server;
};

} // namespace burdockshelf
