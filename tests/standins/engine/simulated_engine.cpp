#include "simulated_engine.h"

#include "core/digest.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

using nlohmann::json;

constexpr std::size_t headersKept = 500;
constexpr int chunkTokens = 256;
/// Longest transfer before the exporting side gives up.
constexpr double pullTime = 5000;

void respond(const std::shared_ptr<http_exchange> &exchange, int status, const json &body)
{
    exchange->respond({status, {{"Content-Type", "application/json"}}, body.dump()});
}

json errorBody(const std::string &code)
{
    return {{"error", {{"code", code}}}};
}

// The text that the model sees. A chat that continues its final message ends with that message's text.
std::string promptText(const json &body)
{
    if (!body.contains("messages")) {
        return body.value("prompt", "");
    }
    std::string text;
    const bool isContinued = body.value("continue_final_message", false);
    const json &messages = body["messages"];
    for (std::size_t i = 0; i < messages.size(); ++i) {
        text += messages[i].value("role", "") + ": " + messages[i].value("content", "");
        text += isContinued && i + 1 == messages.size() ? "" : "\n";
    }
    return isContinued ? text : text + "assistant: ";
}

} // namespace

simulated_engine::simulated_engine(event_loop &loop, engine_settings settings)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_server(loop, {byte_count(16 * 1024), byte_count(64 * 1024 * 1024)}, [this](const exchange_ptr &exchange) { receive(exchange); })
    , m_step(loop, [this] { finishStep(); })
    , m_expiry(loop, [this] { expire(); })
    , m_transfer(loop, [this] { endTransfer(); })
    , m_isCold(!m_settings.isWarm)
{
    for (const char *name :
         {"prefills", "decodes", "completed", "aborted", "wasted_prefills", "imports", "resumes", "tokens", "cached_tokens"}) {
        m_counts[name] = 0;
    }
}

outcome<socket_address> simulated_engine::listen()
{
    const auto wanted = socket_address::parse(m_settings.listen);
    if (!wanted) {
        return wanted.error();
    }
    auto bound = m_server.listen(wanted.value());
    if (bound) {
        m_address = bound.value();
    }
    return bound;
}

void simulated_engine::receive(const exchange_ptr &exchange)
{
    const http_request &request = exchange->request();
    const std::string path(request.path());
    if (!path.starts_with("/control")) {
        json fields = json::object();
        for (const http_header &field : request.headers.fields()) {
            fields[field.name] = field.value;
        }
        m_headers.push_back({{"target", request.target}, {"headers", fields}});
        if (m_headers.size() > headersKept) {
            m_headers.pop_front();
        }
    }
    try {
        dispatch(exchange, path);
    } catch (const json::exception &) {
        respond(exchange, 400, errorBody("invalid_body"));
    }
}

void simulated_engine::dispatch(const exchange_ptr &exchange, const std::string &path)
{
    static const std::map<std::string, handler, std::less<>> handlers = {
        {"/v1/completions", &simulated_engine::generate},
        {"/v1/chat/completions", &simulated_engine::generate},
        {"/abort_request", &simulated_engine::abortRequest},
        {"/v1/kv/release", &simulated_engine::releaseExport},
        {"/kv/pull", &simulated_engine::pullExport},
        {"/kv/done", &simulated_engine::finishExport},
        {"/load", &simulated_engine::load},
        {"/v1/orders", &simulated_engine::order},
        {"/control", &simulated_engine::control},
        {"/control/state", &simulated_engine::state},
    };
    const http_request &request = exchange->request();
    const json body = json::parse(request.body.empty() ? "{}" : request.body, nullptr, false);
    const auto found = handlers.find(path);
    if (!body.is_object()) {
        respond(exchange, 400, errorBody("invalid_json"));
    } else if (found != handlers.end()) {
        (this->*found->second)(exchange, body);
    } else if (path.starts_with("/v1/requests/")) {
        resume(exchange, body);
    } else {
        respond(exchange, 404, errorBody("not_found"));
    }
}

