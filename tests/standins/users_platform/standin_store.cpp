#include "standins/users_platform/standin_store.h"

#include "support/base64_text.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <nlohmann/json.hpp>

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

std::int64_t parseNumber(const std::string &text)
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

constexpr int partitionsPerTopic = 4;

http_response jsonResponse(const nlohmann::json &body)
{
    http_response response;
    response.body = body.dump();
    return response;
}

http_response emptyResponse(int status)
{
    http_response response;
    response.status = status;
    return response;
}

} // namespace

standin_store::standin_store(event_loop &loop)
    : m_loop(loop)
    , m_server(loop, {}, [this](const std::shared_ptr<http_exchange> &exchange) { handleRequest(exchange); })
    , m_address(m_server.listen({"127.0.0.1", 0}).value())
    , m_secondaryServer(loop, {}, [this](const std::shared_ptr<http_exchange> &exchange) { handleSecondaryRequest(exchange); })
    , m_secondaryAddress(m_secondaryServer.listen({"127.0.0.1", 0}).value())
{
}

const socket_address &standin_store::address() const
{
    return m_address;
}

const socket_address &standin_store::secondaryAddress() const
{
    return m_secondaryAddress;
}

void standin_store::setSecondaryRefusing(bool isRefusing)
{
    m_isSecondaryRefusing = isRefusing;
}

void standin_store::handleSecondaryRequest(const std::shared_ptr<http_exchange> &exchange)
{
    if (m_isSecondaryRefusing) {
        respond(*exchange, emptyResponse(503));
        return;
    }
    handleRequest(exchange);
}

void standin_store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    append(topic, {key, value});
}

void standin_store::drop(const std::string &topic, const std::string &key)
{
    append(topic, {key, {}});
}

void standin_store::discardHistory(const std::string &topic)
{
    m_topics[topic].firstOffset = m_topics[topic].records.size();
}

void standin_store::restore(const std::map<std::string, std::size_t> &lostRecords)
{
    ++m_era;
    for (const auto &[name, lost] : lostRecords) {
        topic &named = m_topics[name];
        named.records.resize(named.records.size() - std::min(lost, named.records.size()));
        named.firstOffset = std::min(named.firstOffset, named.records.size());
        named.newest.clear();
        for (std::size_t at = 0; at < named.records.size(); ++at) {
            if (named.records[at].value.empty()) {
                named.newest.erase(named.records[at].key);
            } else {
                named.newest[named.records[at].key] = at;
            }
        }
    }
    for (pending_read &pending : m_pendingReads) {
        if (pending.exchange) {
            pending.timeout->stop();
            std::exchange(pending.exchange, nullptr)->abort();
        }
    }
}

void standin_store::respond(http_exchange &exchange, http_response response) const
{
    if (m_era > 0) {
        response.headers.add("Store-Era", std::to_string(m_era));
    }
    exchange.respond(response);
}

void standin_store::setAvailability(availability newAvailability)
{
    m_availability = newAvailability;
}

std::size_t standin_store::callCount() const
{
    return m_calls;
}

void standin_store::handleRequest(const std::shared_ptr<http_exchange> &exchange)
{
    ++m_calls;
    if (m_availability == availability::silent) {
        m_unanswered.push_back(exchange);
        return;
    }
    if (m_availability == availability::refusing) {
        respond(*exchange, emptyResponse(503));
        return;
    }
    const std::string_view path = exchange->request().path();
    if (path == "/log-newest") {
        respondNewest(*exchange);
    } else if (path == "/log-read") {
        respondRead(exchange);
    } else if (path == "/log-append") {
        respondAppend(*exchange);
    } else if (path == "/log-join") {
        respondJoin(*exchange);
    } else if (path == "/log-leave") {
        respondLeave(*exchange);
    } else if (path == "/log-owners") {
        respondOwners(*exchange);
    } else {
        respond(*exchange, emptyResponse(404));
    }
}

void standin_store::respondNewest(http_exchange &exchange)
{
    const topic &named = m_topics[queryValue(exchange.request().query(), "topic")];
    nlohmann::json items = nlohmann::json::array();
    for (const auto &[key, offset] : named.newest) {
        items.push_back({{"key", key}, {"value", base64Text(named.records[offset].value)}, {"offset", offset}});
    }
    http_response response;
    response.body = nlohmann::json {{"items", items}, {"more", false}, {"end", named.records.size()}}.dump();
    respond(exchange, response);
}

void standin_store::respondRead(const std::shared_ptr<http_exchange> &exchange)
{
    const std::string topicName = queryValue(exchange->request().query(), "topic");
    const auto from = static_cast<std::size_t>(parseNumber(queryValue(exchange->request().query(), "from")));
    const std::chrono::milliseconds wait(parseNumber(queryValue(exchange->request().query(), "wait_ms")));
    if (tryRead(*exchange, topicName, from, wait.count() == 0)) {
        return;
    }
    m_pendingReads.push_back({exchange, topicName, from, nullptr});
    const auto entry = std::prev(m_pendingReads.end());
    entry->timeout = std::make_unique<timer>(m_loop, [this, entry] {
        tryRead(*entry->exchange, entry->topicName, entry->from, true);
        entry->exchange.reset();
    });
    entry->timeout->start(deadline::after(boot_clock::now(), wait));
}

