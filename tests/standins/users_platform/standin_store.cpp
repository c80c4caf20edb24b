#include "standins/users_platform/standin_store.h"

#include <algorithm>
#include <charconv>

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace burdockshelf
{

namespace
{

std::string queryValue(std::string_view query, const std::string &name)
{
    while (!query.empty()) {
        const auto end = query.find('&');
        const std::string_view pair = query.substr(0, end);
        if (pair.starts_with(name + "=")) {
            return std::string(pair.substr(name.size() + 1));
        }
        query = end == std::string_view::npos ? std::string_view() : query.substr(end + 1);
    }
    return {};
}

std::int64_t number(const std::string &text)
{
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::string bigEndian(std::uint64_t value, std::size_t bytes)
{
    std::string text(bytes, '\0');
    for (std::size_t at = 0; at < bytes; ++at) {
        text[bytes - 1 - at] = static_cast<char>(value >> (8 * at) & 0xff);
    }
    return text;
}

std::string base64(const std::string &bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                       reinterpret_cast<const unsigned char *>(bytes.data()),
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

constexpr int partsPerTopic = 4;

http_response json(const nlohmann::json &body)
{
    http_response response;
    response.body = body.dump();
    return response;
}

http_response plain(int status)
{
    http_response response;
    response.status = status;
    return response;
}

} // namespace

standin_store::standin_store(event_loop &loop)
    : m_loop(loop)
    , m_server(loop, {}, [this](const std::shared_ptr<http_exchange> &exchange) { answer(exchange); })
    , m_address(m_server.listen({"127.0.0.1", 0}).value())
    , m_side(loop, {}, [this](const std::shared_ptr<http_exchange> &exchange) { answerSide(exchange); })
    , m_sideAddress(m_side.listen({"127.0.0.1", 0}).value())
{
}

const socket_address &standin_store::address() const
{
    return m_address;
}

const socket_address &standin_store::sideAddress() const
{
    return m_sideAddress;
}

void standin_store::setSideRefusing(bool isRefusing)
{
    m_isSideRefusing = isRefusing;
}

void standin_store::answerSide(const std::shared_ptr<http_exchange> &exchange)
{
    if (m_isSideRefusing) {
        exchange->respond(plain(503));
        return;
    }
    answer(exchange);
}

void standin_store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    append(topic, {key, value});
}

void standin_store::drop(const std::string &topic, const std::string &key)
{
    append(topic, {key, {}});
}

void standin_store::forgetHistory(const std::string &topic)
{
    m_topics[topic].firstKept = m_topics[topic].records.size();
}

void standin_store::setMood(mood now)
{
    m_mood = now;
}

std::size_t standin_store::callCount() const
{
    return m_calls;
}

void standin_store::answer(const std::shared_ptr<http_exchange> &exchange)
{
    ++m_calls;
    if (m_mood == mood::silent) {
        m_unanswered.push_back(exchange);
        return;
    }
    if (m_mood == mood::refusing) {
        exchange->respond(plain(503));
        return;
    }
    const std::string_view path = exchange->request().path();
    if (path == "/log-newest") {
        answerNewest(*exchange);
    } else if (path == "/log-read") {
        answerRead(exchange);
    } else if (path == "/log-append") {
        answerAppend(*exchange);
    } else if (path == "/log-join") {
        answerJoin(*exchange);
    } else if (path == "/log-leave") {
        answerLeave(*exchange);
    } else if (path == "/log-owners") {
        answerOwners(*exchange);
    } else {
        exchange->respond(plain(404));
    }
}

void standin_store::answerNewest(http_exchange &exchange)
{
    const topic &named = m_topics[queryValue(exchange.request().query(), "topic")];
    nlohmann::json items = nlohmann::json::array();
    for (const auto &[key, offset] : named.newest) {
        items.push_back({{"key", key}, {"value", base64(named.records[offset].value)}, {"offset", offset}});
    }
    http_response response;
    response.body = nlohmann::json {{"items", items}, {"more", false}, {"end", named.records.size()}}.dump();
    exchange.respond(response);
}

void standin_store::answerRead(const std::shared_ptr<http_exchange> &exchange)
{
    const std::string topicName = queryValue(exchange->request().query(), "topic");
    const auto from = static_cast<std::size_t>(number(queryValue(exchange->request().query(), "from")));
    const std::chrono::milliseconds wait(number(queryValue(exchange->request().query(), "wait_ms")));
    if (tryRead(*exchange, topicName, from, wait.count() == 0)) {
        return;
    }
    m_waiting.push_back({exchange, topicName, from, nullptr});
    const auto entry = std::prev(m_waiting.end());
    entry->timeout = std::make_unique<timer>(m_loop, [this, entry] {
        tryRead(*entry->exchange, entry->topicName, entry->from, true);
        entry->exchange.reset();
    });
    entry->timeout->start(deadline::after(boot_clock::now(), wait));
}

bool standin_store::tryRead(http_exchange &exchange, const std::string &topicName, std::size_t from, bool mayBeEmpty)
{
    const topic &named = m_topics[topicName];
    if (from < named.firstKept) {
        exchange.respond(plain(410));
        return true;
    }
    if (from >= named.records.size() && !mayBeEmpty) {
        return false;
    }
    http_response response;
    response.body = bigEndian(named.records.size(), 8) + bigEndian(named.firstKept, 8);
    for (std::size_t at = from; at < named.records.size(); ++at) {
        const record &one = named.records[at];
        const std::string content = static_cast<char>(one.key.size()) + one.key + one.value;
        response.body += bigEndian(content.size(), 4) + content;
    }
    exchange.respond(response);
    return true;
}

void standin_store::answerAppend(http_exchange &exchange)
{
    const std::string &body = exchange.request().body;
    if (body.size() > 5) {
        const auto keyLength = static_cast<std::size_t>(static_cast<unsigned char>(body[4]));
        append(queryValue(exchange.request().query(), "topic"), {body.substr(5, keyLength), body.substr(5 + keyLength)});
    }
    http_response response;
    response.body = R"({"offset":0,"end":1})";
    exchange.respond(response);
}

void standin_store::answerJoin(http_exchange &exchange)
{
    const nlohmann::json call = nlohmann::json::parse(exchange.request().body);
    const std::string member = call["member"];
    for (const std::string topic : call["topics"]) {
        for (int part = 0; part < partsPerTopic; ++part) {
            m_parts.try_emplace({topic, part});
        }
    }
    if (std::find(m_members.begin(), m_members.end(), member) == m_members.end()) {
        m_members.push_back(member);
        dealAnew();
    }
    nlohmann::json rows = nlohmann::json::array();
    for (const auto &[part, holder] : m_parts) {
        if (holder == member) {
            rows.push_back({part.first, part.second, 0});
        }
    }
    exchange.respond(json({{"generation", m_generation}, {"ttl_ms", call["ttl_ms"]}, {"parts", rows}}));
}

void standin_store::answerLeave(http_exchange &exchange)
{
    std::erase(m_members, nlohmann::json::parse(exchange.request().body)["member"]);
    dealAnew();
    exchange.respond(json(nlohmann::json::object()));
}

void standin_store::answerOwners(http_exchange &exchange) const
{
    nlohmann::json rows = nlohmann::json::array();
    for (const auto &[part, holder] : m_parts) {
        rows.push_back({part.first, part.second, holder, 0});
    }
    exchange.respond(json({{"parts", rows}}));
}

void standin_store::dealAnew()
{
    ++m_generation;
    std::size_t next = 0;
    for (auto &[part, holder] : m_parts) {
        holder = m_members.empty() ? std::string() : m_members[next++ % m_members.size()];
        for (const std::string &member : m_members) {
            holder = !m_dealtTo.empty() && member.starts_with(m_dealtTo) ? member : holder;
        }
    }
}

void standin_store::dealTo(const std::string &memberPrefix)
{
    m_dealtTo = memberPrefix;
    dealAnew();
}

void standin_store::append(const std::string &topicName, record fresh)
{
    topic &named = m_topics[topicName];
    if (fresh.value.empty()) {
        named.newest.erase(fresh.key);
    } else {
        named.newest[fresh.key] = named.records.size();
    }
    named.records.push_back(std::move(fresh));
    for (waiting_read &one : m_waiting) {
        if (one.exchange && one.topicName == topicName && m_mood == mood::serving && tryRead(*one.exchange, topicName, one.from, false)) {
            one.exchange.reset();
            one.timeout->stop();
        }
    }
}

} // namespace burdockshelf