void simulated_engine::generate(const exchange_ptr &exchange, const json &body)
{
    if (m_isRefusing) {
        respond(exchange, 503, errorBody("refused"));
        return;
    }
    if (body.value("model", m_settings.model) != m_settings.model) {
        respond(exchange, 404, errorBody("unknown_model"));
        return;
    }
    const json kv = body.value("kv_transfer_params", json::object());
    const bool isPrefill = kv.value("do_remote_decode", false);
    const std::string id = body.value("request_id", "anonymous-" + std::to_string(m_lastOrder));
    const std::string key = isPrefill ? id + "/prefill" : id;
    drop(key, true);
    const std::string prompt = promptText(body);
    auto entry = std::make_unique<sequence>();
    entry->key = key;
    entry->id = id;
    entry->text = engine_text(prompt);
    entry->isPrefill = isPrefill;
    entry->isChat = body.contains("messages");
    entry->isStream = body.value("stream", false);
    entry->hasUsage = body.value("stream_options", json::object()).value("include_usage", false);
    entry->priority = body.value("priority", 0);
    entry->order = ++m_lastOrder;
    entry->prompt = prompt;
    entry->promptTokens = static_cast<int>(prompt.size()) / m_settings.bytesPerToken + 1;
    entry->promptLeft = entry->promptTokens;
    entry->maxTokens = body.value("max_tokens", 16);
    entry->blocks = (entry->promptTokens + entry->maxTokens + m_settings.blockTokens - 1) / m_settings.blockTokens;
    entry->kv = kv.value("do_remote_prefill", false) ? kv : json();
    const char *kind = isPrefill ? "prefills" : "decodes";
    m_counts[kind] = m_counts[kind].get<int>() + 1;
    json &requestCounts = m_requests.emplace(id, json::object()).first.value();
    requestCounts[kind] = requestCounts.value(kind, 0) + 1;
    sequence &added = *m_sequences.emplace(key, std::move(entry)).first->second;
    attach(added, exchange, 0);
    admit();
    schedule();
}

void simulated_engine::attach(sequence &entry, const exchange_ptr &exchange, std::size_t from)
{
    entry.out = exchange;
    entry.sent = from;
    entry.keepUntil = deadline::never();
    exchange->setOnClosed([this, key = entry.key, exchange = exchange.get()] {
        const auto found = m_sequences.find(key);
        if (found != m_sequences.end() && found->second->out.get() == exchange) {
            lost(*found->second);
        }
    });
    entry.isStarted = false;
    flush(entry);
}

// Only streams can be resumed.
void simulated_engine::lost(sequence &entry)
{
    entry.out.reset();
    if (!entry.isStream) {
        drop(entry.key, true);
        schedule();
        return;
    }
    entry.keepUntil = after(m_settings.resumeTime);
    armExpiry();
}

void simulated_engine::resume(const exchange_ptr &exchange, const json & /*body*/)
{
    const std::string path(exchange->request().path());
    const std::string query(exchange->request().query());
    constexpr std::size_t prefix = std::string_view("/v1/requests/").size();
    const auto found = m_sequences.find(path.substr(prefix, path.rfind('/') - prefix));
    const std::size_t from = query.starts_with("from=") ? std::strtoul(query.c_str() + 5, nullptr, 10) : 0;
    if (found == m_sequences.end() || !found->second->isStream || from > found->second->events.size()) {
        respond(exchange, 404, errorBody("unknown_request"));
        return;
    }
    m_counts["resumes"] = m_counts["resumes"].get<int>() + 1;
    sequence &entry = *found->second;
    if (const exchange_ptr old = std::exchange(entry.out, nullptr)) {
        old->abort();
    }
    entry.isSilent = false;
    attach(entry, exchange, from);
}

void simulated_engine::abortRequest(const exchange_ptr &exchange, const json &body)
{
    const std::string id = body.value("request_id", "");
    drop(id, true);
    drop(id + "/prefill", true);
    wasteExport(id);
    respond(exchange, 200, json::object());
    admit();
    schedule();
}

void simulated_engine::drop(const std::string &key, bool isAborted)
{
    const auto found = m_sequences.find(key);
    if (found == m_sequences.end()) {
        return;
    }
    const exchange_ptr out = std::exchange(found->second->out, nullptr);
    if (isAborted && !found->second->isFinished) {
        m_counts["aborted"] = m_counts["aborted"].get<int>() + 1;
    }
    m_sequences.erase(found);
    std::erase_if(m_link, [&](const std::string &waiting) { return waiting == key && !(m_isLinkBusy && m_link.front() == key); });
    noteLoad();
    if (out) {
        out->abort();
    }
}