bool standin_store::tryRead(http_exchange &exchange, const std::string &topicName, std::size_t from, bool allowEmpty)
{
    const topic &named = m_topics[topicName];
    if (from < named.firstOffset || from > named.records.size()) {
        respond(exchange, emptyResponse(410));
        return true;
    }
    if (from >= named.records.size() && !allowEmpty) {
        return false;
    }
    http_response response;
    response.body = bigEndian(named.records.size(), 8) + bigEndian(named.firstOffset, 8);
    for (std::size_t at = from; at < named.records.size(); ++at) {
        const record &stored = named.records[at];
        const std::string content = static_cast<char>(stored.key.size()) + stored.key + stored.value;
        response.body += bigEndian(content.size(), 4) + content;
    }
    respond(exchange, response);
    return true;
}

void standin_store::respondAppend(http_exchange &exchange)
{
    const std::string &body = exchange.request().body;
    const std::string topicName = queryValue(exchange.request().query(), "topic");
    const std::string expectedEnd = queryValue(exchange.request().query(), "at");
    const std::size_t end = m_topics[topicName].records.size();
    if (!expectedEnd.empty() && static_cast<std::size_t>(parseNumber(expectedEnd)) != end) {
        http_response refused = jsonResponse({{"end", end}});
        refused.status = 412;
        respond(exchange, std::move(refused));
        return;
    }
    if (body.size() > 5) {
        const auto keyLength = static_cast<std::size_t>(static_cast<unsigned char>(body[4]));
        append(topicName, {body.substr(5, keyLength), body.substr(5 + keyLength)});
    }
    respond(exchange, jsonResponse({{"offset", end}, {"end", m_topics[topicName].records.size()}}));
}

void standin_store::respondJoin(http_exchange &exchange)
{
    const nlohmann::json call = nlohmann::json::parse(exchange.request().body);
    const std::string member = call["member"];
    for (const std::string topic : call["topics"]) {
        for (int part = 0; part < partitionsPerTopic; ++part) {
            m_partitionOwners.try_emplace({topic, part});
        }
    }
    if (std::find(m_members.begin(), m_members.end(), member) == m_members.end()) {
        m_members.push_back(member);
        reassignPartitions();
    }
    nlohmann::json rows = nlohmann::json::array();
    for (const auto &[part, holder] : m_partitionOwners) {
        if (holder == member) {
            rows.push_back({part.first, part.second, 0});
        }
    }
    respond(exchange, jsonResponse({{"generation", m_generation}, {"ttl_ms", call["ttl_ms"]}, {"parts", rows}}));
}

void standin_store::respondLeave(http_exchange &exchange)
{
    std::erase(m_members, nlohmann::json::parse(exchange.request().body)["member"]);
    reassignPartitions();
    respond(exchange, jsonResponse(nlohmann::json::object()));
}

void standin_store::respondOwners(http_exchange &exchange) const
{
    nlohmann::json rows = nlohmann::json::array();
    for (const auto &[part, holder] : m_partitionOwners) {
        rows.push_back({part.first, part.second, holder, 0});
    }
    respond(exchange, jsonResponse({{"parts", rows}}));
}

void standin_store::reassignPartitions()
{
    ++m_generation;
    std::stable_partition(
        m_members.begin(), m_members.end(), [this](const std::string &member) { return member.starts_with(m_firstMember); });
    std::size_t next = 0;
    for (auto &[part, holder] : m_partitionOwners) {
        holder = m_members.empty() ? std::string() : m_members[next++ % m_members.size()];
        for (const std::string &member : m_members) {
            holder = !m_preferredMember.empty() && member.starts_with(m_preferredMember) ? member : holder;
        }
    }
}

void standin_store::assignPartitionsTo(const std::string &memberPrefix)
{
    m_preferredMember = memberPrefix;
    reassignPartitions();
}

void standin_store::assignPartitionsFrom(const std::string &memberPrefix)
{
    m_preferredMember.clear();
    m_firstMember = memberPrefix;
    reassignPartitions();
}

void standin_store::append(const std::string &topicName, record newRecord)
{
    topic &named = m_topics[topicName];
    if (newRecord.value.empty()) {
        named.newest.erase(newRecord.key);
    } else {
        named.newest[newRecord.key] = named.records.size();
    }
    named.records.push_back(std::move(newRecord));
    for (pending_read &pending : m_pendingReads) {
        if (pending.exchange && pending.topicName == topicName && m_availability == availability::serving
            && tryRead(*pending.exchange, topicName, pending.from, false)) {
            pending.exchange.reset();
            pending.timeout->stop();
        }
    }
}

} // namespace burdockshelf
