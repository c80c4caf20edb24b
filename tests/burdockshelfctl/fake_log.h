#pragma once

#include "http/http_server.h"
#include "state/log_replay.h"
#include "wire/platform_codec.h"

#include <functional>
#include <vector>

namespace burdockshelf
{

/// The platform's log on the loop of the tool under test, with faults that a test switches.
class fake_log
{
public:
    explicit fake_log(event_loop &loop);

    const socket_address &at() const;
    void store(const record_id &id, const log_record &record);
    const std::vector<logged_record> &records() const;
    /// The state that every reader of the log reaches.
    state_view_ptr replay() const;
    /// Forgets the oldest records.
    void truncate(std::size_t count);

    /// Appends that take effect and whose replies are lost.
    int lostReplies = 0;
    /// Appends that are lost before they take effect.
    int lostAppends = 0;
    /// Every call is answered with 503, from the next append on when the second is set.
    bool hasOutage = false;
    bool hasOutageAfterAppend = false;
    /// Called once, before the next append takes effect.
    std::function<void()> beforeAppend;

private:
    void receive(const std::shared_ptr<http_exchange> &exchange);
    void receiveAppend(const std::shared_ptr<http_exchange> &exchange);
    void receiveRead(const std::shared_ptr<http_exchange> &exchange);

    std::vector<logged_record> m_records;
    log_offset m_next;
    http_server m_server;
    socket_address m_at;
};

} // namespace burdockshelf
