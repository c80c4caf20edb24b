#pragma once

#include "core/random_source.h"
#include "forwarding/recorded_versions.h"
#include "gateway/dialects.h"
#include "gateway/gateway_messages.h"
#include "gateway/relayed_streams_writer.h"
#include "gateway/serial_http_client.h"
#include "gateway/store_call_counter.h"
#include "gateway/version_messages.h"
#include "gateway/version_relay_client.h"
#include "logging/log_writer_task.h"
#include "runtime/backoff.h"
#include "runtime/task.h"
#include "runtime/timer.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace burdockshelf
{

struct version_task_settings
{
    socket_address store;
    instance_id instance;
    /// The key under which this process records its open streams.
    incarnation_id incarnation;
};

/// Tasks to which version_task sends messages.
struct version_addresses
{
    address<dispatch_message> dispatcher;
    address<mesh_supervisor_message> mesh;
    store_call_counter calls;
};

/// Keeps the records of versions and of open streams in the platform's store, and finds the origins of streams there that this instance has
/// not seen. Reads only when something is asked or has to be written; see recorded_versions. While the store does not respond to this
/// instance, others read and write for it.
class version_task : public task<version_message>
{
public:
    version_task(event_loop &loop,
                 std::shared_ptr<mailbox<version_message>> box,
                 version_task_settings settings,
                 const store_dialect &dialect,
                 version_addresses to,
                 event_log log,
                 random_source random);

    outcome<void> start() override;

private:
    /// A question for the origin of a stream, of the dispatcher or of another instance.
    struct pending_lookup
    {
        stream_lookup lookup;
        /// Set for another instance.
        sink<peer_message> reply;
    };

    void handle(version_message &&message) override;
    void apply(versions_registered &&registered);
    void apply(open_streams &&open);
    void apply(stream_lookup &&lookup);
    void apply(const store_restored &restored);
    void apply(const holders_listed &listed);
    void apply(peer_message_received &&received);
    void apply(const peer_response &response);

    void add(pending_lookup &&lookup);
    /// Makes the next call that is needed, unless one is running.
    void proceed();
    /// Reads the records for the lookups that have arrived.
    void beginRead();
    void readVersions();
    /// Notes the era of a response. Returns true if the store has been restored since the last read began.
    bool noteEra(const outcome<http_response> &response);
    void handleVersionsPage(const outcome<http_response> &response);
    void finishVersions();
    /// After a read or write of the records: answers lookups, reads the open streams that others need, or goes on.
    void continueAfterVersions();
    void writeRecord(const version_record &record);
    void handleWritten(const version_record &record, const outcome<http_response> &response);
    void beginStreams();
    void readStreams();
    void handleStreamsPage(const outcome<http_response> &response);
    /// Answers the lookups for which the records of versions are enough; the others need the open streams.
    void answerFromVersions();
    void answerFromStreams();
    void answer(const pending_lookup &lookup, const std::optional<stream_origin> &origin, bool isCertain);
    /// The store does not respond: another instance is asked for a lookup of this one.
    void answerWithoutStore(const pending_lookup &lookup);
    /// A read or write has failed: the lookups that waited for it are answered, and the work is tried again later.
    void retryLater(std::string_view call, std::string_view cause);
    void publishRecorded();
    void writeStreams();
    /// Lets another instance write the open streams, unless one has done so.
    void relayStreams();
    /// Drops the records of open streams that were read, one after the other. No version is mixed any more, so that they are obsolete; the
    /// processes that wrote them may have ended.
    void dropStreamRecords();
    /// Returns whether the message was delivered.
    bool post(dispatch_message message);

    version_task_settings m_settings;
    const store_dialect &m_dialect;
    version_addresses m_to;
    event_log m_log;
    random_source m_random;
    serial_http_client m_call;
    serial_http_client m_streamWriter;
    timer m_next;
    timer m_streamRetry;
    backoff m_backoff;
    recorded_versions m_versions;
    /// The last call has failed, and the next one is being waited for.
    bool m_isFailing = false;
    /// When a record is written that has become due; unset while none is due.
    std::optional<deadline> m_writeAt;
    /// The records have to be read before anything is written.
    bool m_mustRead = true;
    /// The era of the store's last response; unset before the first one that states it.
    std::optional<store_era> m_era;
    /// The records have not been read since the store was restored.
    bool m_isRestored = false;
    /// End of the topic of versions when it was last read; a write is valid only while the topic ends there.
    store_offset m_end;
    service_versions m_published;
    std::string m_afterKey;
    service_versions m_page;
    std::map<attempt_id, stream_origin> m_streamsRead;
    /// Keys of the records of open streams that are to be dropped.
    std::vector<std::string> m_obsoleteKeys;
    bool m_isDropping = false;
    /// Lookups that wait for the next read of the records, for the present one, and for the open streams.
    std::vector<pending_lookup> m_waiting;
    std::vector<pending_lookup> m_covered;
    std::vector<pending_lookup> m_needStreams;
    /// The open streams to be written; unset when the store has them.
    std::optional<std::vector<open_stream>> m_unwrittenStreams;
    bool m_hasStreamRecord = false;
    /// The last write of the open streams has failed.
    bool m_isStreamWriteFailing = false;
    /// Another instance is writing or has written the newest open streams.
    bool m_areStreamsRelayed = false;
    version_relay_client m_relayClient;
    relayed_streams_writer m_relayedWriter;
};

} // namespace burdockshelf
