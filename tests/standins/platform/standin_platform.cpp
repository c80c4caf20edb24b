#include "standins/platform/standin_platform.h"

#include <charconv>
#include <utility>

namespace burdockshelf
{

namespace
{

// Snapshots of large configurations are one record.
constexpr http_server_limits limits = {byte_count(16 * 1024), byte_count(256 * 1024 * 1024)};
constexpr std::int64_t maxWait = 60'000;
constexpr std::int64_t maxLimit = 10'000;

/// The number behind "<name>=" in a query, within bounds.
std::int64_t queryNumber(std::string_view query, std::string_view name, std::int64_t fallback, std::int64_t most)
{
    while (!query.empty()) {
        const std::string_view field = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), field.size() + 1));
        if (field.size() <= name.size() || !field.starts_with(name) || field[name.size()] != '=') {
            continue;
        }
        std::int64_t number = fallback;
        std::from_chars(field.data() + name.size() + 1, field.data() + field.size(), number);
        return std::clamp<std::int64_t>(number, 0, most);
    }
    return fallback;
}

http_response jsonResponse(std::string body)
{
    return {200, {{"Content-Type", "application/json"}}, std::move(body)};
}

void refuse(const std::shared_ptr<http_exchange> &exchange, int status, const std::string &reason)
{
    exchange->respond({status, {{"Content-Type", "text/plain"}}, reason + "\n"});
}

} // namespace

const standin_platform::route standin_platform::routes[] = {
    {"POST", "/log/append", &standin_platform::receiveAppend},
    {"GET", "/log/read", &standin_platform::receiveRead},
    {"GET", "/instances", &standin_platform::receiveList},
    {"POST", "/instances/register", &standin_platform::receiveAnnouncement},
    {"POST", "/control", &standin_platform::receiveControl},
};

standin_platform::standin_platform(event_loop &loop, log_retention retention)
    : m_delayed(loop)
    , m_log(retention)
    , m_server(loop, limits, [this](const exchange_ptr &exchange) { receive(exchange); })
{
}

outcome<socket_address> standin_platform::listen(const socket_address &address)
{
    return m_server.listen(address);
}

void standin_platform::receive(const exchange_ptr &exchange)
{
    const http_request &request = exchange->request();
    for (const route &candidate : routes) {
        if (candidate.method == request.method && candidate.path == request.path()) {
            (this->*candidate.handle)(exchange);
            return;
        }
    }
    refuse(exchange, 404, "no such path");
}

void standin_platform::receiveAppend(const exchange_ptr &exchange)
{
    auto append = decodeLogAppend(exchange->request().body);
    if (!append) {
        refuse(exchange, 400, append.error().message);
        return;
    }
    if (m_appendDelay.count() == 0) {
        applyAppend(exchange, append.value());
        return;
    }
    m_delayed.add(deadline::after(boot_clock::now(), m_appendDelay),
                  [this, exchange, append = std::move(append).value()] { applyAppend(exchange, append); });
}

void standin_platform::applyAppend(const exchange_ptr &exchange, const log_append &append)
{
    if (m_hasOutage) {
        refuse(exchange, 503, "the log is down");
        return;
    }
    const log_offset offset = m_log.append(append, boot_clock::now());
    if (m_lostAppendReplies > 0) {
        --m_lostAppendReplies;
        exchange->abort();
    } else {
        exchange->respond(jsonResponse(encodeAppendResponse(offset)));
    }
    answerHeldReads();
}

void standin_platform::receiveRead(const exchange_ptr &exchange)
{
    const std::string_view query = exchange->request().query();
    const std::chrono::milliseconds wait(queryNumber(query, "wait_ms", 0, maxWait));
    held_read read = {exchange,
                      log_offset(queryNumber(query, "from", 0, INT64_MAX)),
                      static_cast<std::size_t>(queryNumber(query, "limit", maxLimit, maxLimit)),
                      deadline::after(boot_clock::now(), wait)};
    if (isAnswerable(read)) {
        answerRead(read);
        return;
    }
    const auto held = m_heldReads.insert(m_heldReads.end(), std::move(read));
    exchange->setOnClosed([this, held] { m_heldReads.erase(held); });
    m_delayed.add(held->until, [this] { answerHeldReads(); });
}

bool standin_platform::isAnswerable(const held_read &read) const
{
    return m_hasOutage || read.from < m_log.head() || read.until.hasPassed(boot_clock::now());
}

void standin_platform::answerRead(const held_read &read)
{
    if (m_hasOutage) {
        refuse(read.exchange, 503, "the log is down");
        return;
    }
    const http_response response = jsonResponse(encodeLogPage(m_log.read(read.from, read.limit, boot_clock::now())));
    if (m_readDelay.count() == 0) {
        read.exchange->respond(response);
        return;
    }
    m_delayed.add(deadline::after(boot_clock::now(), m_readDelay), [exchange = read.exchange, response] { exchange->respond(response); });
}

void standin_platform::answerHeldReads()
{
    for (auto read = m_heldReads.begin(); read != m_heldReads.end();) {
        if (!isAnswerable(*read)) {
            ++read;
            continue;
        }
        const held_read due = std::move(*read);
        read = m_heldReads.erase(read);
        due.exchange->setOnClosed(nullptr);
        answerRead(due);
    }
}

void standin_platform::receiveList(const exchange_ptr &exchange)
{
    if (m_hasListOutage) {
        refuse(exchange, 503, "the instance list is down");
        return;
    }
    exchange->respond(jsonResponse(encodeInstanceList(m_instances.list(boot_clock::now()))));
}

void standin_platform::receiveAnnouncement(const exchange_ptr &exchange)
{
    if (m_hasListOutage) {
        refuse(exchange, 503, "the instance list is down");
        return;
    }
    const auto instance = decodeInstance(exchange->request().body);
    if (!instance) {
        refuse(exchange, 400, instance.error().message);
        return;
    }
    m_instances.announce(instance.value(), boot_clock::now());
    exchange->respond(jsonResponse("{}"));
}

void standin_platform::receiveControl(const exchange_ptr &exchange)
{
    const auto control = decodePlatformControl(exchange->request().body);
    if (!control) {
        refuse(exchange, 400, control.error().message);
        return;
    }
    applyControl(control.value());
    exchange->respond(jsonResponse("{}"));
}

void standin_platform::applyControl(const platform_control &control)
{
    m_hasOutage = control.hasOutage.value_or(m_hasOutage);
    m_hasListOutage = control.hasListOutage.value_or(m_hasListOutage);
    m_readDelay = control.readDelay.value_or(m_readDelay);
    m_appendDelay = control.appendDelay.value_or(m_appendDelay);
    m_lostAppendReplies = control.lostAppendReplies.value_or(m_lostAppendReplies);
    if (control.listLag) {
        m_instances.setLag(*control.listLag);
    }
    if (control.keptRecords) {
        m_log.keepOnly(*control.keptRecords);
    }
    for (const auto &[instance, shown] : control.overrides) {
        m_instances.setOverride(instance, shown);
    }
    answerHeldReads();
}

} // namespace burdockshelf
