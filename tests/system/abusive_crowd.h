#pragma once

#include "core/socket_address.h"
#include "http1/byte_stream.h"

#include <memory>
#include <string>
#include <vector>

namespace burdockshelf
{

/// Connections that all send the same bytes and then stay open. Used by one test at a time.
class abusive_crowd
{
public:
    explicit abusive_crowd(event_loop &loop);

    /// Opens connections that send the bytes. Callers that do not read have a small receive buffer, so that responses stay with the sender.
    void add(const socket_address &to, int connections, const std::string &bytes, bool readsResponses = true);
    /// Sends more bytes on every connection that is still open.
    void sendMore(const std::string &bytes);

private:
    struct member
    {
        std::unique_ptr<byte_stream> stream;
        bool hasEnded = false;
    };

    event_loop &m_loop;
    std::vector<std::unique_ptr<member>> m_members;
};

} // namespace burdockshelf
