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
constexpr milliseconds streamWriteTimeout {800};
constexpr milliseconds streamRetryDelay {250};

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
    , m_streamRetry(loop, [this] { writeStreams(); })
    , m_backoff(minRetryDelay, maxRetryDelay)
    , m_versions(drawTime(recorded_versions::retentionSpread, m_random))
    , m_relayClient(m_to.mesh, makeSink<peer_response>(self()), m_log)
    , m_relayedWriter(loop, m_settings.store, m_dialect, m_to.calls, m_log)
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
    publishRecorded();
    proceed();
}

void version_task::apply(open_streams &&open)
{
    m_unwrittenStreams = std::move(open.streams);
    m_areStreamsRelayed = false;
    if (m_isStreamWriteFailing) {
        relayStreams();
    }
    writeStreams();
}

void version_task::apply(stream_lookup &&lookup)
{
    add({std::move(lookup), {}});
}

void version_task::apply(const holders_listed &listed)
{
    m_relayClient.setHolders(chooseOtherHolders(m_settings.instance, {}, listed.holders));
}

void version_task::apply(peer_message_received &&received)
{
    if (auto *lookup = std::get_if<peer_stream_lookup>(&received.message)) {
        add({{flow_id(), std::move(lookup->stream), std::move(lookup->services)}, std::move(received.reply)});
    } else if (auto *open = std::get_if<peer_open_streams>(&received.message)) {
        m_relayedWriter.write(received.from.incarnation, std::move(open->record), std::move(received.reply));
    }
}

void version_task::apply(const peer_response &response)
{
    m_relayClient.receive(response);
}

void version_task::add(pending_lookup &&lookup)
{
    if (m_isFailing && m_next.isArmed()) {
        answerWithoutStore(lookup);
        return;
    }
    m_waiting.push_back(std::move(lookup));
    proceed();
}

void version_task::apply(const store_restored & /*restored*/)
{
    m_isRestored = true;
    m_mustRead = true;
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
        if (!m_isFailing) {
            m_backoff.reset();
        }
    } else if (!m_writeAt) {
        m_writeAt = deadline::after(now, drawTime(maxWriteDelay, m_random));
        m_mustRead = true;
    }
    const bool isWriteDue = record && m_writeAt->hasPassed(now);
    if (isWriteDue && !m_mustRead) {
        writeRecord(*record);
    } else if (!m_waiting.empty() || (m_mustRead && (!record || isWriteDue))) {
        beginRead();
    } else if (record) {
        m_next.start(*m_writeAt);
    } else {
        m_next.start(m_versions.nextRemoval());
    }
}

void version_task::beginRead()
{
    // The records have to be read after a caller has resumed its stream or the store was restored, so a read that is running does not
    // count for it.
    m_mustRead = false;
    m_covered.insert(m_covered.end(), m_waiting.begin(), m_waiting.end());
    m_waiting.clear();
    m_afterKey.clear();
    m_page.clear();
    readVersions();
}

