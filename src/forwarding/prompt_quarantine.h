#pragma once

#include "forwarding/crash_report.h"
#include "forwarding/survival_history.h"

#include <cstddef>
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
    void recordLoss(const endpoint_run &run, const crash_suspect &suspect, instant now);
    /// An endpoint has completed the request's output, or has been generating it for minSurvivalTime.
    void recordSurvival(const prompt_parts &parts, instant now);
    /// Replaces what an instance has reported before. A report of this instance itself was written before its restart.
    void setReport(const instance_id &reporter, crash_report report, instant now);
    /// Applies the deadlines that have passed.
    void review(instant now);

    /// The quarantined part that a prompt contains; null when there is none.
    const quarantined_part *find(const prompt_parts &parts, instant now) const;
    /// True when a prompt contains a part that is suspected of two crashes or more. Such a request must not be repeated after a loss.
    bool isSuspect(const prompt_parts &parts) const;

    /// This instance's report to the others.
    const crash_report &report() const;
    /// True once after each change of report().
    bool takeReportChanged();
    std::vector<quarantine_change> takeChanges();

private:
    /// The evidence against one part.
    struct part_evidence
    {
        std::vector<instant> crashTimes;
        /// Distinct prompts among the suspects. A single prompt that its caller retries does not convict the parts that it shares.
        std::set<prompt_part_id> prompts;
        /// Position of the part in its prompt, the last one of several.
        std::size_t position = 0;
    };

    using evidence_by_part = std::map<prompt_part_id, part_evidence>;
    using crashes_by_run = std::map<endpoint_run, endpoint_crash>;

    void addOwnCrash(const endpoint_run &run, const crash_suspect &suspect, instant now);
    void dropExpired(instant now);
    void dropClearedParts();
    crashes_by_run mergeCrashes() const;
    evidence_by_part collectEvidence(const crashes_by_run &crashes) const;
    bool isFamiliar(const prompt_part_id &part, instant now) const;
    bool isConvicted(const prompt_part_id &part, const part_evidence &evidence, instant now) const;
    /// The part that explains the crashes best among those with enough evidence; nothing when there is none.
    std::optional<prompt_part_id> selectPart(const evidence_by_part &evidence, instant now) const;
    static quarantined_part quarantine(const prompt_part_id &part, crashes_by_run &unexplained);
    void recordChanges(const std::map<prompt_part_id, quarantined_part> &before, instant now);

    instance_id m_self;
    /// Before this, the instance has seen too little traffic to tell a rare part from a common one.
    deadline m_unfamiliarUntil;
    survival_history m_survivals;
    crash_report m_own;
    std::map<instance_id, crash_report> m_reports;
    /// Includes parts whose quarantine has ended while the crashes are remembered.
    std::map<prompt_part_id, quarantined_part> m_quarantined;
    evidence_by_part m_evidence;
    std::vector<quarantine_change> m_changes;
    bool m_hasOwnObservations = false;
    bool m_isReportChanged = false;
};

} // namespace burdockshelf
