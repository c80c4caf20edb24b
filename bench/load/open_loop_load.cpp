#include "load/open_loop_load.h"

#include "wire/sse_parser.h"

#include <algorithm>
#include <cmath>

#include <nlohmann/json.hpp>

namespace burdockshelf
{

namespace
{

using json = nlohmann::json;

constexpr byte_count eventLimit(1024 * 1024);
constexpr std::size_t refusalLimit = 4096;
constexpr auto callLimit = std::chrono::seconds(60);
/// The stand-in engines count a token for each four bytes.
constexpr std::int64_t bytesPerToken = 4;
/// Conversations of a workspace; half of each prompt is the history of one of them, so that prefix caches have something to keep.
constexpr std::uint64_t histories = 4;

std::string words(random_source &random, std::size_t bytes)
{
    std::string text;
    while (text.size() < bytes) {
        text += random.hexId() + " ";
    }
    text.resize(bytes);
    return text;
}

} // namespace

struct open_loop_load::open_request
{
    explicit open_request(request_record &of)
        : record(of)
        , parser(eventLimit)
    {
    }

    request_record &record;
    sse_parser parser;
    std::string refusal;
    boot_clock::duration lastToken {0};
    bool hasEndMark = false;
};

open_loop_load::open_loop_load(event_loop &loop, site &deployment, const load_plan &plan, std::uint64_t seed)
    : m_loop(loop)
    , m_site(deployment)
    , m_plan(plan)
    , m_random(seed)
    , m_arrival(loop, [this] { sendDue(); })
    , m_limit(loop, [this] { m_loop.stop(); })
{
    for (const site_instance &instance : m_site.instances()) {
        m_clients.push_back(std::make_unique<http_client>(loop, instance.callers));
    }
    for (const workspace_load &load : plan.workspaces) {
        const workspace_plan bought = m_site.planOf(load.workspace.value());
        m_allowances.emplace_back(token_rate(bought.tokensPerSecond), token_count(bought.burstTokens));
    }
    planArrivals();
}

const std::deque<request_record> &open_loop_load::run(std::chrono::milliseconds limitAfterEnd)
{
    m_start = boot_clock::now();
    m_limit.start(deadline(m_start + m_plan.duration + limitAfterEnd));
    sendDue();
    m_loop.run();
    m_limit.stop();
    m_arrival.stop();
    m_clients.clear();
    m_formerClients.clear();
    return m_records;
}

void open_loop_load::reconnect(std::size_t instance)
{
    m_formerClients.push_back(std::move(m_clients.at(instance)));
    m_clients[instance] = std::make_unique<http_client>(m_loop, m_site.instances().at(instance).callers);
}

void open_loop_load::planArrivals()
{
    std::int64_t weights = 0;
    for (const traffic_shape &shape : m_plan.shapes) {
        weights += shape.weight;
    }
    for (std::size_t i = 0; i < m_plan.workspaces.size(); ++i) {
        const double perSecond = static_cast<double>(m_plan.workspaces[i].requestsPerMinute) / 60.0;
        double at = 0;
        while (perSecond > 0) {
            at += -std::log(1.0 - m_random.uniform()) / perSecond;
            const auto planned = std::chrono::duration_cast<boot_clock::duration>(std::chrono::duration<double>(at));
            if (planned >= m_plan.duration) {
                break;
            }
            request_record record;
            record.workspace = i;
            record.planned = planned;
            auto drawn = static_cast<std::int64_t>(m_random.below(static_cast<std::uint64_t>(weights)));
            while (drawn >= m_plan.shapes[record.shape].weight) {
                drawn -= m_plan.shapes[record.shape++].weight;
            }
            m_records.push_back(record);
        }
    }
    std::sort(m_records.begin(), m_records.end(), [](const request_record &left, const request_record &right) {
        return left.planned < right.planned;
    });
}

void open_loop_load::sendDue()
{
    while (m_sent < m_records.size() && m_records[m_sent].planned <= sinceStart()) {
        send(m_records[m_sent++]);
    }
    if (m_sent < m_records.size()) {
        m_arrival.start(deadline(m_start + m_records[m_sent].planned));
    } else if (m_ended == m_records.size()) {
        m_loop.stop();
    }
}

void open_loop_load::send(request_record &record)
{
    const traffic_shape &shape = m_plan.shapes[record.shape];
    const std::string &workspace = m_plan.workspaces[record.workspace].workspace.value();
    record.isWithinRate = m_allowances[record.workspace].take(record.planned, shape.prompt + shape.output);
    http_request request = {"POST",
                            "/v1/completions",
                            {{"Content-Type", "application/json"},
                             {"Authorization", "Bearer " + m_site.keyOf(workspace)},
                             {"X-Urgency-Class", shape.urgency.value()}},
                            completionBody(promptFor(record), static_cast<int>(shape.output.value()), true)};
    const auto open = std::make_shared<open_request>(record);
    http_call_handlers handlers;
    handlers.onHeaders = [open](const http_response &response) {
        open->record.status = response.status;
    };
    handlers.onData = [this, open](std::string_view bytes) {
        receiveBytes(*open, bytes);
    };
    handlers.onDone = [this, open](const http_call_result &result) {
        finish(*open, result);
    };
    m_clients[m_random.below(m_clients.size())]->send(request, std::move(handlers), deadline::after(boot_clock::now(), callLimit));
}

std::string open_loop_load::promptFor(const request_record &record)
{
    const auto bytes = static_cast<std::size_t>(m_plan.shapes[record.shape].prompt.value() * bytesPerToken - 1);
    random_source history(record.workspace * histories + m_random.below(histories));
    return words(history, bytes / 2) + words(m_random, bytes - bytes / 2);
}

void open_loop_load::receiveBytes(open_request &request, std::string_view bytes)
{
    if (request.record.status != 200) {
        request.refusal += bytes.substr(0, refusalLimit - std::min(refusalLimit, request.refusal.size()));
        return;
    }
    const auto events = request.parser.feed(bytes);
    if (!events) {
        return;
    }
    for (const sse_event &event : events.value()) {
        if (event.data == "[DONE]") {
            request.hasEndMark = true;
        } else {
            noteToken(request);
        }
    }
}

void open_loop_load::noteToken(open_request &request)
{
    request_record &record = request.record;
    const auto now = sinceStart();
    record.received += token_count(1);
    if (record.received == token_count(1)) {
        record.firstToken = now - record.planned;
    } else {
        record.longestBetweenTokens = std::max(record.longestBetweenTokens, now - request.lastToken);
        record.meanBetweenTokens = (now - record.planned - record.firstToken) / (record.received.value() - 1);
    }
    request.lastToken = now;
}

void open_loop_load::finish(open_request &request, const http_call_result &result)
{
    request_record &record = request.record;
    record.ended = sinceStart();
    record.isEnded = true;
    record.isWhole = result.has_value() && request.hasEndMark && record.received == m_plan.shapes[record.shape].output;
    if (!result) {
        record.code = "call_failed";
    } else if (record.status != 200) {
        const json document = json::parse(request.refusal, nullptr, false);
        const json cause = document.is_object() ? document.value("error", json::object()) : json::object();
        record.code = cause.value("code", "unknown");
        record.isNotExecuted = cause.value("not_run", false);
    } else if (!record.isWhole) {
        record.code = "cut_short";
    }
    ++m_ended;
    if (m_ended == m_records.size()) {
        m_loop.stop();
    }
}

boot_clock::duration open_loop_load::sinceStart() const
{
    return boot_clock::now() - m_start;
}

} // namespace burdockshelf
