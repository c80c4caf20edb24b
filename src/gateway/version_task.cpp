#include "gateway/version_task.h"

#include "gateway/response_limits.h"
#include "gateway/version_codec.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds callTimeout {500};
constexpr milliseconds minRetryDelay {40};
constexpr milliseconds maxRetryDelay {400};
// Instances that find a version at the same time write at different times, after reading again whether one of them has written it. Without
// the delay, hundreds of instances would each make a write that fails.
constexpr milliseconds maxWriteDelay {100};
// A lost write is repeated with the streams of the next one.
constexpr milliseconds streamWriteTimeout {800};

milliseconds drawTime(milliseconds most, random_source &random)
{
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(most.count()) * random.uniform()));
}

} // namespace

version_task::version_task(event_loop &loop,
                           std::shared_ptr<mailbox<version_message>> box,
                           version_task_settings settings,
                           const store_dialect &dialect,
                           version_addresses to,
                           event_log log,
                           random_source random)
    : task(std::move(box))
    , m_settings(std::move(settings))
    , m_dialect(dialect)
    , m_to(std::move(to))
    , m_log(std::move(log))
    , m_random(random)
    , m_call(loop, m_settings.store)
    , m_streamWriter(loop, m_settings.store)
    , m_next(loop, [this] { proceed(); })
    , m_backoff(minRetryDelay, maxRetryDelay)
    , m_versions(drawTime(recorded_versions::retentionSpread, m_random))
{
}

outcome<void> version_task::start()
{
    proceed();
    return success();
}

void version_task::handle(version_message &&message)
{
    std::visit([this](auto &&typed) { apply(std::forward<decltype(typed)>(typed)); }, std::move(message));
}

void version_task::apply(versions_registered &&registered)
{
    m_versions.setRegistered(registered.versions, boot_clock::now());
    proceed();
}

void version_task::apply(open_streams &&open)
{
    m_unwrittenStreams = std::move(open.streams);
    writeStreams();
}

void version_task::apply(stream_lookup &&lookup)
{
    if (m_isFailing && m_next.isArmed()) {
        answer(lookup, std::nullopt, false);
        return;
    }
    m_waiting.push_back(std::move(lookup));
    proceed();
}

void version_task::proceed()
{
    if (m_call.isBusy()) {
        return;
    }
    const instant now = boot_clock::now();
    const auto record = m_versions.nextRecord(now);
    if (!record) {
        m_writeAt.reset();
    } else if (!m_writeAt) {
        m_writeAt = deadline::after(now, drawTime(maxWriteDelay, m_random));
        m_mustRead = true;
    }
    if (m_waiting.empty() && m_writeAt && !m_writeAt->hasPassed(now)) {
        m_next.start(*m_writeAt);
    } else if (m_mustRead || !m_waiting.empty()) {
        // The records have to be read after a caller has taken its stream up, so a read that is running does not count for it.
        m_covered.insert(m_covered.end(), m_waiting.begin(), m_waiting.end());
        m_waiting.clear();
        m_afterKey.clear();
        m_page.clear();
        readVersions();
    } else if (record) {
        writeRecord(*record);
    } else {
        m_next.start(m_versions.nextRemoval());
    }
}

void version_task::readVersions()
{
    m_to.calls.count(store_call::read_newest);
    m_call.begin(m_dialect.readNewest(store_topic::versions, m_afterKey),
                 deadline::after(boot_clock::now(), callTimeout),
                 response_limits::records,
                 [this](const outcome<http_response> &response) { handleVersionsPage(response); });
}

void version_task::handleVersionsPage(const outcome<http_response> &response)
{
    const auto page = response ? m_dialect.decodeNewest(response.value()) : outcome<store_page>(response.error());
    if (!page) {
        retryLater("read_versions", page.error().message);
        return;
    }
    if (m_afterKey.empty()) {
        m_end = page.value().end;
    }
    for (const store_record &record : page.value().records) {
        m_afterKey = record.key;
        const auto versions = decodeVersions(record.value.value_or(std::string()));
        if (versions) {
            m_page[service_id(record.key)] = versions.value();
        } else {
            // Streams of any version may have begun.
            m_page[service_id(record.key)].emplace();
            m_log.write(log_line("versions", "record_unreadable").add("key", record.key).add("cause", versions.error().message));
        }
    }
    if (page.value().hasMore && !page.value().records.empty()) {
        readVersions();
        return;
    }
    finishVersions();
}

void version_task::finishVersions()
{
    m_mustRead = false;
    m_isFailing = false;
    m_backoff.reset();
    m_versions.setRecorded(m_page, boot_clock::now());
    publishRecorded();
    if (m_versions.hasLost()) {
        m_log.write(log_line("versions", "records_lost").add("end", m_end));
    } else {
        answerFromVersions();
    }
    if (!m_needStreams.empty()) {
        m_afterKey.clear();
        m_streamsRead.clear();
        readStreams();
        return;
    }
    proceed();
}

void version_task::writeRecord(const version_record &record)
{
    m_to.calls.count(store_call::write);
    m_call.begin(m_dialect.writeAt(store_topic::versions, record.service.value(), encodeVersions(record.versions), m_end),
                 deadline::after(boot_clock::now(), callTimeout),
                 response_limits::acknowledgement,
                 [this, record](const outcome<http_response> &response) { handleWritten(record, response); });
}

