#include "forwarding/prompt_quarantine.h"

#include "core/digest.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// Separate crashes after which a part is refused if no endpoint is known to have survived it. Connections that are lost together may be the
// doing of the network.
constexpr std::size_t minCrashes = 3;
constexpr milliseconds minCrashSeparation {100};
// A part that many requests share is often present at crashes for other reasons. If it is known to have survived, it takes this many.
constexpr std::size_t minCrashesOfSurvivor = 6;
constexpr milliseconds minCrashSeparationOfSurvivor {250};
// Crashes from which a request with the part is not repeated.
constexpr std::size_t minCrashesToSuspect = 2;
constexpr std::size_t minPrompts = 2;
// A quarantine ends this long after the last crash, because the model may have been fixed, and at each instance by up to the spread later.
constexpr seconds quarantineTime {60};
constexpr milliseconds quarantineSpread {30000};
// Crashes are remembered for longer, so that one more is enough to renew the quarantine.
constexpr seconds evidenceLifetime {300};
constexpr seconds warmUpTime {10};
// Bounds of a report, which every other instance keeps in memory.
constexpr std::size_t maxCrashes = 16;
constexpr std::size_t maxSuspectsPerCrash = 8;
constexpr std::size_t maxPartsPerSuspect = 16;
constexpr std::size_t maxReporters = 1024;

bool contains(const prompt_parts &parts, const prompt_part_id &part)
{
    return std::find(parts.shared.begin(), parts.shared.end(), part) != parts.shared.end();
}

bool contains(const endpoint_crash &crash, const prompt_part_id &part)
{
    return std::any_of(
        crash.suspects.begin(), crash.suspects.end(), [&](const crash_suspect &suspect) { return contains(suspect.parts, part); });
}

// Returns whether the suspect is new.
bool addSuspect(endpoint_crash &crash, const crash_suspect &suspect)
{
    const bool isKnown = std::any_of(
        crash.suspects.begin(), crash.suspects.end(), [&](const crash_suspect &known) { return known.request == suspect.request; });
    if (isKnown || crash.suspects.size() >= maxSuspectsPerCrash) {
        return false;
    }
    crash.suspects.push_back(suspect);
    std::vector<prompt_part_id> &shared = crash.suspects.back().parts.shared;
    shared.resize(std::min(shared.size(), maxPartsPerSuspect));
    return true;
}

std::size_t countSeparate(std::vector<instant> times, milliseconds separation)
{
    std::sort(times.begin(), times.end());
    std::size_t count = 0;
    instant last;
    for (const instant time : times) {
        if (count == 0 || time - last >= separation) {
            ++count;
            last = time;
        }
    }
    return count;
}

} // namespace

prompt_quarantine::prompt_quarantine(instance_id self, instant startedAt)
    : m_self(std::move(self))
    , m_warmUpUntil(deadline::after(startedAt, warmUpTime))
{
}

void prompt_quarantine::recordLoss(const endpoint_process &process, const crash_suspect &suspect, instant now)
{
    if (suspect.parts.shared.empty()) {
        return;
    }
    m_hasOwnReport = true;
    if (addOwnCrash(process, suspect, now)) {
        m_isReportChanged = true;
        review(now);
    }
}

void prompt_quarantine::recordSurvival(const prompt_parts &parts, instant outputBeganAt, instant now)
{
    bool isUnderSuspicion = false;
    for (const prompt_part_id &part : parts.shared) {
        m_survivals.record(part, outputBeganAt);
        isUnderSuspicion = isUnderSuspicion || m_evidence.count(part) > 0 || m_quarantined.count(part) > 0;
    }
    if (isUnderSuspicion) {
        review(now);
    }
}

void prompt_quarantine::setReport(const instance_id &reporter, crash_report report, instant now)
{
    report.crashes.resize(std::min(report.crashes.size(), maxCrashes));
    report.quarantined.resize(std::min(report.quarantined.size(), maxCrashes));
    if (reporter == m_self) {
        if (std::exchange(m_hasOwnReport, true)) {
            return;
        }
        adoptPredecessor(std::move(report));
        review(now);
        return;
    }
    const auto known = m_reports.find(reporter);
    if (known == m_reports.end() && !hasRoomForReporter()) {
        return;
    }
    if (known != m_reports.end()) {
        if (known->second.writer == report.writer && report.sequence < known->second.sequence) {
            return;
        }
        // A report that is read again must not make its crashes younger.
        for (endpoint_crash &crash : report.crashes) {
            for (const endpoint_crash &earlier : known->second.crashes) {
                crash.at = earlier.process == crash.process ? std::min(crash.at, earlier.at) : crash.at;
            }
        }
    }
    m_reports[reporter] = std::move(report);
    review(now);
}

bool prompt_quarantine::hasRoomForReporter()
{
    if (m_reports.size() >= maxReporters) {
        // An empty report is kept only for its sequence number.
        std::erase_if(m_reports, [](const auto &entry) { return entry.second.crashes.empty() && entry.second.quarantined.empty(); });
    }
    return m_reports.size() < maxReporters;
}

