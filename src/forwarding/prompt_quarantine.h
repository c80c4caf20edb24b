#pragma once

#include "forwarding/crash_report.h"
#include "forwarding/survival_history.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace burdockshelf
{

/// A prompt part that is held responsible for crashes of endpoints. Requests with it are refused until the deadline, after which a further
/// crash renews the quarantine at once.
struct quarantined_part
{
    prompt_part_id part;
    deadline until;
    /// The crashes that decided; empty when the verdict was taken over from another instance.
    std::vector<endpoint_crash> crashes;
};

/// What an instance tells the others: the crashes that it has seen and the parts that it refuses.
struct crash_report
{
    incarnation_id writer;
    /// Rises with every report of the same writer.
    std::int64_t sequence = 0;
    std::vector<endpoint_crash> crashes;
    std::vector<quarantined_part> quarantined;
};

/// A quarantine that has begun or ended.
struct quarantine_change
{
    quarantined_part subject;
    bool hasBegun = false;
};

/// Decides which prompt parts crash the endpoints that generate output for them (queries of death), and must therefore not reach further
/// endpoints. Every instance applies the same rules to its own observations and to the reports of the others. A part comes under suspicion
/// when an endpoint crashes while it begins to generate output for a prompt with that part, and is cleared when an endpoint generates
/// output for it and stays alive. Does no I/O: time is passed in.
class prompt_quarantine
{
public:
    /// How long an endpoint must stay alive after the first output of a request for the request's parts to be cleared.
    static constexpr std::chrono::milliseconds minSurvivalTime {400};

    prompt_quarantine(instance_id self, instant startedAt);

    /// The connection to an endpoint was lost before the request's output had lasted for minSurvivalTime.
    void recordLoss(const endpoint_process &process, const crash_suspect &suspect, instant now);
    /// An endpoint has completed the request's output, or has been generating it for minSurvivalTime, since it began at the given time.
    void recordSurvival(const prompt_parts &parts, instant outputBeganAt, instant now);
    /// Replaces what another instance has reported before, unless the report is older. The first report with this instance's own id was
    /// written by its process before the last start and is adopted; later ones are its own and are ignored.
    void setReport(const instance_id &reporter, crash_report report, instant now);
    /// Applies the deadlines that have passed.
    void review(instant now);

    /// The quarantined part that a prompt contains; null when there is none.
    const quarantined_part *find(const prompt_parts &parts, instant now) const;
    /// True when a prompt contains a part that is suspected of two crashes or more. Such a request must not be repeated after a loss.
    bool isSuspect(const prompt_parts &parts, instant now) const;

    /// This instance's report to the others; the caller sets the writer and the sequence.
    const crash_report &report() const;
    /// True once after each change of report().
    bool takeReportChanged();
    std::vector<quarantine_change> takeChanges();

private:
    /// The evidence against one part.
    struct part_evidence
    {
        std::vector<instant> crashTimes;
        /// Distinct prompts among the suspects. A single prompt that its caller retries is not enough.
        std::set<prompt_part_id> prompts;
        /// Position of the part in its prompt, the last one of several.
        std::size_t position = 0;
    };

    using evidence_by_part = std::map<prompt_part_id, part_evidence>;
    using crashes_by_process = std::map<endpoint_process, endpoint_crash>;

    /// Returns whether the crash or the suspect is new.
    bool addOwnCrash(const endpoint_process &process, const crash_suspect &suspect, instant now);
    void dropExpired(instant now);
    void dropClearedParts();
    crashes_by_process mergeCrashes() const;
    evidence_by_part collectEvidence(const crashes_by_process &crashes) const;
    /// True when output is known to have survived for the part, or when this instance has not run for long enough to know.
    bool mayHaveSurvived(const prompt_part_id &part, instant now) const;
    bool hasEnoughEvidence(const prompt_part_id &part, const part_evidence &evidence, instant now) const;
    bool hasRoomForReporter();
    void adoptPredecessor(crash_report report);
    /// The verdicts of the other instances that this one relies on while it has just started.
    std::map<prompt_part_id, quarantined_part> reportedVerdicts(instant now) const;
    /// The part that explains the crashes best among those with enough evidence; nothing when there is none.
    std::optional<prompt_part_id> selectPart(const evidence_by_part &evidence, instant now) const;
    quarantined_part quarantine(const prompt_part_id &part, crashes_by_process &unexplained) const;
    /// When this instance tries the part again. The instances do so one after the other, so that a part which still crashes endpoints does
    /// so once.
    deadline quarantineEnd(const prompt_part_id &part, instant lastCrashAt) const;
    void recordChanges(const std::map<prompt_part_id, quarantined_part> &before, instant now);

    instance_id m_self;
    /// Before this, the instance has seen too little traffic to tell a rare part from a common one.
    deadline m_warmUpUntil;
    survival_history m_survivals;
    crash_report m_own;
    std::map<instance_id, crash_report> m_reports;
    /// Includes parts whose quarantine has ended while the crashes are remembered.
    std::map<prompt_part_id, quarantined_part> m_quarantined;
    evidence_by_part m_evidence;
    std::vector<quarantine_change> m_changes;
    bool m_hasOwnReport = false;
    bool m_isReportChanged = false;
};

} // namespace burdockshelf
