#include "burdockshelfctl/request_story.h"

#include <algorithm>
#include <sstream>

#include <nlohmann/json.hpp>

namespace burdockshelf
{

namespace
{

/// An event that changes what an instance believes.
struct belief_event
{
    std::string_view event;
    /// Lines of one subject replace each other.
    std::string_view subject;
    /// Value that tells several subjects of this kind apart; empty when there is only one.
    std::string_view distinctBy;
};

constexpr std::string_view endpointValue = "endpoint";
constexpr std::string_view promptPartValue = "prompt_part";
constexpr std::string_view startEvent = "start";
/// What an endpoint has stated in a response about the further requests that it wants.
constexpr std::string_view noticeSubject = "notice";

constexpr belief_event beliefEvents[] = {
    {startEvent, "process", ""},
    {"plan_in_force", "plan", ""},
    {"store_lost", "store", ""},
    {"store_regained", "store", ""},
    {"instances_changed", "instances", ""},
    {"evacuations_changed", "evacuations", ""},
    {"ready", "readiness", ""},
    {"not_ready", "readiness", ""},
    {"shutdown_begun", "shutdown", ""},
    {"endpoint_changed", "endpoint", endpointValue},
    {"endpoint_gone", "endpoint", endpointValue},
    {"prompt_part_quarantined", "prompt part", promptPartValue},
    {"prompt_part_released", "prompt part", promptPartValue},
    {"endpoint_leaving", noticeSubject, endpointValue},
    {"endpoint_pausing", noticeSubject, endpointValue},
    {"endpoint_resumed", noticeSubject, endpointValue},
};

/// How an outcome reads as a sentence.
struct outcome_text
{
    std::string_view outcome;
    std::string_view text;
};

constexpr outcome_text outcomeTexts[] = {
    {"answered", "an endpoint answered, and its answer was passed on"},
    {"caller_gone", "the caller closed its connection first"},
    {"broken_off", "the endpoint's answer was cut after a part had been passed on, and no repeat was possible"},
    {"endpoint_failed", "the request may have run, its answer is missing, and it could not be repeated"},
    {"timed_out", "the route's time was over while the request was, or may have been, running"},
    {"expired", "the route's time was over before the request ran"},
    {"overloaded", "no endpoint had room for the request; it did not run"},
    {"no_endpoint", "no endpoint may receive requests; it did not run"},
    {"over_quota", "the workspace had used up this instance's part of its rate; it did not run"},
    {"unknown_key", "the key is not valid under the configuration in force"},
    {"unknown_route", "the configuration in force has no route for it"},
    {"not_ready", "the instance had no configuration yet"},
    {"shutting_down", "the instance was shutting down; it did not run"},
    {"quarantined", "its prompt contains a part that crashed several endpoints; it did not run"},
    {"suspected",
     "the endpoint was lost while it began the output, and the prompt contains a part that is suspected of that; not repeated"},
    {"endpoints_pausing", "all endpoints that could serve it had asked this instance to pause; it did not run"},
    {"endpoints_leaving", "the endpoints that could serve it had said that they leave; it did not run"},
};

const belief_event *beliefOf(std::string_view event)
{
    const auto *const found =
        std::find_if(std::begin(beliefEvents), std::end(beliefEvents), [&](const belief_event &one) { return one.event == event; });
    return found == std::end(beliefEvents) ? nullptr : found;
}

std::string subjectOf(const belief_event &belief, const logged_line &record)
{
    std::string subject(belief.subject);
    if (!belief.distinctBy.empty()) {
        subject.append(" ").append(record.valueOf(belief.distinctBy));
    }
    return subject;
}

std::int64_t countOf(const logged_line &record, std::string_view name)
{
    const std::string text(record.valueOf(name));
    return text.empty() ? 0 : std::strtoll(text.c_str(), nullptr, 10);
}

bool isDecisive(const logged_line &record)
{
    return record.event == "request_done" || record.event == "refused" || record.event == "request_dropped";
}

/// The outcome of a request or the cause of its refusal.
std::string_view outcomeOf(const logged_line &decision)
{
    return decision.valueOf(decision.event == "request_done" ? "outcome" : "cause");
}

/// True when a belief says nothing about the decision: it is about another endpoint or prompt part than the decision names, and it is not
/// the reason why no endpoint was left.
bool isUnrelated(const logged_line &belief, const logged_line &decision)
{
    const belief_event &kind = *beliefOf(belief.event);
    if (kind.distinctBy.empty() || belief.valueOf(kind.distinctBy) == decision.valueOf(kind.distinctBy)) {
        return false;
    }
    const bool areNoticesTheReason = outcomeOf(decision) == "endpoints_pausing" || outcomeOf(decision) == "endpoints_leaving";
    return kind.subject != noticeSubject || !areNoticesTheReason;
}

std::string valuesText(const logged_line &record, std::string_view leftOut)
{
    std::string text;
    for (const auto &[name, value] : record.values) {
        if (name != leftOut) {
            text.append(" ").append(name).append("=").append(value.empty() ? "\"\"" : value);
        }
    }
    return text;
}

nlohmann::json lineJson(const logged_line &record)
{
    return {{"instance", record.instance},
            {"time_ms", record.writtenAt.count()},
            {"part", record.part},
            {"event", record.event},
            {"values", record.values}};
}

} // namespace

request_story::request_story(std::string request)
    : m_request(std::move(request))
{
}

void request_story::addLog(std::istream &log, const std::string &name)
{
    std::string line;
    std::int64_t number = 0;
    while (std::getline(log, line)) {
        ++number;
        ++m_linesRead;
        auto read = readLoggedLine(line, name);
        if (read.has_error()) {
            m_damaged.push_back({name, number, read.error().message});
        } else if (read.value()) {
            addLine(std::move(*read.value()));
        }
    }
}

void request_story::addLine(logged_line &&record)
{
    if (record.event == "lines_left_out" || record.event == "lines_dropped") {
        m_linesMissing += countOf(record, "count");
    }
    m_linesMissing += countOf(record, "lines_dropped_before");
    if (record.valueOf("request") == m_request) {
        story_step step;
        for (const auto &[key, belief] : m_beliefs) {
            const bool isOfInstance = key.first == record.instance;
            if (isOfInstance && !isUnrelated(belief, record)) {
                step.beliefs.push_back({belief, record.writtenAt - belief.writtenAt});
            }
        }
        step.decision = record;
        m_steps.push_back(std::move(step));
    }
    if (record.event == startEvent) {
        // A new process knows nothing of what the one before it believed.
        std::erase_if(m_beliefs, [&](const auto &held) { return held.first.first == record.instance; });
    }
    if (const belief_event *belief = beliefOf(record.event)) {
        const auto key = std::pair(record.instance, subjectOf(*belief, record));
        m_beliefs.insert_or_assign(key, std::move(record));
    }
}

bool request_story::isKnown() const
{
    return !m_steps.empty();
}

std::vector<story_step> request_story::steps() const
{
    std::vector<story_step> sorted = m_steps;
    std::stable_sort(sorted.begin(), sorted.end(), [](const story_step &one, const story_step &other) {
        return one.decision.writtenAt < other.decision.writtenAt;
    });
    return sorted;
}

std::string request_story::conclusion() const
{
    const std::vector<story_step> sorted = steps();
    const auto last = std::find_if(sorted.rbegin(), sorted.rend(), [](const story_step &step) { return isDecisive(step.decision); });
    if (last == sorted.rend()) {
        return "no line says how the request ended: the process ended first, its lines were left out, or a log is missing";
    }
    const logged_line &decision = last->decision;
    const std::string_view outcome = outcomeOf(decision);
    const auto *const known =
        std::find_if(std::begin(outcomeTexts), std::end(outcomeTexts), [&](const outcome_text &one) { return one.outcome == outcome; });
    std::string text = decision.instance + ": " + std::string(outcome);
    if (known != std::end(outcomeTexts)) {
        text.append(": ").append(known->text);
    }
    const std::string_view failedAt = decision.valueOf("last_failed_endpoint");
    if (!failedAt.empty()) {
        text.append("; its last failed attempt was ").append(decision.valueOf("last_failed_duty")).append(" at ").append(failedAt);
        text.append(" (").append(decision.valueOf("last_failure")).append(")");
    }
    return text;
}

const std::vector<damaged_line> &request_story::damaged() const
{
    return m_damaged;
}

std::int64_t request_story::linesRead() const
{
    return m_linesRead;
}

std::int64_t request_story::linesMissing() const
{
    return m_linesMissing;
}

const std::string &request_story::request() const
{
    return m_request;
}

std::string storyText(const request_story &story)
{
    std::ostringstream text;
    text << "request " << story.request() << '\n';
    const std::vector<story_step> steps = story.steps();
    std::vector<logged_line> shown;
    for (const story_step &step : steps) {
        const logged_line &decision = step.decision;
        text << "  +" << (decision.writtenAt - steps.front().decision.writtenAt).count() << " ms  " << decision.instance << "  "
             << decision.event << valuesText(decision, "request") << '\n';
        for (const held_belief &belief : step.beliefs) {
            // A belief is shown at the first decision that it was held for.
            if (std::find(shown.begin(), shown.end(), belief.changedBy) != shown.end()) {
                continue;
            }
            shown.push_back(belief.changedBy);
            text << "      " << belief.changedBy.event << ' ' << belief.age.count() << " ms before:" << valuesText(belief.changedBy, "")
                 << '\n';
        }
    }
    text << "conclusion: " << story.conclusion() << '\n';
    if (story.linesMissing() > 0) {
        text << "the logs say that " << story.linesMissing() << " lines were left out or dropped\n";
    }
    return text.str();
}

nlohmann::json storyJson(const request_story &story)
{
    nlohmann::json steps = nlohmann::json::array();
    for (const story_step &step : story.steps()) {
        nlohmann::json one = lineJson(step.decision);
        one["beliefs"] = nlohmann::json::array();
        for (const held_belief &belief : step.beliefs) {
            nlohmann::json held = lineJson(belief.changedBy);
            held["age_ms"] = belief.age.count();
            one["beliefs"].push_back(std::move(held));
        }
        steps.push_back(std::move(one));
    }
    nlohmann::json damaged = nlohmann::json::array();
    for (const damaged_line &line : story.damaged()) {
        damaged.push_back({{"log", line.log}, {"line", line.number}, {"cause", line.cause}});
    }
    return {{"request", story.request()},
            {"steps", std::move(steps)},
            {"conclusion", story.conclusion()},
            {"lines_read", story.linesRead()},
            {"lines_missing", story.linesMissing()},
            {"damaged", std::move(damaged)}};
}

} // namespace burdockshelf
