#pragma once

#include "engine_settings.h"
#include "engine_text.h"

#include "http/http_client.h"
#include "http/http_server.h"

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace burdockshelf
{

/// A language-model engine in miniature: continuous batching, prefix cache, KV export and import, cold start, and faults on demand.
class simulated_engine
{
public:
    simulated_engine(event_loop &loop, engine_settings settings);

    outcome<socket_address> listen();

private:
    using json = nlohmann::json;

    /// A request that is waiting, running, or kept for a resume.
    struct sequence
    {
        std::string key;
        std::string id;
        bool isPrefill = false;
        bool isChat = false;
        bool isStream = false;
        /// The headers of the stream have been sent.
        bool isStarted = false;
        bool hasUsage = false;
        int priority = 0;
        std::uint64_t order = 0;
        engine_text text {{}};
        std::string prompt;
        int promptTokens = 0;
        int promptLeft = 0;
        int maxTokens = 0;
        int produced = 0;
        int blocks = 0;
        json kv;
        bool isRunning = false;
        bool isTransferring = false;
        bool isFinished = false;
        bool isSilent = false;
        bool wasCut = false;
        std::string whole;
        std::vector<std::string> events;
        std::shared_ptr<http_exchange> out;
        std::size_t sent = 0;
        deadline keepUntil = deadline::never();
    };

    /// A prefill's KV cache that waits to be imported.
    struct kv_export
    {
        int tokens = 0;
        int blocks = 0;
        deadline until;
    };

    using exchange_ptr = std::shared_ptr<http_exchange>;
    using handler = void (simulated_engine::*)(const exchange_ptr &, const json &);

    void receive(const exchange_ptr &exchange);
    void dispatch(const exchange_ptr &exchange, const std::string &path);
    void generate(const exchange_ptr &exchange, const json &body);
    void resume(const exchange_ptr &exchange, const json &body);
    void abortRequest(const exchange_ptr &exchange, const json &body);
    void releaseExport(const exchange_ptr &exchange, const json &body);
    void pullExport(const exchange_ptr &exchange, const json &body);
    void finishExport(const exchange_ptr &exchange, const json &body);
    void load(const exchange_ptr &exchange, const json &body);
    void order(const exchange_ptr &exchange, const json &body);
    void control(const exchange_ptr &exchange, const json &body);
    void state(const exchange_ptr &exchange, const json &body);

    void attach(sequence &entry, const exchange_ptr &exchange, std::size_t from);
    void lost(sequence &entry);
    void drop(const std::string &key, bool isAborted);
    void fail(sequence &entry, int status, const std::string &code);
    void admit();
    int cachedTokens(const std::string &prompt);
    void schedule();
    void finishStep();
    void advance(sequence &entry, int &promptBudget);
    void emit(sequence &entry);
    void complete(sequence &entry);
    void flush(sequence &entry);
    void startTransfer();
    void endTransfer();
    void expire();
    void armExpiry();
    void restart();
    bool isCollapsed() const;
    int running() const;
    int heldBlocks() const;
    void noteLoad();
    void wasteExport(const std::string &id);
    http_client &clientOf(const std::string &host, int port);
    deadline after(double milliseconds) const;

    event_loop &m_loop;
    engine_settings m_settings;
    http_server m_server;
    socket_address m_address;
    timer m_step;
    timer m_expiry;
    timer m_transfer;
    std::map<std::string, std::unique_ptr<sequence>> m_sequences;
    std::map<std::string, kv_export> m_exports;
    std::map<std::string, std::unique_ptr<http_client>> m_clients;
    std::deque<std::string> m_link;
    bool m_isLinkBusy = false;
    std::list<std::uint64_t> m_cacheOrder;
    std::set<std::uint64_t> m_cache;
    std::deque<std::pair<instant, int>> m_loads;
    std::uint64_t m_lastOrder = 0;
    std::uint64_t m_starts = 1;
    int m_served = 0;
    bool m_isCold = true;
    std::int64_t m_fencing = -1;
    // Faults.
    bool m_isStalled = false;
    bool m_isRefusing = false;
    bool m_isLinkStalled = false;
    std::size_t m_cutAfter = 0;
    // Counters.
    json m_counts;
    json m_requests = json::object();
    json m_orders = json::array();
    std::deque<json> m_headers;
};

} // namespace burdockshelf
