#include "gateway/endpoint_client_task.h"

#include "gateway/endpoint_client_call.h"
#include "http1/message_writer.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds sweepInterval {50};
// Connecting takes a few milliseconds; after this time the SYN packet was lost or no host has the address.
constexpr milliseconds connectTimeout {150};
// TCP_USER_TIMEOUT: after this time without an acknowledgement the endpoint or the network path to it is considered down.
constexpr milliseconds userTimeout {2500};
// Applies to endpoints that do not announce an idle timeout; theirs may be below one second.
constexpr milliseconds fallbackIdleTimeout {700};
// Calls that must not be retried do not reuse a connection that has been idle for longer, because the endpoint may be closing it. Does not
// apply to endpoints that announce their idle timeout.
constexpr milliseconds maxIdleForNonRetryable {400};
// Memory that the head of a response may take. Sound ones take a tenth of it.
constexpr byte_count maxHead {32 * 1024};
// Memory of the buffered responses of all calls together, and the share of what callers may take that they may take at most.
constexpr std::size_t maxBufferedBytesOfAllCalls = 16 * 1024 * 1024;
constexpr std::size_t bufferedShareDivisor = 2;
// Longest time for the response to a call that nothing waits for.
constexpr milliseconds fireAndForgetTimeout {2000};
constexpr std::size_t defaultConnectionsPerEndpoint = 32;
constexpr int firstNonSuccessStatus = 300;

std::size_t bufferLimit(const caller_memory *memory)
{
    if (memory == nullptr) {
        return maxBufferedBytesOfAllCalls;
    }
    return std::min(maxBufferedBytesOfAllCalls, static_cast<std::size_t>(memory->limits().total.value()) / bufferedShareDivisor);
}

} // namespace

endpoint_client_task::endpoint_client_task(event_loop &loop,
                                           std::shared_ptr<mailbox<endpoint_client_message>> box,
                                           const endpoint_dialect &dialect,
                                           address<dispatch_message> dispatcher,
                                           event_log log,
                                           const std::shared_ptr<caller_memory> &memory)
    : task(std::move(box))
    , m_loop(loop)
    , m_dialect(dialect)
    , m_dispatcher(std::move(dispatcher))
    , m_log(std::move(log))
    , m_bufferedMemory(memory, source_address())
    , m_maxPerEndpoint(defaultConnectionsPerEndpoint)
    , m_maxBufferedBytes(bufferLimit(memory.get()))
    , m_destroyTimer(loop,
                     [this] {
                         m_pendingDestruction.clear();
                         m_endedCalls.clear();
                     })
    , m_sweepTimer(loop, [this] { sweep(); })
{
}

endpoint_client_task::~endpoint_client_task() = default;

outcome<void> endpoint_client_task::start()
{
    return success();
}

void endpoint_client_task::handle(endpoint_client_message &&message)
{
    std::visit([this](auto &&typed) { apply(std::forward<decltype(typed)>(typed)); }, std::move(message));
}

void endpoint_client_task::apply(open_attempt &&command)
{
    begin(std::move(command), false);
}

void endpoint_client_task::begin(open_attempt &&command, bool isFireAndForget)
{
    const call_key key = {command.flow, command.number};
    auto created = std::make_unique<call>();
    created->command = std::move(command);
    // 0 until the response head has arrived.
    created->response.status = 0;
    created->connectDeadline = deadline::after(boot_clock::now(), connectTimeout);
    created->isFireAndForget = isFireAndForget;
    created->endAt = isFireAndForget ? deadline::after(boot_clock::now(), fireAndForgetTimeout) : deadline::never();
    call &target = *created;
    m_calls[key] = std::move(created);
    if (isUnwanted(target, boot_clock::now())) {
        withhold(target);
        return;
    }
    target.connection = takeConnection(target.command);
    if (!target.connection) {
        report(target, attempt_outcome::not_sent, "too many connections");
        retire(key);
        return;
    }
    if (target.command.body) {
        target.connection->send(target.command.request, target.command.body, handlersFor(target));
    } else {
        target.connection->send(target.command.request, handlersFor(target));
    }
    if (!m_sweepTimer.isArmed()) {
        m_sweepTimer.start(deadline::after(boot_clock::now(), sweepInterval));
    }
}

void endpoint_client_task::apply(const close_attempt &command)
{
    const auto found = m_calls.find({command.flow, command.number});
    if (found == m_calls.end()) {
        return;
    }
    destroyLater(std::move(found->second->connection));
    retire(found->first);
}

void endpoint_client_task::apply(const fire_and_forget_call &command)
{
    m_lastFireAndForgetFlow -= flow_id(1);
    open_attempt attempt;
    attempt.flow = m_lastFireAndForgetFlow;
    attempt.process = command.process;
    attempt.address = command.address;
    attempt.request = command.request;
    attempt.needsServerSeal = false;
    attempt.isRetryable = true;
    begin(std::move(attempt), true);
}