void simulated_engine::fail(sequence &entry, int status, const std::string &code)
{
    if (const exchange_ptr out = std::exchange(entry.out, nullptr)) {
        respond(out, status, errorBody(code));
    }
    drop(entry.key, true);
}

void simulated_engine::admit()
{
    while (running() < m_settings.slots) {
        sequence *best = nullptr;
        for (const auto &[key, entry] : m_sequences) {
            const bool isWaiting = !entry->isRunning && !entry->isFinished;
            if (isWaiting && (best == nullptr || std::pair(entry->priority, entry->order) < std::pair(best->priority, best->order))) {
                best = entry.get();
            }
        }
        if (best == nullptr || (heldBlocks() + best->blocks > m_settings.kvBlocks && running() > 0)) {
            return;
        }
        best->isRunning = true;
        if (!best->kv.is_null()) {
            best->isTransferring = true;
            m_link.push_back(best->key);
            startTransfer();
        } else {
            const int cached = cachedTokens(best->prompt);
            best->promptLeft = std::max(1, best->promptTokens - cached);
            m_counts["cached_tokens"] = m_counts["cached_tokens"].get<int>() + cached;
        }
        noteLoad();
    }
}

// Tokens of the longest cached prefix; the prompt's own chunks are put into the cache, least recently used ones leave.
int simulated_engine::cachedTokens(const std::string &prompt)
{
    const std::size_t chunkBytes = static_cast<std::size_t>(chunkTokens) * m_settings.bytesPerToken;
    std::uint64_t hash = 0;
    int cached = 0;
    bool isPrefix = true;
    for (std::size_t at = 0; at + chunkBytes <= prompt.size(); at += chunkBytes) {
        hash = stableHash(std::string_view(prompt).substr(at, chunkBytes), hash);
        isPrefix = isPrefix && m_cache.contains(hash);
        cached += isPrefix ? chunkTokens : 0;
        m_cacheOrder.remove(hash);
        m_cacheOrder.push_back(hash);
        m_cache.insert(hash);
    }
    while (m_cacheOrder.size() > static_cast<std::size_t>(m_settings.cacheChunks)) {
        m_cache.erase(m_cacheOrder.front());
        m_cacheOrder.pop_front();
    }
    return cached;
}

void simulated_engine::schedule()
{
    if (m_step.isArmed()) {
        return;
    }
    int batch = 0;
    int promptTokens = 0;
    for (const auto &[key, entry] : m_sequences) {
        if (entry->isRunning && !entry->isTransferring) {
            ++batch;
            promptTokens += entry->promptLeft;
        }
    }
    if (batch == 0) {
        return;
    }
    promptTokens = std::min(promptTokens, m_settings.promptTokensPerStep);
    const double time = m_settings.stepBase + m_settings.stepPerSequence * batch + m_settings.promptToken * promptTokens;
    m_step.start(after(isCollapsed() ? time * m_settings.collapseFactor : time));
}

void simulated_engine::finishStep()
{
    std::vector<sequence *> batch;
    for (const auto &[key, entry] : m_sequences) {
        if (entry->isRunning && !entry->isTransferring) {
            batch.push_back(entry.get());
        }
    }
    std::sort(batch.begin(), batch.end(), [](const sequence *left, const sequence *right) {
        return std::pair(left->priority, left->order) < std::pair(right->priority, right->order);
    });
    int promptBudget = m_settings.promptTokensPerStep;
    for (sequence *entry : batch) {
        advance(*entry, promptBudget);
    }
    admit();
    schedule();
}

void simulated_engine::advance(sequence &entry, int &promptBudget)
{
    const int tokens = std::min(entry.promptLeft, promptBudget);
    entry.promptLeft -= tokens;
    promptBudget -= tokens;
    if (entry.promptLeft == 0) {
        emit(entry);
    }
}

