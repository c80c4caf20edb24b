#include "log_service/log_task.h"

#include "wire/platform_codec.h"

#include <utility>

#include <glog/logging.h>

namespace burdockshelf
{

namespace
{

// Wait before a batch is posted again to receivers whose mailboxes were full.
constexpr std::chrono::milliseconds deliveryRetryInterval {20};
// The response to an append has one offset.
constexpr byte_count maxAppendResponse {16 * 1024};

// A body that this version cannot decode is kept as a record of unknown kind rather than dropped: it takes up an offset, and every reader
// must count the same offsets.
log_record decodeContent(const logged_record &record)
{
    auto decoded = decodeRecord(record.content.kind, record.content.body);
    if (decoded) {
        return std::move(decoded).value();
    }
    LOG(WARNING) << "platform: record " << record.id << " at offset " << record.offset << " is skipped: " << decoded.error() << ".";
    return unknown_record {record.content.kind, record.content.body};
}

error statusError(const http_response &response)
{
    const bool isRefused = response.status >= 400 && response.status < 500;
    return {isRefused ? error_code::invalid_argument : error_code::unavailable,
            "the log answered with status " + std::to_string(response.status)};
}

} // namespace

log_task::log_task(event_loop &loop,
                   std::shared_ptr<mailbox<log_task_message>> box,
                   log_task_settings settings,
                   log_task_sinks sinks,
                   random_source random)
    : task(std::move(box))
    , m_settings(std::move(settings))
    , m_sinks(std::move(sinks))
    , m_random(random)
    , m_client(loop, m_settings.platform)
    , m_backoff(m_settings.minRetryDelay, m_settings.maxRetryDelay)
    , m_readTimer(loop, [this] { startRead(); })
    , m_deliveryTimer(loop, [this] { deliver(); })
{
}

outcome<void> log_task::start()
{
    startRead();
    return success();
}

void log_task::beginShutdown()
{
    m_isShuttingDown = true;
    m_readTimer.stop();
    m_deliveryTimer.stop();
    if (m_read) {
        m_client.cancel(*m_read);
    }
    finishIfIdle();
}

void log_task::handle(log_task_message &&message)
{
    std::visit([this](auto &&content) { receive(std::forward<decltype(content)>(content)); }, std::move(message));
}

// The result may be lost when the reply's mailbox is full: writers use it only as a hint, and repeat the append until they read the record
// back from the log.
void log_task::receive(append_request &&request)
{
    if (m_isShuttingDown || m_inFlightAppends >= m_settings.maxInFlightAppends) {
        const error cause = {error_code::overloaded, "too many appends are in flight"};
        static_cast<void>(request.reply.post({request.id, cause}));
        return;
    }
    ++m_inFlightAppends;
    const std::string body = encodeLogAppend({request.id, encodeRecord(request.record)});
    const http_request call = {"POST", "/log/append", {{"Content-Type", "application/json"}}, body};
    request.record = unknown_record {};
    m_client.send(call,
                  {nullptr, nullptr, [this, request](const http_call_result &result) { finishAppend(request, result); }, maxAppendResponse},
                  deadline::after(boot_clock::now(), m_settings.appendTimeout));
}

void log_task::receive(seek_request &&request)
{
    m_next = request.next;
    if (m_read) {
        m_client.cancel(*std::exchange(m_read, std::nullopt));
        scheduleRead();
    }
}

void log_task::startRead()
{
    const instant now = boot_clock::now();
    const std::string target = "/log/read?from=" + std::to_string(m_next.value()) + "&wait_ms=" + std::to_string(m_settings.maxWait.count())
        + "&limit=" + std::to_string(m_settings.readLimit);
    m_read = m_client.send({"GET", target, {}, {}},
                           {nullptr,
                            nullptr,
                            [this, now](const http_call_result &result) {
                                finishRead(now, result);
                            }},
                           deadline::after(now, m_settings.maxWait + m_settings.readTimeout));
}

void log_task::finishRead(instant sentAt, const http_call_result &result)
{
    m_read.reset();
    if (result.has_error()) {
        handleReadFailure(result.error().cause);
        return;
    }
    if (result.value().status != 200) {
        handleReadFailure(statusError(result.value()));
        return;
    }
    const auto page = decodeLogPage(result.value().body);
    if (!page) {
        handleReadFailure(page.error());
        return;
    }
    handlePage(sentAt, page.value());
}

void log_task::handlePage(instant sentAt, const log_page &page)
{
    if (m_isUnreachable) {
        LOG(INFO) << "platform: the log at " << m_settings.platform << " answers again.";
    }
    m_isUnreachable = false;
    m_backoff.reset();
    m_batch = {page.first, page.head, {}, sentAt};
    for (const logged_record &record : page.records) {
        m_batch.records.push_back({record.offset, record.id, decodeContent(record)});
        m_next = std::max(m_next, record.offset + log_offset(1));
    }
    const bool isBehind = !page.records.empty() && m_next < page.head;
    m_nextRead = isBehind ? deadline() : deadline::after(sentAt, m_settings.readInterval);
    m_undelivered = m_sinks.batches;
    deliver();
}

void log_task::handleReadFailure(const error &cause)
{
    if (!m_isUnreachable) {
        LOG(WARNING) << "platform: the log at " << m_settings.platform << " cannot be read: " << cause << ".";
    }
    m_isUnreachable = true;
    for (const sink<log_unreachable> &outage : m_sinks.outages) {
        // A receiver whose mailbox is full is notified with the next failed read.
        static_cast<void>(outage.post({cause}));
    }
    m_nextRead = deadline::after(boot_clock::now(), m_backoff.next(m_random));
    scheduleRead();
}

void log_task::deliver()
{
    std::erase_if(m_undelivered, [this](const sink<log_batch> &receiver) { return receiver.post(m_batch) != post_result::full; });
    if (!m_undelivered.empty()) {
        m_deliveryTimer.start(deadline::after(boot_clock::now(), deliveryRetryInterval));
        return;
    }
    m_batch = {};
    scheduleRead();
}

void log_task::scheduleRead()
{
    if (!m_isShuttingDown) {
        m_readTimer.start(m_nextRead);
    }
}

void log_task::finishAppend(const append_request &request, const http_call_result &result)
{
    --m_inFlightAppends;
    static_cast<void>(request.reply.post({request.id, appendOutcome(result)}));
    finishIfIdle();
}

outcome<log_offset> log_task::appendOutcome(const http_call_result &result)
{
    if (result.has_error()) {
        return result.error().cause;
    }
    if (result.value().status != 200) {
        return statusError(result.value());
    }
    return decodeAppendResponse(result.value().body);
}

void log_task::finishIfIdle()
{
    if (m_isShuttingDown && m_inFlightAppends == 0) {
        finish();
    }
}

} // namespace burdockshelf