void endpoint_client_task::apply(const connection_limits &limits)
{
    m_maxPerEndpoint = limits.maxPerEndpoint;
}

std::unique_ptr<client_connection> endpoint_client_task::takeConnection(const open_attempt &command)
{
    const socket_address &to = command.address;
    pool &connections = m_pools[to];
    const instant now = boot_clock::now();
    while (!connections.idle.empty() && !command.needsNewConnection) {
        auto candidate = std::move(connections.idle.front());
        connections.idle.pop_front();
        const bool isFresh =
            command.isRetryable || now - candidate->idleSince() < maxIdleForNonRetryable || !candidate->idleUntil().isNever();
        if (isFresh && candidate->isReusable(now)) {
            return candidate;
        }
        destroyLater(std::move(candidate));
    }
    if (connections.open >= m_maxPerEndpoint && !connections.idle.empty()) {
        destroyLater(std::move(connections.idle.back()));
        connections.idle.pop_back();
    }
    if (connections.open >= m_maxPerEndpoint) {
        return nullptr;
    }
    auto created = std::make_unique<client_connection>(m_loop, to, client_connection_settings {maxHead, userTimeout});
    ++connections.open;
    if (!created->isOpen()) {
        destroyLater(std::move(created));
        return nullptr;
    }
    return created;
}

exchange_handlers endpoint_client_task::handlersFor(call &target)
{
    exchange_handlers handlers;
    handlers.takesLastResponse = target.command.expected.isEmpty();
    handlers.maxBody = target.command.maxResponse;
    handlers.acceptsResponse = [this, &target](const http_response &head) {
        const response_facts facts = m_dialect.decodeResponseHead(head, boot_clock::now());
        noteNotice(target, facts);
        const bool acceptsResponse = facts.answered == target.command.expected;
        if (!acceptsResponse) {
            m_log.write(log_line("endpoints", "foreign_answer_dropped")
                            .add("request", target.command.expected)
                            .add("answered", facts.answered)
                            .add("address", target.command.address.toString()));
        }
        return acceptsResponse;
    };
    handlers.onHead = [this, &target](http_response &&head, const message_framing &framing) {
        target.hasHead = true;
        target.endsAtConnectionClose = framing.endsAtConnectionClose;
        target.facts = m_dialect.decodeResponseHead(head, boot_clock::now());
        target.response = {head.status, endToEndHeaders(head.headers), {}};
        target.headBytes = static_cast<std::size_t>(target.connection->headCost().value());
        const bool isSuccess = target.response.status < firstNonSuccessStatus;
        const bool isUsable = !target.facts.isBodyUnusable && (!target.command.needsServerSeal || target.facts.hasServerSeal);
        if (target.command.isStreamed && isSuccess && isUsable) {
            target.isRelayed = true;
            target.connection->liftBodyLimit();
            http_response relayed = {target.response.status, std::move(target.response.headers), {}};
            post(attempt_response_head {target.command.flow, target.command.number, std::move(relayed), target.facts});
            target.headBytes = 0;
        }
        accountFor(target);
        makeRoom(target);
    };
    handlers.onBody = [this, &target](std::string_view bytes) {
        target.hasBody = true;
        if (target.isRelayed) {
            post(attempt_body_data {target.command.flow, target.command.number, std::string(bytes)});
        } else if (!target.isFireAndForget) {
            buffer(target, bytes);
        }
    };
    handlers.onEnd = [this, &target](exchange_outcome end) {
        finishExchange(target, end);
    };
    return handlers;
}

void endpoint_client_task::buffer(call &target, std::string_view bytes)
{
    target.response.body.append(bytes);
    accountFor(target);
    makeRoom(target);
}

void endpoint_client_task::makeRoom(const call &receiving)
{
    if (m_bufferedBytes <= m_maxBufferedBytes) {
        return;
    }
    call &largest = findLargestCall();
    if (&largest == &receiving) {
        // Its connection is in a handler and ends the exchange afterwards.
        receiving.connection->rejectResponse();
    } else {
        finishExchange(largest, exchange_outcome::too_large);
    }
}

void endpoint_client_task::accountFor(call &target)
{
    const std::size_t held = target.headBytes + target.response.body.size();
    m_bufferedBytes = m_bufferedBytes - target.heldBytes + held;
    target.heldBytes = held;
    m_bufferedMemory.force(byte_count(static_cast<std::int64_t>(m_bufferedBytes)));
}

void endpoint_client_task::dropResponse(call &target)
{
    target.response = {target.response.status, {}, {}};
    target.headBytes = 0;
    accountFor(target);
}

endpoint_client_task::call &endpoint_client_task::findLargestCall()
{
    const auto largest = std::max_element(m_calls.begin(), m_calls.end(), [](const auto &left, const auto &right) {
        return left.second->heldBytes < right.second->heldBytes;
    });
    return *largest->second;
}

