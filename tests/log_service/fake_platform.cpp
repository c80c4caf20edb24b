#include "log_service/fake_platform.h"

#include <event2/event.h>

using namespace burdockshelf;

namespace
{

constexpr std::chrono::seconds testTimeout {20};

std::size_t requestedOffset(const http_request &request)
{
    const std::string prefix = "/log/read?from=";
    return std::stoul(request.target.substr(prefix.size()));
}

} // namespace

fake_platform::fake_platform()
    : m_server(loop, {}, [this](const std::shared_ptr<http_exchange> &exchange) { handleRequest(exchange); })
    , m_timeoutTimer(loop, [this] { isTimedOut = true; })
{
    address = m_server.listen({"127.0.0.1", 0}).value();
    m_timeoutTimer.start(deadline::after(boot_clock::now(), testTimeout));
}

void fake_platform::append(const std::string &kind, const std::string &body)
{
    const log_offset offset(static_cast<std::int64_t>(records.size()));
    records.push_back({offset, record_id("r"), {kind, body}});
    for (const auto &held : std::exchange(heldReads, {})) {
        handleRead(held);
    }
}

bool fake_platform::runUntil(const std::function<bool()> &condition)
{
    while (!condition() && !isTimedOut) {
        event_base_loop(loop.base(), EVLOOP_ONCE);
    }
    return !isTimedOut;
}

void fake_platform::handleRequest(const std::shared_ptr<http_exchange> &exchange)
{
    const std::string_view path = exchange->request().path();
    if (path == "/log/read") {
        readTargets.push_back(exchange->request().target);
        handleRead(exchange);
    } else if (path == "/log/append") {
        handleAppend(exchange);
    } else if (path == "/instances/register") {
        registered.push_back(decodeInstance(exchange->request().body).value());
        exchange->respond({});
    } else {
        exchange->respond({200, {}, encodeInstanceList(listed)});
    }
}

void fake_platform::handleRead(const std::shared_ptr<http_exchange> &exchange)
{
    if (pendingReadFailures > 0) {
        --pendingReadFailures;
        exchange->respond({503, {}, {}});
        return;
    }
    const std::size_t from = requestedOffset(exchange->request());
    if (from >= records.size()) {
        heldReads.push_back(exchange);
        return;
    }
    log_page page = {{}, log_offset(static_cast<std::int64_t>(records.size())), {}};
    page.records.push_back(records[from]);
    exchange->respond({200, {}, encodeLogPage(page)});
}

void fake_platform::handleAppend(const std::shared_ptr<http_exchange> &exchange)
{
    if (appendStatus != 200) {
        exchange->respond({appendStatus, {}, {}});
        return;
    }
    const log_offset offset(static_cast<std::int64_t>(records.size()));
    const log_append appended = decodeLogAppend(exchange->request().body).value();
    append(appended.content.kind, appended.content.body);
    if (dropsAppendReplies) {
        exchange->abort();
    } else {
        exchange->respond({200, {}, encodeAppendResponse(offset)});
    }
}
