#include "forwarding/prompt_quarantine.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// Crashes that convict a part for which no endpoint is known to have generated output.
constexpr std::size_t minCrashes = 3;
// A part that many requests share is often present at crashes for other reasons, such as the loss of several endpoints at once. It takes
// this many crashes at separate moments, with no survival in between.
constexpr std::size_t minSeparateCrashes = 6;
constexpr milliseconds minCrashSeparation {250};
// Crashes from which a request with the part is not repeated.
constexpr std::size_t minCrashesToSuspect = 2;
constexpr std::size_t minPrompts = 2;
// A quarantine ends this long after the last crash, because the model may have been fixed.
constexpr seconds quarantineTime {60};
// Crashes are remembered for longer, so that one more is enough to renew the quarantine.
constexpr seconds evidenceLifetime {300};
constexpr seconds familiarisationTime {10};
// Bounds of a report, which every other instance keeps in memory.
constexpr std::size_t maxCrashes = 16;
constexpr std::size_t maxSuspectsPerCrash = 4;
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

void addSuspect(endpoint_crash &crash, const crash_suspect &suspect)
{
    const bool isKnown = std::any_of(
        crash.suspects.begin(), crash.suspects.end(), [&](const crash_suspect &known) { return known.request == suspect.request; });
    if (isKnown || crash.suspects.size() >= maxSuspectsPerCrash) {
        return;
    }
    crash.suspects.push_back(suspect);
    std::vector<prompt_part_id> &shared = crash.suspects.back().parts.shared;
    shared.resize(std::min(shared.size(), maxPartsPerSuspect));
}

std::size_t countSeparate(std::vector<instant> times)
{
    std::sort(times.begin(), times.end());
    std::size_t count = 0;
    instant last;
    for (const instant time : times) {
        if (count == 0 || time - last >= minCrashSeparation) {
            ++count;
            last = time;
        }
    }
    return count;
}

} // namespace

prompt_quarantine::prompt_quarantine(instance_id self, instant startedAt)
    : m_self(std::move(self))
    , m_unfamiliarUntil(deadline::after(startedAt, familiarisationTime))
{
}

void prompt_quarantine::recordLoss(const endpoint_run &run, const crash_suspect &suspect, instant now)
{
    if (suspect.parts.shared.empty()) {
        return;
    }
    addOwnCrash(run, suspect, now);
    m_hasOwnObservations = true;
    m_isReportChanged = true;
    review(now);
}

void prompt_quarantine::recordSurvival(const prompt_parts &parts, instant now)
{
    bool isUnderSuspicion = false;
    for (const prompt_part_id &part : parts.shared) {
        m_survivals.record(part, now);
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
        // After its first own observation this process reads back what it has published itself, possibly with parts cleared since.
        if (!m_hasOwnObservations) {
            m_own.crashes = std::move(report.crashes);
        }
    } else if (m_reports.count(reporter) > 0 || m_reports.size() < maxReporters) {
        m_reports[reporter] = std::move(report);
    }
    review(now);
}

