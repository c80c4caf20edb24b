#include "gateway/relayed_streams_writer.h"

#include "gateway/response_limits.h"
#include "gateway/version_codec.h"

#include <utility>

namespace burdockshelf
{

namespace
{

constexpr std::chrono::milliseconds writeTimeout {250};
// A third of 450 instances, if the store turns away so many and one instance is asked by all of them.
constexpr std::size_t maxWriters = 150;
// Keeps the record apart from the one that the instance itself writes once the store responds to it again.
constexpr const char *keySuffix = "-relayed";

} // namespace

relayed_streams_writer::relayed_streams_writer(
    event_loop &loop, const socket_address &store, const store_dialect &dialect, store_call_counter calls, event_log log)
    : m_dialect(dialect)
    , m_calls(std::move(calls))
    , m_log(std::move(log))
    , m_client(loop, store)
{
}

void relayed_streams_writer::write(const incarnation_id &writer, std::string record, sink<peer_message> replyTo)
{
    const bool hasRoom = m_pending.size() < maxWriters || m_pending.count(writer) > 0;
    if (!hasRoom || !decodeOpenStreams(record)) {
        reply({std::move(replyTo)}, false);
        return;
    }
    pending_write &pending = m_pending[writer];
    pending.record = std::move(record);
    pending.replies.push_back(std::move(replyTo));
    if (!m_client.isBusy()) {
        writeNext();
    }
}

void relayed_streams_writer::writeNext()
{
    if (m_pending.empty()) {
        return;
    }
    auto next = m_pending.extract(m_pending.begin());
    m_calls.count(store_call::write);
    const http_request request = m_dialect.write(store_topic::streams, next.key().value() + keySuffix, next.mapped().record);
    m_client.begin(request,
                   deadline::after(boot_clock::now(), writeTimeout),
                   response_limits::acknowledgement,
                   [this, writer = next.key(), replies = std::move(next.mapped().replies)](const outcome<http_response> &response) {
                       const auto written = response ? m_dialect.decodeWriteResult(response.value()) : outcome<void>(response.error());
                       if (!written) {
                           m_log.write(log_line("versions", "call_failed")
                                           .add("call", "write_relayed_streams")
                                           .add("writer", writer)
                                           .add("cause", written.error().message));
                       }
                       reply(replies, written.has_value());
                       writeNext();
                   });
}

void relayed_streams_writer::reply(const std::vector<sink<peer_message>> &to, bool isAccepted)
{
    for (const sink<peer_message> &each : to) {
        if (each.post(acknowledgement {isAccepted}) != post_result::delivered) {
            m_log.write(log_line("versions", "message_dropped").add("receiver", "mesh"));
        }
    }
}

} // namespace burdockshelf
