#pragma once

#include "http/http_server.h"
#include "standins/platform/delayed_calls.h"
#include "standins/platform/standin_instance_list.h"
#include "standins/platform/standin_log.h"

#include <list>

namespace burdockshelf
{

/// The platform's HTTP interface over the log and the instance list, with faults that POST /control switches.
class standin_platform
{
public:
    standin_platform(event_loop &loop, log_retention retention);

    outcome<socket_address> listen(const socket_address &address);

private:
    using exchange_ptr = std::shared_ptr<http_exchange>;

    /// A long poll at the head of the log.
    struct held_read
    {
        exchange_ptr exchange;
        log_offset from;
        std::size_t limit = 0;
        deadline until;
    };

    /// A path and what answers it.
    struct route
    {
        std::string_view method;
        std::string_view path;
        void (standin_platform::*handle)(const exchange_ptr &exchange);
    };

    static const route routes[];

    void receive(const exchange_ptr &exchange);
    void receiveAppend(const exchange_ptr &exchange);
    void receiveRead(const exchange_ptr &exchange);
    void receiveList(const exchange_ptr &exchange);
    void receiveAnnouncement(const exchange_ptr &exchange);
    void receiveControl(const exchange_ptr &exchange);

    void applyAppend(const exchange_ptr &exchange, const log_append &append);
    void applyControl(const platform_control &control);
    void answerRead(const held_read &read);
    void answerHeldReads();
    bool isAnswerable(const held_read &read) const;

    delayed_calls m_delayed;
    standin_log m_log;
    standin_instance_list m_instances;
    std::list<held_read> m_heldReads;
    bool m_hasOutage = false;
    bool m_hasListOutage = false;
    std::chrono::milliseconds m_readDelay {0};
    std::chrono::milliseconds m_appendDelay {0};
    std::int64_t m_lostAppendReplies = 0;
    http_server m_server;
};

} // namespace burdockshelf