void prompt_quarantine::review(instant now)
{
    dropExpired(now);
    dropClearedParts();
    crashes_by_run unexplained = mergeCrashes();
    std::map<prompt_part_id, quarantined_part> quarantined;
    if (!m_unfamiliarUntil.hasPassed(now)) {
        for (const auto &[reporter, report] : m_reports) {
            for (const quarantined_part &reported : report.quarantined) {
                const bool hasSurvived = m_survivals.lastSurvival(reported.part).has_value();
                if (!hasSurvived && !reported.until.hasPassed(now)) {
                    quarantined.emplace(reported.part, quarantined_part {reported.part, reported.until, {}});
                }
            }
        }
    }
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

bool prompt_quarantine::isSuspect(const prompt_parts &parts) const
{
    return std::any_of(parts.shared.begin(), parts.shared.end(), [this](const prompt_part_id &part) {
        const auto found = m_evidence.find(part);
        const bool hasCrashed = found != m_evidence.end() && found->second.crashTimes.size() >= minCrashesToSuspect;
        return m_quarantined.count(part) > 0 || (hasCrashed && !m_survivals.lastSurvival(part));
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

void prompt_quarantine::addOwnCrash(const endpoint_run &run, const crash_suspect &suspect, instant now)
{
    std::vector<endpoint_crash> &crashes = m_own.crashes;
    const auto known = std::find_if(crashes.begin(), crashes.end(), [&](const endpoint_crash &crash) { return crash.run == run; });
    if (known != crashes.end()) {
        addSuspect(*known, suspect);
        return;
    }
    if (crashes.size() >= maxCrashes) {
        // A flood of other crashes must not displace the evidence against a quarantined part.
        const auto leastUseful = std::find_if(crashes.begin(), crashes.end(), [this](const endpoint_crash &crash) {
            return std::none_of(
                m_quarantined.begin(), m_quarantined.end(), [&](const auto &entry) { return contains(crash, entry.first); });
        });
        crashes.erase(leastUseful == crashes.end() ? crashes.begin() : leastUseful);
    }
    crashes.push_back({run, now, {}});
    addSuspect(crashes.back(), suspect);
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
    std::erase_if(m_reports, [](const auto &entry) { return entry.second.crashes.empty() && entry.second.quarantined.empty(); });
}

void prompt_quarantine::dropClearedParts()
{
    for (endpoint_crash &crash : m_own.crashes) {
        for (crash_suspect &suspect : crash.suspects) {
            const std::size_t dropped = std::erase_if(suspect.parts.shared, [&](const prompt_part_id &part) {
                const auto survivedAt = m_survivals.lastSurvival(part);
                return survivedAt && *survivedAt > crash.at;
            });
            m_isReportChanged = m_isReportChanged || dropped > 0;
        }
        std::erase_if(crash.suspects, [](const crash_suspect &suspect) { return suspect.parts.shared.empty(); });
    }
    std::erase_if(m_own.crashes, [](const endpoint_crash &crash) { return crash.suspects.empty(); });
}

prompt_quarantine::crashes_by_run prompt_quarantine::mergeCrashes() const
{
    crashes_by_run merged;
    const auto add = [&](const endpoint_crash &crash) {
        const auto [entry, isNew] = merged.emplace(crash.run, crash);
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

prompt_quarantine::evidence_by_part prompt_quarantine::collectEvidence(const crashes_by_run &crashes) const
{
    evidence_by_part collected;
    for (const auto &[run, crash] : crashes) {
        std::set<prompt_part_id> counted;
        for (const crash_suspect &suspect : crash.suspects) {
            for (std::size_t position = 0; position < suspect.parts.shared.size(); ++position) {
                const prompt_part_id &part = suspect.parts.shared[position];
                const auto survivedAt = m_survivals.lastSurvival(part);
                if (survivedAt && *survivedAt > crash.at) {
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

bool prompt_quarantine::isFamiliar(const prompt_part_id &part, instant now) const
{
    return !m_unfamiliarUntil.hasPassed(now) || m_survivals.lastSurvival(part).has_value();
}

bool prompt_quarantine::isConvicted(const prompt_part_id &part, const part_evidence &evidence, instant now) const
{
    if (evidence.prompts.size() < minPrompts) {
        return false;
    }
    return isFamiliar(part, now) ? countSeparate(evidence.crashTimes) >= minSeparateCrashes : evidence.crashTimes.size() >= minCrashes;
}

std::optional<prompt_part_id> prompt_quarantine::selectPart(const evidence_by_part &evidence, instant now) const
{
    const prompt_part_id *selected = nullptr;
    std::tuple<bool, std::size_t, std::size_t> selectedRank;
    for (const auto &[part, against] : evidence) {
        if (!isConvicted(part, against, now)) {
            continue;
        }
        // Of parts that occur in the same prompts, a later one is contained in fewer prompts than an earlier one.
        const std::tuple rank(!isFamiliar(part, now), against.crashTimes.size(), against.position);
        if (selected == nullptr || rank > selectedRank) {
            selected = &part;
            selectedRank = rank;
        }
    }
    return selected == nullptr ? std::nullopt : std::optional(*selected);
}

quarantined_part prompt_quarantine::quarantine(const prompt_part_id &part, crashes_by_run &unexplained)
{
    quarantined_part result {part, deadline(), {}};
    for (auto crash = unexplained.begin(); crash != unexplained.end();) {
        if (!contains(crash->second, part)) {
            ++crash;
            continue;
        }
        result.until = std::max(result.until, deadline::after(crash->second.at, quarantineTime));
        result.crashes.push_back(std::move(crash->second));
        // The crash says nothing against the other requests that were at the endpoint.
        crash = unexplained.erase(crash);
    }
    return result;
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