void prompt_quarantine::adoptPredecessor(crash_report report)
{
    m_own.crashes = report.crashes;
    // The verdicts are kept like those of another instance; the crashes are this instance's own now.
    report.crashes.clear();
    m_reports[m_self] = std::move(report);
}

std::map<prompt_part_id, quarantined_part> prompt_quarantine::reportedVerdicts(instant now) const
{
    std::map<prompt_part_id, quarantined_part> verdicts;
    if (m_warmUpUntil.hasPassed(now)) {
        return verdicts;
    }
    for (const auto &[reporter, report] : m_reports) {
        for (const quarantined_part &reported : report.quarantined) {
            if (!m_survivals.lastSurvival(reported.part) && !reported.until.hasPassed(now)) {
                verdicts.emplace(reported.part, quarantined_part {reported.part, reported.until, {}});
            }
        }
    }
    return verdicts;
}

void prompt_quarantine::review(instant now)
{
    dropExpired(now);
    dropClearedParts();
    crashes_by_process unexplained = mergeCrashes();
    std::map<prompt_part_id, quarantined_part> quarantined = reportedVerdicts(now);
    evidence_by_part evidence = collectEvidence(unexplained);
    for (auto part = selectPart(evidence, now); part; part = selectPart(evidence, now)) {
        quarantined.insert_or_assign(*part, quarantine(*part, unexplained));
        evidence = collectEvidence(unexplained);
    }
    m_evidence = std::move(evidence);
    recordChanges(std::exchange(m_quarantined, std::move(quarantined)), now);
}

const quarantined_part *prompt_quarantine::find(const prompt_parts &parts, instant now) const
{
    if (m_quarantined.empty()) {
        return nullptr;
    }
    for (const prompt_part_id &part : parts.shared) {
        const auto found = m_quarantined.find(part);
        if (found != m_quarantined.end() && !found->second.until.hasPassed(now)) {
            return &found->second;
        }
    }
    return nullptr;
}

bool prompt_quarantine::isSuspect(const prompt_parts &parts, instant now) const
{
    return std::any_of(parts.shared.begin(), parts.shared.end(), [&](const prompt_part_id &part) {
        if (m_quarantined.count(part) > 0) {
            return true;
        }
        const auto found = m_evidence.find(part);
        return found != m_evidence.end() && !mayHaveSurvived(part, now) && found->second.prompts.size() >= minPrompts
            && countSeparate(found->second.crashTimes, minCrashSeparation) >= minCrashesToSuspect;
    });
}

const crash_report &prompt_quarantine::report() const
{
    return m_own;
}

bool prompt_quarantine::takeReportChanged()
{
    return std::exchange(m_isReportChanged, false);
}

std::vector<quarantine_change> prompt_quarantine::takeChanges()
{
    return std::exchange(m_changes, {});
}

bool prompt_quarantine::addOwnCrash(const endpoint_process &process, const crash_suspect &suspect, instant now)
{
    std::vector<endpoint_crash> &crashes = m_own.crashes;
    const auto known = std::find_if(crashes.begin(), crashes.end(), [&](const endpoint_crash &crash) { return crash.process == process; });
    if (known != crashes.end()) {
        return addSuspect(*known, suspect);
    }
    if (crashes.size() >= maxCrashes) {
        // A flood of other crashes must not displace the evidence against a quarantined part.
        const auto leastUseful = std::find_if(crashes.begin(), crashes.end(), [this](const endpoint_crash &crash) {
            return std::none_of(
                m_quarantined.begin(), m_quarantined.end(), [&](const auto &entry) { return contains(crash, entry.first); });
        });
        crashes.erase(leastUseful == crashes.end() ? crashes.begin() : leastUseful);
    }
    crashes.push_back({process, now, {}});
    return addSuspect(crashes.back(), suspect);
}

void prompt_quarantine::dropExpired(instant now)
{
    const auto hasExpired = [now](const endpoint_crash &crash) {
        return now - crash.at > evidenceLifetime;
    };
    m_isReportChanged = std::erase_if(m_own.crashes, hasExpired) > 0 || m_isReportChanged;
    for (auto &[reporter, report] : m_reports) {
        std::erase_if(report.crashes, hasExpired);
    }
}

void prompt_quarantine::dropClearedParts()
{
    for (endpoint_crash &crash : m_own.crashes) {
        for (crash_suspect &suspect : crash.suspects) {
            const std::size_t dropped = std::erase_if(suspect.parts.shared, [&](const prompt_part_id &part) {
                const auto survivedAt = m_survivals.lastSurvival(part);
                return survivedAt && *survivedAt >= crash.at;
            });
            m_isReportChanged = m_isReportChanged || dropped > 0;
        }
        std::erase_if(crash.suspects, [](const crash_suspect &suspect) { return suspect.parts.shared.empty(); });
    }
    std::erase_if(m_own.crashes, [](const endpoint_crash &crash) { return crash.suspects.empty(); });
}

