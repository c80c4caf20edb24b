#include "gateway/rollout_writer.h"

#include "gateway/response_limits.h"

#include <utility>

namespace burdockshelf
{

namespace
{

// Well below the time for which a holder relies on a confirmation, so that a late write of an earlier holder is unlikely.
constexpr std::chrono::milliseconds writeTimeout {800};

} // namespace

rollout_writer::rollout_writer(event_loop &loop,
                               const socket_address &store,
                               const store_dialect &dialect,
                               store_call_counter calls,
                               status_handler onStatusWritten,
                               event_log log)
    : m_dialect(dialect)
    , m_calls(std::move(calls))
    , m_onStatusWritten(std::move(onStatusWritten))
    , m_log(std::move(log))
    , m_client(loop, store)
{
}

void rollout_writer::write(publish_rollout_record &&record)
{
    add(record.key, {m_dialect.write(store_topic::rollouts, record.key, record.value), std::nullopt});
}

void rollout_writer::write(publish_rollout_status &&status)
{
    add("status/" + status.decided.service.value(), {m_dialect.writeRolloutStatus(status.decided), std::move(status.decided)});
}

void rollout_writer::add(const std::string &key, pending_write &&write)
{
    m_pending.insert_or_assign(key, std::move(write));
    if (!m_client.isBusy()) {
        writeNext();
    }
}

void rollout_writer::writeNext()
{
    if (m_pending.empty()) {
        return;
    }
    auto next = m_pending.extract(m_pending.begin());
    m_calls.count(store_call::write);
    const deadline until = deadline::after(boot_clock::now(), writeTimeout);
    const http_request request = std::move(next.mapped().request);
    m_client.begin(
        request,
        until,
        response_limits::acknowledgement,
        [this, key = next.key(), status = std::move(next.mapped().status)](const outcome<http_response> &response) {
            const auto written = response ? m_dialect.decodeWriteResult(response.value()) : outcome<void>(response.error());
            if (!written) {
                m_log.write(
                    log_line("store", "write_failed").add("topic", "rollouts").add("key", key).add("cause", written.error().message));
            } else if (status) {
                m_onStatusWritten(*status);
            }
            writeNext();
        });
}

} // namespace burdockshelf
