#include "faulty_endpoints.h"

#include <array>
#include <utility>

namespace burdockshelf
{

namespace
{

constexpr const char *topic = "keyed.servers";
constexpr const char *refusalWithoutId = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
constexpr std::size_t deepNesting = 20'000;

std::string attemptOf(const http_request &request)
{
    return std::string(request.headers.value("X-Attempt-Id"));
}

std::string replaced(std::string text, const std::string &part, const std::string &by)
{
    return text.replace(text.find(part), part.size(), by);
}

} // namespace

faulty_endpoints::faulty_endpoints(event_loop &loop, standin_store &store, soak_judge &judge, random_source &random)
    : m_store(store)
    , m_judge(judge)
    , m_random(random)
    , m_endless(loop)
    , m_repeating(loop)
    , m_unused(loop)
{
    m_endless.setRequestHandler([this](scripted_connection &from, const http_request &request) { respondEndlessly(from, request); });
    m_repeating.setRequestHandler([this](scripted_connection &from, const http_request &request) { respondWithRepeats(from, request); });
    m_unused.setRequestHandler([this](scripted_connection & /*from*/, const http_request &request) {
        m_judge.fail("odd entries name no endpoint", attemptOf(request) + " was sent to one");
    });
}

void faulty_endpoints::listEndless()
{
    m_store.put(topic, "endless", m_endless.entry("plain", "z"));
}

void faulty_endpoints::dropEndless()
{
    m_store.drop(topic, "endless");
}

void faulty_endpoints::listRepeating()
{
    m_store.put(topic, "repeating", m_repeating.entry("plain", "z"));
}

void faulty_endpoints::dropRepeating()
{
    m_store.drop(topic, "repeating");
}

void faulty_endpoints::putOddEntry()
{
    const std::string valid = m_unused.entry("plain", "z");
    const std::string port = ":" + std::to_string(m_unused.address().port);
    const std::array<std::string, 7> values = {
        std::string(deepNesting, '[') + std::string(deepNesting, ']'),
        replaced(valid, "\"v1\"", std::string(deepNesting, '[') + std::string(deepNesting, ']')),
        replaced(valid, "\"slots\":8", "\"slots\":18446744073709551615"),
        replaced(valid, "\"cold_left_ms\":0", "\"cold_left_ms\":1e300"),
        replaced(valid, "\"born\":1000", "\"born\":1e400"),
        replaced(valid, port, ":" + std::to_string(65536 + m_unused.address().port)),
        replaced(valid, "\"v1\"", "\"\xff\""),
    };
    m_store.put(topic, "odd-" + std::to_string(m_oddEntries++), values.at(m_random.below(values.size())));
}

void faulty_endpoints::dropOddEntries()
{
    for (std::int64_t number = 0; number < m_oddEntries; ++number) {
        m_store.drop(topic, "odd-" + std::to_string(number));
    }
    m_oddEntries = 0;
}

void faulty_endpoints::respondEndlessly(scripted_connection &from, const http_request &request)
{
    // It may have run the request.
    m_judge.noteRun(attemptOf(request));
    const std::string head = "HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\nX-Attempt-Id: ";
    const std::array<std::pair<std::string, std::string>, 5> responses = {{
        {"", "no response "},
        {head, "a"},
        {head + attemptOf(request) + "\r\n\r\n", "a"},
        {head + "other\r\n\r\n", "a"},
        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
    }};
    const auto &[start, rest] = responses.at(m_random.below(responses.size()));
    std::string piece;
    while (piece.size() < 10'000) {
        piece += rest;
    }
    from.write(start);
    from.writeEndlessly(std::move(piece));
}

void faulty_endpoints::respondWithRepeats(scripted_connection &from, const http_request &request)
{
    m_refusesNext = !m_refusesNext;
    if (m_refusesNext) {
        from.write(m_lastRefusal);
        m_lastRefusal = scripted_endpoint::refusal(request);
        from.write(m_lastRefusal);
        return;
    }
    m_judge.noteRun(attemptOf(request));
    from.write(m_lastRefusal + refusalWithoutId);
    from.write(scripted_endpoint::success(request, "body of " + attemptOf(request)));
}

} // namespace burdockshelf