prompt_quarantine::crashes_by_process prompt_quarantine::mergeCrashes() const
{
    crashes_by_process merged;
    const auto add = [&](const endpoint_crash &crash) {
        const auto [entry, isNew] = merged.emplace(crash.process, crash);
        if (!isNew) {
            entry->second.at = std::min(entry->second.at, crash.at);
            entry->second.suspects.insert(entry->second.suspects.end(), crash.suspects.begin(), crash.suspects.end());
        }
    };
    std::for_each(m_own.crashes.begin(), m_own.crashes.end(), add);
    for (const auto &[reporter, report] : m_reports) {
        std::for_each(report.crashes.begin(), report.crashes.end(), add);
    }
    return merged;
}

prompt_quarantine::evidence_by_part prompt_quarantine::collectEvidence(const crashes_by_process &crashes) const
{
    evidence_by_part collected;
    for (const auto &[process, crash] : crashes) {
        std::set<prompt_part_id> counted;
        for (const crash_suspect &suspect : crash.suspects) {
            for (std::size_t position = 0; position < suspect.parts.shared.size(); ++position) {
                const prompt_part_id &part = suspect.parts.shared[position];
                const auto survivedAt = m_survivals.lastSurvival(part);
                if (survivedAt && *survivedAt >= crash.at) {
                    continue;
                }
                part_evidence &evidence = collected[part];
                evidence.prompts.insert(suspect.parts.own);
                evidence.position = std::max(evidence.position, position);
                if (counted.insert(part).second) {
                    evidence.crashTimes.push_back(crash.at);
                }
            }
        }
    }
    return collected;
}

bool prompt_quarantine::mayHaveSurvived(const prompt_part_id &part, instant now) const
{
    return !m_warmUpUntil.hasPassed(now) || m_survivals.lastSurvival(part).has_value();
}

bool prompt_quarantine::hasEnoughEvidence(const prompt_part_id &part, const part_evidence &evidence, instant now) const
{
    if (evidence.prompts.size() < minPrompts) {
        return false;
    }
    return mayHaveSurvived(part, now) ? countSeparate(evidence.crashTimes, minCrashSeparationOfSurvivor) >= minCrashesOfSurvivor
                                      : countSeparate(evidence.crashTimes, minCrashSeparation) >= minCrashes;
}

std::optional<prompt_part_id> prompt_quarantine::selectPart(const evidence_by_part &evidence, instant now) const
{
    const prompt_part_id *selected = nullptr;
    std::tuple<bool, std::size_t, std::size_t> selectedRank;
    for (const auto &[part, against] : evidence) {
        if (!hasEnoughEvidence(part, against, now)) {
            continue;
        }
        // Of parts that occur in the same prompts, a later one is contained in fewer prompts than an earlier one.
        const std::tuple rank(!mayHaveSurvived(part, now), against.crashTimes.size(), against.position);
        if (selected == nullptr || rank > selectedRank) {
            selected = &part;
            selectedRank = rank;
        }
    }
    return selected == nullptr ? std::nullopt : std::optional(*selected);
}

quarantined_part prompt_quarantine::quarantine(const prompt_part_id &part, crashes_by_process &unexplained) const
{
    quarantined_part result {part, deadline(), {}};
    for (auto crash = unexplained.begin(); crash != unexplained.end();) {
        if (!contains(crash->second, part)) {
            ++crash;
            continue;
        }
        result.until = std::max(result.until, quarantineEnd(part, crash->second.at));
        result.crashes.push_back(std::move(crash->second));
        // The crash says nothing against the other requests that were at the endpoint.
        crash = unexplained.erase(crash);
    }
    return result;
}

deadline prompt_quarantine::quarantineEnd(const prompt_part_id &part, instant lastCrashAt) const
{
    const auto spread = static_cast<std::int64_t>(stableHash(part.value() + m_self.value()) % quarantineSpread.count());
    return deadline::after(lastCrashAt, quarantineTime + milliseconds(spread));
}

void prompt_quarantine::recordChanges(const std::map<prompt_part_id, quarantined_part> &before, instant now)
{
    std::vector<quarantined_part> active;
    for (const auto &[part, entry] : m_quarantined) {
        if (entry.until.hasPassed(now)) {
            continue;
        }
        active.push_back({part, entry.until, {}});
        const bool wasActive = std::any_of(m_own.quarantined.begin(),
                                           m_own.quarantined.end(),
                                           [&, name = part](const quarantined_part &known) { return known.part == name; });
        if (!wasActive) {
            m_changes.push_back({entry, true});
            m_isReportChanged = true;
        }
    }
    for (const quarantined_part &known : m_own.quarantined) {
        const auto current = m_quarantined.find(known.part);
        if (current == m_quarantined.end() || current->second.until.hasPassed(now)) {
            const auto earlier = before.find(known.part);
            m_changes.push_back({earlier == before.end() ? known : earlier->second, false});
            m_isReportChanged = true;
        }
    }
    m_own.quarantined = std::move(active);
}

} // namespace burdockshelf
