#include "gateway/endpoint_link_task.h"

#include "http1/message_writer.h"

#include <utility>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds sweepPause {50};
// A connection takes a few milliseconds; one that takes this long has lost its opening packet or has no host behind it.
constexpr milliseconds connectTimeout {150};
// Bytes that an endpoint does not acknowledge for this long mean that it or the way to it is gone.
constexpr milliseconds userTimeout {2500};
// Endpoints that do not state their idle timeout may have one below a second.
constexpr milliseconds unstatedIdleTime {700};
// A call that must not be repeated takes no connection that has been idle long enough to be closing.
constexpr milliseconds idleTimeForSingleUse {400};
// Bound of a buffered answer; larger ones are answers of no service here.
constexpr std::size_t mostBufferedBytes = 8 * 1024 * 1024;
constexpr std::size_t defaultPerEndpoint = 32;
constexpr int firstFailureStatus = 300;

} // namespace

/// An attempt with its connection.
struct endpoint_link_task::call
{
    open_attempt order;
    std::unique_ptr<client_connection> connection;
    deadline connectUntil;
    http_response response;
    response_facts facts;
    bool hasHead = false;
    bool isPassedOn = false;
    bool isForgotten = false;
};

endpoint_link_task::endpoint_link_task(event_loop &loop,
                                       std::shared_ptr<mailbox<endpoint_link_message>> box,
                                       const endpoint_dialect &dialect,
                                       address<dispatch_message> dispatcher,
                                       event_log log)
    : task(std::move(box))
    , m_loop(loop)
    , m_dialect(dialect)
    , m_dispatcher(std::move(dispatcher))
    , m_log(std::move(log))
    , m_perEndpoint(defaultPerEndpoint)
    , m_destroyTimer(loop,
                     [this] {
                         m_buried.clear();
                         m_endedCalls.clear();
                     })
    , m_sweep(loop, [this] { sweep(); })
{
}

endpoint_link_task::~endpoint_link_task() = default;

outcome<void> endpoint_link_task::start()
{
    return success();
}

void endpoint_link_task::handle(endpoint_link_message &&message)
{
    std::visit([this](auto &&typed) { apply(std::forward<decltype(typed)>(typed)); }, std::move(message));
}

void endpoint_link_task::apply(open_attempt &&order)
{
    const call_key key = {order.flow, order.number};
    auto fresh = std::make_unique<call>();
    fresh->order = std::move(order);
    // No status until a head has come.
    fresh->response.status = 0;
    fresh->connectUntil = deadline::after(boot_clock::now(), connectTimeout);
    call &target = *fresh;
    m_calls[key] = std::move(fresh);
    target.connection = takeConnection(target.order.address, target.order.isRetryable);
    if (!target.connection) {
        report(target, attempt_outcome::not_sent, "too many connections");
        m_endedCalls.push_back(std::move(m_calls[key]));
        m_calls.erase(key);
        m_destroyTimer.start(deadline());
        return;
    }
    target.connection->send(target.order.request, handlersFor(target));
    if (!m_sweep.isArmed()) {
        m_sweep.start(deadline::after(boot_clock::now(), sweepPause));
    }
}

void endpoint_link_task::apply(const close_attempt &order)
{
    const auto found = m_calls.find({order.flow, order.number});
    if (found == m_calls.end()) {
        return;
    }
    bury(std::move(found->second->connection));
    m_endedCalls.push_back(std::move(found->second));
    m_calls.erase(found);
}

void endpoint_link_task::apply(const call_and_forget &order)
{
    m_lastForgotten -= flow_id(1);
    open_attempt attempt;
    attempt.flow = m_lastForgotten;
    attempt.address = order.address;
    attempt.request = order.request;
    attempt.needsProof = false;
    attempt.isRetryable = true;
    const call_key key = {attempt.flow, attempt.number};
    apply(std::move(attempt));
    const auto begun = m_calls.find(key);
    if (begun != m_calls.end()) {
        begun->second->isForgotten = true;
    }
}

void endpoint_link_task::apply(const connection_bounds &bounds)
{
    m_perEndpoint = bounds.perEndpoint;
}

std::unique_ptr<client_connection> endpoint_link_task::takeConnection(const socket_address &to, bool isRetryable)
{
    pool &connections = m_pools[to];
    const instant now = boot_clock::now();
    while (!connections.idle.empty()) {
        auto candidate = std::move(connections.idle.front());
        connections.idle.pop_front();
        const bool isFresh = isRetryable || now - candidate->idleSince() < idleTimeForSingleUse || !candidate->idleUntil().isNever();
        if (isFresh && candidate->isReusable(now)) {
            return candidate;
        }
        bury(std::move(candidate));
    }
    if (connections.open >= m_perEndpoint) {
        return nullptr;
    }
    auto fresh = std::make_unique<client_connection>(m_loop, to, client_connection_settings {byte_count(64 * 1024), userTimeout});
    ++connections.open;
    if (!fresh->isOpen()) {
        bury(std::move(fresh));
        return nullptr;
    }
    return fresh;
}