bool version_task::noteEra(const outcome<http_response> &response)
{
    const std::optional<store_era> era = response ? m_dialect.decodeEra(response.value()) : std::nullopt;
    if (!era || era == m_era) {
        return false;
    }
    m_era = era;
    m_isRestored = true;
    return true;
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
    const bool isFirstPage = m_afterKey.empty();
    if (noteEra(response) && !isFirstPage) {
        beginRead();
        return;
    }
    const auto page = response ? m_dialect.decodeNewest(response.value()) : outcome<store_page>(response.error());
    if (!page) {
        m_mustRead = true;
        retryLater("read_versions", page.error().message);
        return;
    }
    if (isFirstPage) {
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
    m_isFailing = false;
    m_versions.setRecorded(m_page, std::exchange(m_isRestored, false), boot_clock::now());
    publishRecorded();
    if (m_versions.hasLost()) {
        m_log.write(log_line("versions", "records_lost").add("end", m_end));
    }
    continueAfterVersions();
}

void version_task::continueAfterVersions()
{
    if (!m_versions.hasLost()) {
        answerFromVersions();
    }
    if (m_needStreams.empty()) {
        proceed();
    } else {
        beginStreams();
    }
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
    const bool isRestored = noteEra(response);
    const auto end = response ? m_dialect.decodeWriteEnd(response.value()) : outcome<store_offset>(response.error());
    if (!end || isRestored) {
        m_mustRead = true;
        if (isRestored || end.error().code == error_code::conflict) {
            // Another instance has written since the read, or the end was that of an earlier era.
            proceed();
        } else {
            // The write may have been done.
            retryLater("write_versions", end.error().message);
        }
        return;
    }
    m_end = end.value();
    const bool wasMixed = m_versions.isMixed();
    m_versions.noteWritten(record);
    log_line line("versions", "versions_recorded");
    line.add("service", record.service);
    for (const service_version &version : record.versions) {
        line.add("version", version);
    }
    m_log.write(std::move(line));
    publishRecorded();
    if (wasMixed && !m_versions.isMixed()) {
        m_isDropping = true;
        beginStreams();
        return;
    }
    continueAfterVersions();
}

void version_task::beginStreams()
{
    m_afterKey.clear();
    m_streamsRead.clear();
    m_obsoleteKeys.clear();
    readStreams();
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
        // Without another read, lookups would be answered as if the store still failed.
        m_mustRead = true;
        retryLater("read_streams", page.error().message);
        return;
    }
    for (const store_record &record : page.value().records) {
        m_afterKey = record.key;
        const auto streams = decodeOpenStreams(record.value.value_or(std::string()));
        m_obsoleteKeys.push_back(record.key);
        if (streams) {
            for (const open_stream &stream : streams.value()) {
                m_streamsRead.emplace(stream.attempt, stream.origin);
            }
        } else {
            m_log.write(log_line("versions", "record_unreadable").add("key", record.key).add("cause", streams.error().message));
        }
    }
    if (page.value().hasMore && !page.value().records.empty()) {
        readStreams();
        return;
    }
    answerFromStreams();
    if (std::exchange(m_isDropping, false) && !m_versions.isMixed()) {
        dropStreamRecords();
    }
    proceed();
}

void version_task::answerFromVersions()
{
    for (pending_lookup &lookup : std::exchange(m_covered, {})) {
        const auto origin = onlyOrigin(lookup.lookup.services, m_versions.possible());
        if (origin) {
            answer(lookup, origin, true);
        } else if (lookup.lookup.stream.isEmpty()) {
            answer(lookup, std::nullopt, true);
        } else {
            m_needStreams.push_back(std::move(lookup));
        }
    }
}

void version_task::answerFromStreams()
{
    for (const pending_lookup &lookup : std::exchange(m_needStreams, {})) {
        const auto found = m_streamsRead.find(lookup.lookup.stream);
        const bool isKnown = found != m_streamsRead.end() && !found->second.version.isEmpty();
        answer(lookup, isKnown ? std::optional(found->second) : std::nullopt, true);
    }
    m_streamsRead.clear();
}

void version_task::answer(const pending_lookup &lookup, const std::optional<stream_origin> &origin, bool isCertain)
{
    if (!lookup.reply.isValid()) {
        post(stream_found {lookup.lookup.flow, origin, isCertain});
        return;
    }
    const stream_origin found = origin.value_or(stream_origin());
    if (lookup.reply.post(peer_stream_origin {found.service, found.version, isCertain}) != post_result::delivered) {
        m_log.write(log_line("versions", "message_dropped").add("receiver", "mesh"));
    }
}

