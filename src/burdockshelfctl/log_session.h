#pragma once

#include "core/boot_clock.h"
#include "core/ids.h"
#include "core/outcome.h"
#include "core/random_source.h"
#include "core/socket_address.h"
#include "runtime/event_loop.h"
#include "state/log_replay.h"

#include <map>
#include <string>
#include <vector>

namespace burdockshelf
{

/// How long the steps of a log session may take.
struct log_session_limits
{
    /// One call to the platform.
    boot_clock::duration call = std::chrono::seconds(5);
    /// All tries to append one record.
    boot_clock::duration append = std::chrono::seconds(20);
    /// Pause between two tries, before jitter.
    boot_clock::duration pause = std::chrono::milliseconds(200);
};

/// What became of a record that the tool wanted to append.
enum class append_fate
{
    /// It was read back and replay accepted it.
    in_force,
    /// It was read back and replay rejected it.
    rejected,
    /// It may or may not be in the log.
    unknown,
    /// No try can have reached the platform, or the platform refused the record.
    not_appended,
};

struct append_report
{
    append_fate fate = append_fate::unknown;
    /// Offset of the copy that counts, when it was read back.
    log_offset offset {-1};
    record_rejection rejection = record_rejection::no_effect;
    /// What went wrong last, when the fate is unknown or the record was not appended.
    error cause;
};

/// The tool's view of the platform's log: reads it from the oldest record on, replays it, and appends records. Blocks its caller and runs
/// the loop meanwhile.
class log_session
{
public:
    log_session(event_loop &loop, random_source &random, socket_address platform, log_session_limits limits = {});

    /// Reads on to the log's present end.
    outcome<void> catchUp();
    /// Appends a record under a new id, repeats it under the same id after a lost reply, and reads it back.
    append_report append(const log_record &record);

    state_view_ptr view() const;

private:
    /// One try to append.
    struct append_try
    {
        outcome<void> result;
        /// True when the record cannot have been stored by this try.
        bool isWithoutEffect = false;
        /// True when a further try would end the same way.
        bool isFinal = false;
    };

    append_try tryAppend(const record_id &id, const log_record &record);
    /// Reads on and looks for the record; unknown when it has not been read.
    append_report findFate(const record_id &id);
    outcome<void> readBatch();
    void keepVerdicts(const std::vector<record_verdict> &verdicts);

    event_loop &m_loop;
    random_source &m_random;
    socket_address m_platform;
    log_session_limits m_limits;
    log_replay m_replay;
    log_offset m_next;
    log_offset m_head;
    /// Verdicts on records that were appended by this session, by their ids.
    std::multimap<record_id, record_verdict> m_verdicts;
    std::string m_idPrefix;
};

} // namespace burdockshelf