void endpoint_client_task::retire(const call_key &key)
{
    const auto found = m_calls.find(key);
    dropResponse(*found->second);
    m_endedCalls.push_back(std::move(found->second));
    m_calls.erase(found);
    m_destroyTimer.start(deadline());
}

void endpoint_client_task::finishExchange(call &target, exchange_outcome end)
{
    const call_key key = {target.command.flow, target.command.number};
    // A connection whose response cannot be used carries no further request.
    bool isReliable = true;
    switch (end) {
    case exchange_outcome::not_sent:
        report(target, attempt_outcome::not_sent, "cannot connect");
        break;
    case exchange_outcome::lost:
        report(target, attempt_outcome::lost, target.hasHead ? "response truncated" : "connection lost before a response", true);
        break;
    case exchange_outcome::broken:
        report(target, attempt_outcome::lost, "not an HTTP response");
        break;
    case exchange_outcome::too_large:
        dropResponse(target);
        report(target, attempt_outcome::lost, "response too large");
        break;
    case exchange_outcome::complete: {
        const bool isSuccess = target.response.status < firstNonSuccessStatus;
        const bool isUsable = !target.facts.isBodyUnusable && (!isSuccess || !target.command.needsServerSeal || target.facts.hasServerSeal);
        if (target.facts.isMisdirected) {
            report(target, attempt_outcome::misdirected, "the address belongs to another endpoint");
        } else if (target.facts.isNotExecuted) {
            report(target, attempt_outcome::rejected, "rejected by the endpoint without execution");
        } else if (target.isRelayed && target.endsAtConnectionClose && !target.hasBody) {
            report(target, attempt_outcome::lost, "connection ended after the head of a stream", true);
        } else {
            report(target,
                   isUsable ? attempt_outcome::whole : attempt_outcome::lost,
                   isUsable ? "" : "response without server seal or with an unusable body",
                   target.endsAtConnectionClose);
            isReliable = isUsable;
        }
        break;
    }
    }
    if (isReliable) {
        release(std::move(target.connection));
    } else {
        destroyLater(std::move(target.connection));
    }
    retire(key);
}

void endpoint_client_task::report(call &target, attempt_outcome end, std::string detail, bool hasConnectionEnded)
{
    if (target.isFireAndForget) {
        return;
    }
    attempt_ended ended;
    ended.flow = target.command.flow;
    ended.number = target.command.number;
    ended.end = end;
    if (!target.isRelayed) {
        ended.response = std::exchange(target.response, {});
    }
    ended.facts = target.facts;
    ended.hasConnectionEnded = hasConnectionEnded;
    ended.detail = std::move(detail);
    post(std::move(ended));
}

void endpoint_client_task::release(std::unique_ptr<client_connection> connection)
{
    if (connection->isReusable(boot_clock::now())) {
        m_pools[connection->server()].idle.push_front(std::move(connection));
        return;
    }
    destroyLater(std::move(connection));
}

void endpoint_client_task::destroyLater(std::unique_ptr<client_connection> connection)
{
    const auto found = m_pools.find(connection->server());
    if (found != m_pools.end()) {
        --found->second.open;
    }
    // The connection may still receive events before it is destroyed.
    connection->abandon();
    m_pendingDestruction.push_back(std::move(connection));
    m_destroyTimer.start(deadline());
}

void endpoint_client_task::sweep()
{
    const instant now = boot_clock::now();
    std::vector<call *> overdue;
    for (const auto &[key, target] : m_calls) {
        const bool isConnectOverdue = !target->connection->isConnected() && target->connectDeadline.hasPassed(now);
        if (isConnectOverdue || target->endAt.hasPassed(now)) {
            overdue.push_back(target.get());
        }
    }
    for (call *target : overdue) {
        const call_key key = {target->command.flow, target->command.number};
        report(*target, attempt_outcome::not_sent, "connect timeout");
        destroyLater(std::move(target->connection));
        retire(key);
    }
    std::vector<std::unique_ptr<client_connection>> expired;
    for (auto &[to, connections] : m_pools) {
        for (auto at = connections.idle.begin(); at != connections.idle.end();) {
            const bool isPastFallbackTimeout = (*at)->idleUntil().isNever() && now - (*at)->idleSince() > fallbackIdleTimeout;
            if ((*at)->isReusable(now) && !isPastFallbackTimeout) {
                ++at;
                continue;
            }
            expired.push_back(std::move(*at));
            at = connections.idle.erase(at);
        }
    }
    for (auto &connection : expired) {
        destroyLater(std::move(connection));
    }
    std::erase_if(m_pools, [](const auto &entry) { return entry.second.open == 0; });
    if (!m_pools.empty() || !m_calls.empty()) {
        m_sweepTimer.start(deadline::after(now, sweepInterval));
    }
}

void endpoint_client_task::post(dispatch_message message)
{
    if (m_dispatcher.post(std::move(message)) != post_result::delivered) {
        m_log.write(log_line("endpoints", "message_dropped").add("receiver", "dispatcher"));
    }
}

} // namespace burdockshelf
