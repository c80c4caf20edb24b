#include "fake_log.h"

#include <charconv>
#include <utility>

namespace burdockshelf
{

fake_log::fake_log(event_loop &loop)
    : m_server(loop, {}, [this](const std::shared_ptr<http_exchange> &exchange) { receive(exchange); })
    , m_at(m_server.listen({"127.0.0.1", 0}).value())
{
}

const socket_address &fake_log::at() const
{
    return m_at;
}

void fake_log::store(const record_id &id, const log_record &record)
{
    m_records.push_back({m_next, id, encodeRecord(record)});
    m_next += log_offset(1);
}

const std::vector<logged_record> &fake_log::records() const
{
    return m_records;
}

state_view_ptr fake_log::replay() const
{
    log_replay replay(record_time(1));
    for (const logged_record &record : m_records) {
        replay.apply({{record.offset, record.id, decodeRecord(record.content.kind, record.content.body).value()}});
    }
    return replay.view();
}

void fake_log::truncate(std::size_t count)
{
    m_records.erase(m_records.begin(), m_records.begin() + static_cast<std::ptrdiff_t>(count));
}

void fake_log::receive(const std::shared_ptr<http_exchange> &exchange)
{
    if (hasOutage) {
        exchange->respond({503, {}, ""});
    } else if (exchange->request().path() == "/log/append") {
        receiveAppend(exchange);
    } else {
        receiveRead(exchange);
    }
}

void fake_log::receiveAppend(const std::shared_ptr<http_exchange> &exchange)
{
    if (const auto hook = std::exchange(beforeAppend, nullptr)) {
        hook();
    }
    if (lostAppends > 0) {
        --lostAppends;
        exchange->abort();
        return;
    }
    const auto append = decodeLogAppend(exchange->request().body);
    m_records.push_back({m_next, append.value().id, append.value().content});
    m_next += log_offset(1);
    hasOutage = hasOutageAfterAppend;
    if (lostReplies > 0) {
        --lostReplies;
        exchange->abort();
        return;
    }
    exchange->respond({200, {}, encodeAppendResponse(m_next - log_offset(1))});
}

void fake_log::receiveRead(const std::shared_ptr<http_exchange> &exchange)
{
    // Small pages, so that readers have to ask again.
    constexpr std::size_t pageSize = 2;
    const std::string_view query = exchange->request().query();
    const std::string_view digits = query.substr(query.find('=') + 1);
    std::int64_t from = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), from);
    log_page page;
    page.first = m_records.empty() ? m_next : m_records.front().offset;
    page.head = m_next;
    for (const logged_record &record : m_records) {
        if (record.offset >= log_offset(from) && page.records.size() < pageSize) {
            page.records.push_back(record);
        }
    }
    exchange->respond({200, {}, encodeLogPage(page)});
}

} // namespace burdockshelf