void version_task::handleWritten(const version_record &record, const outcome<http_response> &response)
{
    const auto end = response ? m_dialect.decodeWriteEnd(response.value()) : outcome<store_offset>(response.error());
    if (!end) {
        m_mustRead = true;
        if (end.error().code == error_code::conflict) {
            // Another instance has written meanwhile.
            proceed();
        } else {
            // The write may have been done.
            retryLater("write_versions", end.error().message);
        }
        return;
    }
    m_end = end.value();
    m_versions.noteWritten(record);
    log_line line("versions", "versions_recorded");
    line.add("service", record.service);
    for (const service_version &version : record.versions) {
        line.add("version", version);
    }
    m_log.write(std::move(line));
    publishRecorded();
    if (!m_versions.hasLost()) {
        answerFromVersions();
    }
    if (!m_needStreams.empty()) {
        m_afterKey.clear();
        m_streamsRead.clear();
        readStreams();
        return;
    }
    proceed();
}

void version_task::readStreams()
{
    m_to.calls.count(store_call::read_newest);
    m_call.begin(m_dialect.readNewest(store_topic::streams, m_afterKey),
                 deadline::after(boot_clock::now(), callTimeout),
                 response_limits::records,
                 [this](const outcome<http_response> &response) { handleStreamsPage(response); });
}

void version_task::handleStreamsPage(const outcome<http_response> &response)
{
    const auto page = response ? m_dialect.decodeNewest(response.value()) : outcome<store_page>(response.error());
    if (!page) {
        retryLater("read_streams", page.error().message);
        return;
    }
    for (const store_record &record : page.value().records) {
        m_afterKey = record.key;
        const auto streams = decodeOpenStreams(record.value.value_or(std::string()));
        if (streams) {
            m_streamsRead.insert(m_streamsRead.end(), streams.value().begin(), streams.value().end());
        } else {
            m_log.write(log_line("versions", "record_unreadable").add("key", record.key).add("cause", streams.error().message));
        }
    }
    if (page.value().hasMore && !page.value().records.empty()) {
        readStreams();
        return;
    }
    answerFromStreams();
    proceed();
}

void version_task::answerFromVersions()
{
    for (stream_lookup &lookup : std::exchange(m_covered, {})) {
        const auto origin = onlyOrigin(lookup.services, m_versions.recorded());
        if (origin) {
            answer(lookup, origin, true);
        } else if (lookup.stream.isEmpty()) {
            answer(lookup, std::nullopt, true);
        } else {
            m_needStreams.push_back(std::move(lookup));
        }
    }
}

void version_task::answerFromStreams()
{
    for (const stream_lookup &lookup : std::exchange(m_needStreams, {})) {
        const auto found = std::find_if(
            m_streamsRead.begin(), m_streamsRead.end(), [&](const open_stream &stream) { return stream.attempt == lookup.stream; });
        const bool isKnown = found != m_streamsRead.end() && !found->origin.version.isEmpty();
        answer(lookup, isKnown ? std::optional(found->origin) : std::nullopt, true);
    }
    m_streamsRead.clear();
}

void version_task::answer(const stream_lookup &lookup, const std::optional<stream_origin> &origin, bool isCertain)
{
    post(stream_found {lookup.flow, origin, isCertain});
}

void version_task::retryLater(std::string_view call, std::string_view cause)
{
    m_log.write(log_line("versions", "call_failed").add("call", call).add("cause", cause));
    m_isFailing = true;
    m_covered.insert(m_covered.end(), m_needStreams.begin(), m_needStreams.end());
    m_needStreams.clear();
    for (const stream_lookup &lookup : std::exchange(m_covered, {})) {
        answer(lookup, std::nullopt, false);
    }
    m_next.start(deadline::after(boot_clock::now(), m_backoff.next(m_random)));
}

void version_task::publishRecorded()
{
    if (m_versions.recorded() == m_published) {
        return;
    }
    m_published = m_versions.recorded();
    post(versions_recorded {m_published});
}

void version_task::writeStreams()
{
    if (m_streamWriter.isBusy() || !m_unwrittenStreams || (m_unwrittenStreams->empty() && !m_hasStreamRecord)) {
        return;
    }
    const std::vector<open_stream> streams = *std::exchange(m_unwrittenStreams, std::nullopt);
    // A record without a value is dropped by the store.
    const std::string value = streams.empty() ? std::string() : encodeOpenStreams(streams);
    m_hasStreamRecord = !streams.empty();
    m_to.calls.count(store_call::write);
    m_streamWriter.begin(
        m_dialect.write(store_topic::streams, m_settings.incarnation.value(), value),
        deadline::after(boot_clock::now(), streamWriteTimeout),
        response_limits::acknowledgement,
        [this](const outcome<http_response> &response) {
            const auto written = response ? m_dialect.decodeWriteResult(response.value()) : outcome<void>(response.error());
            if (!written) {
                m_log.write(log_line("versions", "call_failed").add("call", "write_streams").add("cause", written.error().message));
            }
            writeStreams();
        });
}

void version_task::post(dispatch_message message)
{
    if (m_to.dispatcher.post(std::move(message)) != post_result::delivered) {
        m_log.write(log_line("versions", "message_dropped").add("receiver", "dispatcher"));
    }
}

} // namespace burdockshelf