void simulated_engine::emit(sequence &entry)
{
    const std::string text = entry.text.next();
    entry.whole += text;
    ++entry.produced;
    m_counts["tokens"] = m_counts["tokens"].get<int>() + 1;
    const bool isLast = entry.produced >= entry.maxTokens;
    json choice = {{"index", 0}, {"finish_reason", isLast ? json("length") : json()}};
    if (entry.isChat) {
        choice["delta"] = {{"content", text}};
    } else {
        choice["text"] = text;
    }
    const char *object = entry.isChat ? "chat.completion.chunk" : "text_completion";
    json event = {{"id", entry.id}, {"object", object}, {"model", m_settings.model}, {"choices", json::array({choice})}};
    entry.events.push_back(event.dump());
    if (isLast) {
        complete(entry);
    }
    flush(entry);
}

void simulated_engine::complete(sequence &entry)
{
    const json usage = {{"prompt_tokens", entry.promptTokens},
                        {"completion_tokens", entry.produced},
                        {"total_tokens", entry.promptTokens + entry.produced}};
    entry.isFinished = true;
    entry.isRunning = false;
    entry.keepUntil = after(m_settings.resumeTime);
    m_counts["completed"] = m_counts["completed"].get<int>() + 1;
    if (!isCollapsed() && m_settings.coldCapacity + ++m_served >= m_settings.slots) {
        m_isCold = false;
    }
    noteLoad();
    armExpiry();
    if (entry.isStream) {
        if (entry.hasUsage) {
            entry.events.push_back(json({{"id", entry.id}, {"choices", json::array()}, {"usage", usage}}).dump());
        }
        return;
    }
    json choice = {{"index", 0}, {"finish_reason", "length"}};
    if (entry.isChat) {
        choice["message"] = {{"role", "assistant"}, {"content", entry.whole}};
    } else {
        choice["text"] = entry.whole;
    }
    json answer = {{"id", entry.id}, {"model", m_settings.model}, {"choices", json::array({choice})}, {"usage", usage}};
    if (entry.isPrefill) {
        answer["kv_transfer_params"] = {
            {"do_remote_prefill", true}, {"remote_host", m_address.ip}, {"remote_port", m_address.port}, {"remote_request_id", entry.id}};
        wasteExport(entry.id);
        m_exports[entry.id] = {entry.promptTokens, entry.blocks, after(m_settings.exportLifetime)};
        armExpiry();
    }
    if (const exchange_ptr out = std::exchange(entry.out, nullptr); out && !entry.isSilent) {
        respond(out, 200, answer);
    }
}

void simulated_engine::flush(sequence &entry)
{
    if (!entry.isStream || !entry.out || entry.isSilent || m_isStalled) {
        return;
    }
    const bool isReady = entry.sent < entry.events.size() || entry.isFinished;
    if (isReady && !std::exchange(entry.isStarted, true)) {
        entry.out->startStream(200, {{"Content-Type", "text/event-stream"}});
    }
    while (entry.sent < entry.events.size()) {
        entry.out->sendData("id: " + std::to_string(entry.sent) + "\ndata: " + entry.events[entry.sent] + "\n\n");
        ++entry.sent;
        if (m_cutAfter > 0 && entry.sent >= m_cutAfter && !std::exchange(entry.wasCut, true)) {
            const exchange_ptr out = entry.out;
            lost(entry);
            out->abort();
            return;
        }
    }
    if (entry.isFinished) {
        const exchange_ptr out = std::exchange(entry.out, nullptr);
        out->sendData("data: [DONE]\n\n");
        out->endStream();
    }
}

// The link moves one KV cache at a time, so that many imports share its rate.
void simulated_engine::startTransfer()
{
    if (m_isLinkBusy || m_isLinkStalled || m_link.empty()) {
        return;
    }
    m_isLinkBusy = true;
    const json kv = m_sequences.at(m_link.front())->kv;
    const json body = {{"request_id", kv.value("remote_request_id", "")}};
    const auto pulled = [this](const http_call_result &result) {
        const auto found = m_sequences.find(m_link.front());
        if (!result || result.value().status != 200) {
            m_link.pop_front();
            m_isLinkBusy = false;
            if (found != m_sequences.end()) {
                fail(*found->second, 409, "kv_expired");
            }
            startTransfer();
            admit();
            schedule();
            return;
        }
        const double tokens = json::parse(result.value().body).value("tokens", 0);
        m_transfer.start(after(tokens / m_settings.linkTokensPerSecond * 1000));
    };
    clientOf(kv.value("remote_host", ""), kv.value("remote_port", 0))
        .send({"POST", "/kv/pull", {}, body.dump()}, {nullptr, nullptr, pulled}, after(pullTime));
}