exchange_handlers endpoint_link_task::handlersFor(call &target)
{
    exchange_handlers handlers;
    handlers.acceptsResponse = [this, &target](const http_response &head) {
        const response_facts facts = m_dialect.decodeResponseHead(head);
        const bool acceptsResponse = facts.answered.isEmpty() || facts.answered == target.order.expected;
        if (!acceptsResponse) {
            m_log.write(log_line("endpoints", "foreign_answer_dropped")
                            .add("request", target.order.expected)
                            .add("answered", facts.answered)
                            .add("address", target.order.address.toString()));
        }
        return acceptsResponse;
    };
    handlers.onHead = [this, &target](http_response &&head, const message_framing & /*framing*/) {
        target.hasHead = true;
        target.facts = m_dialect.decodeResponseHead(head);
        target.response.status = head.status;
        target.response.headers = endToEnd(head.headers);
        const bool isSuccess = target.response.status < firstFailureStatus;
        const bool isUsable = !target.facts.isBodyUnusable && (!target.order.needsProof || target.facts.hasServerSeal);
        if (target.order.isStreamed && isSuccess && isUsable) {
            target.isPassedOn = true;
            post(attempt_response_head {target.order.flow, target.order.number, target.response, target.facts});
        }
    };
    handlers.onBody = [this, &target](std::string_view bytes) {
        if (target.isPassedOn) {
            post(attempt_body_data {target.order.flow, target.order.number, std::string(bytes)});
        } else if (target.response.body.size() + bytes.size() <= mostBufferedBytes) {
            target.response.body.append(bytes);
        } else {
            target.facts.isBodyUnusable = true;
        }
    };
    handlers.onEnd = [this, &target](exchange_end end) {
        finishExchange(target, end);
    };
    return handlers;
}

void endpoint_link_task::finishExchange(call &target, exchange_end end)
{
    const call_key key = {target.order.flow, target.order.number};
    switch (end) {
    case exchange_end::not_sent:
        report(target, attempt_outcome::not_sent, "connection refused");
        break;
    case exchange_end::lost:
        report(target, attempt_outcome::lost, target.hasHead ? "answer cut" : "connection lost before an answer");
        break;
    case exchange_end::broken:
        report(target, attempt_outcome::lost, "not an answer");
        break;
    case exchange_end::complete: {
        const bool isSuccess = target.response.status < firstFailureStatus;
        const bool isUsable = !target.facts.isBodyUnusable && (!isSuccess || !target.order.needsProof || target.facts.hasServerSeal);
        if (target.facts.isMisdirected) {
            report(target, attempt_outcome::misdirected, "another endpoint has the address");
        } else if (target.facts.isNotExecuted) {
            report(target, attempt_outcome::rejected, "refused by the endpoint");
        } else {
            report(target, isUsable ? attempt_outcome::whole : attempt_outcome::lost, isUsable ? "" : "answer without proof");
        }
        break;
    }
    }
    const auto found = m_calls.find(key);
    release(std::move(found->second->connection));
    m_endedCalls.push_back(std::move(found->second));
    m_calls.erase(found);
    m_destroyTimer.start(deadline());
}

void endpoint_link_task::report(const call &target, attempt_outcome end, std::string detail)
{
    if (target.isForgotten) {
        return;
    }
    attempt_ended ended;
    ended.flow = target.order.flow;
    ended.number = target.order.number;
    ended.end = end;
    if (!target.isPassedOn) {
        ended.response = target.response;
    }
    ended.facts = target.facts;
    ended.detail = std::move(detail);
    post(std::move(ended));
}

void endpoint_link_task::release(std::unique_ptr<client_connection> connection)
{
    if (connection->isReusable(boot_clock::now())) {
        m_pools[connection->server()].idle.push_front(std::move(connection));
        return;
    }
    bury(std::move(connection));
}

void endpoint_link_task::bury(std::unique_ptr<client_connection> connection)
{
    const auto found = m_pools.find(connection->server());
    if (found != m_pools.end()) {
        --found->second.open;
    }
    // Events may still come for it before it is destroyed.
    connection->abandon();
    m_buried.push_back(std::move(connection));
    m_destroyTimer.start(deadline());
}

void endpoint_link_task::sweep()
{
    const instant now = boot_clock::now();
    std::vector<call *> overdue;
    for (const auto &[key, target] : m_calls) {
        if (!target->connection->isConnected() && target->connectUntil.hasPassed(now)) {
            overdue.push_back(target.get());
        }
    }
    for (call *target : overdue) {
        const call_key key = {target->order.flow, target->order.number};
        report(*target, attempt_outcome::not_sent, "no connection in time");
        bury(std::move(target->connection));
        m_endedCalls.push_back(std::move(m_calls[key]));
        m_calls.erase(key);
    }
    std::vector<std::unique_ptr<client_connection>> expired;
    for (auto &[to, connections] : m_pools) {
        for (auto at = connections.idle.begin(); at != connections.idle.end();) {
            const bool isPastUnstated = (*at)->idleUntil().isNever() && now - (*at)->idleSince() > unstatedIdleTime;
            if ((*at)->isReusable(now) && !isPastUnstated) {
                ++at;
                continue;
            }
            expired.push_back(std::move(*at));
            at = connections.idle.erase(at);
        }
    }
    for (auto &connection : expired) {
        bury(std::move(connection));
    }
    std::erase_if(m_pools, [](const auto &entry) { return entry.second.open == 0; });
    if (!m_pools.empty() || !m_calls.empty()) {
        m_sweep.start(deadline::after(now, sweepPause));
    }
}

void endpoint_link_task::post(dispatch_message message)
{
    if (m_dispatcher.post(std::move(message)) != post_result::delivered) {
        m_log.write(log_line("endpoints", "message_dropped").add("receiver", "dispatcher"));
    }
}

} // namespace burdockshelf