void version_task::answerWithoutStore(const pending_lookup &lookup)
{
    if (lookup.reply.isValid()) {
        answer(lookup, std::nullopt, false);
        return;
    }
    m_relayClient.lookUp(lookup.lookup, boot_clock::now(), [this, lookup](const peer_stream_origin &found) {
        const bool isKnown = !found.version.isEmpty();
        answer(lookup, isKnown ? std::optional(stream_origin {found.service, found.version}) : std::nullopt, found.isCertain);
    });
}

void version_task::retryLater(std::string_view call, std::string_view cause)
{
    m_log.write(log_line("versions", "call_failed").add("call", call).add("cause", cause));
    m_isFailing = true;
    m_covered.insert(m_covered.end(), m_needStreams.begin(), m_needStreams.end());
    m_needStreams.clear();
    for (const pending_lookup &lookup : std::exchange(m_covered, {})) {
        answerWithoutStore(lookup);
    }
    m_next.start(deadline::after(boot_clock::now(), m_backoff.next(m_random)));
}

void version_task::publishRecorded()
{
    if (m_versions.recorded() == m_published) {
        return;
    }
    // A message that is dropped is sent again with the next read or write, or change of the registered versions.
    if (post(versions_recorded {m_versions.recorded()})) {
        m_published = m_versions.recorded();
    }
}

void version_task::writeStreams()
{
    if (m_streamWriter.isBusy() || !m_unwrittenStreams || (m_unwrittenStreams->empty() && !m_hasStreamRecord)) {
        return;
    }
    std::vector<open_stream> streams = *std::exchange(m_unwrittenStreams, std::nullopt);
    // A record without a value is dropped by the store.
    const std::string value = streams.empty() ? std::string() : encodeOpenStreams(streams);
    m_hasStreamRecord = true;
    m_to.calls.count(store_call::write);
    m_streamWriter.begin(
        m_dialect.write(store_topic::streams, m_settings.incarnation.value(), value),
        deadline::after(boot_clock::now(), streamWriteTimeout),
        response_limits::acknowledgement,
        [this, streams = std::move(streams)](const outcome<http_response> &response) {
            const auto written = response ? m_dialect.decodeWriteResult(response.value()) : outcome<void>(response.error());
            m_isStreamWriteFailing = !written;
            if (!written) {
                m_log.write(log_line("versions", "call_failed").add("call", "write_streams").add("cause", written.error().message));
                m_unwrittenStreams = m_unwrittenStreams ? std::move(m_unwrittenStreams) : std::optional(streams);
                relayStreams();
                m_streamRetry.start(deadline::after(boot_clock::now(), streamRetryDelay));
                return;
            }
            m_hasStreamRecord = !streams.empty();
            writeStreams();
        });
}

void version_task::relayStreams()
{
    if (m_areStreamsRelayed || m_unwrittenStreams->empty()) {
        return;
    }
    m_areStreamsRelayed = true;
    m_relayClient.record(encodeOpenStreams(*m_unwrittenStreams), boot_clock::now(), [this](bool isRecorded) {
        // Otherwise the next write that fails asks another instance. Relaying newer streams twice does no harm.
        m_areStreamsRelayed = m_areStreamsRelayed && isRecorded;
    });
}

void version_task::dropStreamRecords()
{
    if (m_obsoleteKeys.empty() || m_streamWriter.isBusy()) {
        return;
    }
    const std::string key = std::move(m_obsoleteKeys.back());
    m_obsoleteKeys.pop_back();
    m_to.calls.count(store_call::write);
    m_streamWriter.begin(m_dialect.write(store_topic::streams, key, {}),
                         deadline::after(boot_clock::now(), streamWriteTimeout),
                         response_limits::acknowledgement,
                         [this](const outcome<http_response> & /*response*/) { dropStreamRecords(); });
}

bool version_task::post(dispatch_message message)
{
    const bool isDelivered = m_to.dispatcher.post(std::move(message)) == post_result::delivered;
    if (!isDelivered) {
        m_log.write(log_line("versions", "message_dropped").add("receiver", "dispatcher"));
    }
    return isDelivered;
}

} // namespace burdockshelf