void simulated_engine::endTransfer()
{
    if (m_isLinkStalled) {
        m_transfer.start(after(m_settings.stepBase));
        return;
    }
    const std::string key = m_link.front();
    m_link.pop_front();
    m_isLinkBusy = false;
    const auto found = m_sequences.find(key);
    if (found != m_sequences.end()) {
        sequence &entry = *found->second;
        entry.isTransferring = false;
        entry.promptLeft = 0;
        m_counts["imports"] = m_counts["imports"].get<int>() + 1;
        const json body = {{"request_id", entry.kv.value("remote_request_id", "")}};
        clientOf(entry.kv.value("remote_host", ""), entry.kv.value("remote_port", 0))
            .send({"POST", "/kv/done", {}, body.dump()},
                  {nullptr,
                   nullptr,
                   [](const http_call_result &) {
                   }},
                  after(pullTime));
    }
    startTransfer();
    schedule();
}

void simulated_engine::pullExport(const exchange_ptr &exchange, const json &body)
{
    const auto found = m_exports.find(body.value("request_id", ""));
    if (found == m_exports.end()) {
        respond(exchange, 404, errorBody("kv_expired"));
        return;
    }
    found->second.until = after(pullTime);
    respond(exchange, 200, {{"tokens", found->second.tokens}});
}

void simulated_engine::finishExport(const exchange_ptr &exchange, const json &body)
{
    m_exports.erase(body.value("request_id", ""));
    respond(exchange, 200, json::object());
}

void simulated_engine::releaseExport(const exchange_ptr &exchange, const json &body)
{
    wasteExport(body.value("request_id", ""));
    respond(exchange, 200, json::object());
    admit();
    schedule();
}

void simulated_engine::wasteExport(const std::string &id)
{
    if (m_exports.erase(id) > 0) {
        m_counts["wasted_prefills"] = m_counts["wasted_prefills"].get<int>() + 1;
    }
}

void simulated_engine::expire()
{
    const instant now = boot_clock::now();
    std::vector<std::string> gone;
    for (const auto &[key, entry] : m_sequences) {
        if (entry->keepUntil.hasPassed(now)) {
            gone.push_back(key);
        }
    }
    for (const std::string &key : gone) {
        drop(key, true);
    }
    gone.clear();
    for (const auto &[id, kept] : m_exports) {
        if (kept.until.hasPassed(now)) {
            gone.push_back(id);
        }
    }
    for (const std::string &id : gone) {
        wasteExport(id);
    }
    admit();
    schedule();
    armExpiry();
}

void simulated_engine::armExpiry()
{
    deadline next = deadline::never();
    for (const auto &[key, entry] : m_sequences) {
        next = std::min(next, entry->keepUntil);
    }
    for (const auto &[id, kept] : m_exports) {
        next = std::min(next, kept.until);
    }
    m_expiry.start(next);
}

// Reports what was true loadLag ago.
void simulated_engine::load(const exchange_ptr &exchange, const json & /*body*/)
{
    const deadline oldest = deadline(boot_clock::now() - (after(m_settings.loadLag).at() - boot_clock::now()));
    while (m_loads.size() > 1 && m_loads[1].first <= oldest.at()) {
        m_loads.pop_front();
    }
    const int used = m_loads.empty() || m_loads.front().first > oldest.at() ? 0 : m_loads.front().second;
    respond(exchange,
            200,
            {{"used", used},
             {"total", m_settings.slots},
             {"incarnation", m_settings.name + "-" + std::to_string(m_starts)},
             {"kv_blocks", heldBlocks()},
             {"kv_blocks_total", m_settings.kvBlocks}});
}

void simulated_engine::order(const exchange_ptr &exchange, const json &body)
{
    const std::int64_t fencing = body.value("fencing", std::int64_t(0));
    if (!m_settings.ignoresFencing && fencing < m_fencing) {
        respond(exchange, 409, errorBody("stale_fencing"));
        return;
    }
    m_fencing = std::max(m_fencing, fencing);
    m_orders.push_back(body);
    if (body.value("kind", "") == "load_model") {
        m_settings.model = body.value("model", m_settings.model);
        m_isCold = true;
        m_served = 0;
    } else if (body.value("kind", "") == "change_role") {
        m_settings.role = body.value("model", m_settings.role);
    }
    respond(exchange, 200, json::object());
}

void simulated_engine::control(const exchange_ptr &exchange, const json &body)
{
    m_isStalled = body.value("stall_streams", m_isStalled);
    m_isRefusing = body.value("refuse", m_isRefusing);
    m_isLinkStalled = body.value("stall_link", m_isLinkStalled);
    m_cutAfter = body.value("cut_after", m_cutAfter);
    if (body.contains("cold")) {
        m_isCold = body["cold"].get<bool>();
        m_served = 0;
    }
    for (const auto &[key, entry] : m_sequences) {
        entry->isSilent = entry->isSilent || body.value("silence_open", false);
        flush(*entry);
    }
    respond(exchange, 200, json::object());
    if (body.value("restart", false)) {
        restart();
    }
    startTransfer();
    admit();
    schedule();
}

void simulated_engine::restart()
{
    while (!m_sequences.empty()) {
        drop(m_sequences.begin()->first, false);
    }
    m_exports.clear();
    m_link.clear();
    m_clients.clear();
    m_isLinkBusy = false;
    m_transfer.stop();
    m_cache.clear();
    m_cacheOrder.clear();
    m_loads.clear();
    m_isCold = true;
    m_served = 0;
    ++m_starts;
}

void simulated_engine::state(const exchange_ptr &exchange, const json & /*body*/)
{
    json active = json::array();
    for (const auto &[key, entry] : m_sequences) {
        if (!entry->isFinished) {
            active.push_back({{"request_id", entry->id},
                              {"is_prefill", entry->isPrefill},
                              {"is_running", entry->isRunning},
                              {"produced", entry->produced}});
        }
    }
    json exports = json::array();
    for (const auto &[id, kept] : m_exports) {
        exports.push_back(id);
    }
    respond(exchange,
            200,
            {{"name", m_settings.name},
             {"role", m_settings.role},
             {"model", m_settings.model},
             {"start", m_starts},
             {"is_cold", m_isCold},
             {"is_collapsed", isCollapsed()},
             {"running", active},
             {"exports", exports},
             {"kv_blocks", heldBlocks()},
             {"counts", m_counts},
             {"requests", m_requests},
             {"orders", m_orders},
             {"headers", m_headers}});
}

bool simulated_engine::isCollapsed() const
{
    return m_isCold && running() > m_settings.coldCapacity + m_served;
}

int simulated_engine::running() const
{
    return static_cast<int>(std::count_if(m_sequences.begin(), m_sequences.end(), [](const auto &item) { return item.second->isRunning; }));
}

int simulated_engine::heldBlocks() const
{
    int held = 0;
    for (const auto &[key, entry] : m_sequences) {
        held += entry->isRunning ? entry->blocks : 0;
    }
    for (const auto &[id, kept] : m_exports) {
        held += kept.blocks;
    }
    return held;
}

void simulated_engine::noteLoad()
{
    m_loads.emplace_back(boot_clock::now(), running());
    const instant old = boot_clock::now() - 2 * (after(m_settings.loadLag).at() - boot_clock::now());
    while (m_loads.size() > 1 && m_loads[1].first < old) {
        m_loads.pop_front();
    }
}

http_client &simulated_engine::clientOf(const std::string &host, int port)
{
    auto &client = m_clients[host + ":" + std::to_string(port)];
    if (!client) {
        client = std::make_unique<http_client>(m_loop, socket_address {host, static_cast<std::uint16_t>(port)});
    }
    return *client;
}

deadline simulated_engine::after(double milliseconds) const
{
    const auto time = std::chrono::duration<double, std::milli>(milliseconds * m_settings.timeScale);
    return deadline::after(boot_clock::now(), std::chrono::duration_cast<boot_clock::duration>(time));
}

} // namespace burdockshelf
