#pragma once

#include "core/random_source.h"
#include "fault_proxy.h"
#include "http/http_client.h"
#include "site/child_process.h"
#include "soak_judge.h"
#include "standins/users_platform/standin_backend.h"
#include "standins/users_platform/standin_store.h"
#include "support/scratch_folder.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace burdockshelf
{

struct soak_plan
{
    std::uint64_t seed = 1;
    std::chrono::seconds faultTime {10};
    std::size_t gateways = 3;
    /// Empty for a folder that is removed at the end.
    std::string logFolder;
};

/// Runs gateways as processes against stand-ins of the users' platform, sends requests, and injects faults in series that overlap: links
/// that fail, processes that are stopped, killed and ended, a store that fails. Everything that is random follows the seed; the timing of
/// the processes does not.
class soak_run
{
public:
    explicit soak_run(const soak_plan &plan);
    ~soak_run();

    outcome<void> run();
    const soak_judge &judge() const;
    std::size_t requestCount() const;
    std::size_t answeredCount() const;

private:
    using fault_action = void (soak_run::*)();

    /// An endpoint behind a link that can fail.
    struct endpoint
    {
        std::string id;
        std::string service;
        std::string stage;
        std::unique_ptr<standin_backend> backend;
        std::unique_ptr<fault_proxy> link;
        bool isListed = true;
    };

    enum class process_state
    {
        running,
        stopped,
        ending,
    };

    struct gateway
    {
        std::string name;
        socket_address callers;
        socket_address metrics;
        std::string settingsFile;
        std::unique_ptr<fault_proxy> storeLink;
        child_process process;
        process_state state = process_state::running;
        std::unique_ptr<http_client> client;
        instant disturbedSince;
    };

    struct planned
    {
        deadline at;
        std::function<void()> act;
    };

    struct pending_answer
    {
        deadline due;
        std::shared_ptr<http_exchange> exchange;
        http_response response;
    };

    outcome<void> startGateway(gateway &target);
    void writeSettings(gateway &target);
    std::string configuration(int version, bool hasSecondKey) const;
    void publishEndpoint(const endpoint &target);
    outcome<void> waitUntilServing();
    void sendRequest();
    void sendTo(std::size_t index, soak_kind kind, const std::string &key, std::function<void(const soak_request &)> onEnd);
    void answerPlain(const standin_backend &backend, const std::shared_ptr<http_exchange> &exchange);
    void tick();
    void runLoopFor(std::chrono::milliseconds time);

    void injectFault();
    void failEndpointLink();
    void failStoreLink();
    void stopGateway();
    void killGateway();
    void endGateway();
    void failStore();
    void forgetHistory();
    void flapEndpoint();
    void later(std::chrono::milliseconds time, std::function<void()> act);
    gateway *pickRunning();
    std::chrono::milliseconds randomTime(std::int64_t least, std::int64_t most);
    void watchProcesses();
    void checkWithdrawnKey();
    void checkMetrics();

    soak_plan m_plan;
    random_source m_random;
    soak_judge m_judge;
    scratch_folder m_scratch;
    event_loop m_loop;
    standin_store m_store;
    std::vector<endpoint> m_endpoints;
    std::vector<gateway> m_gateways;
    std::map<std::string, soak_request> m_requests;
    std::vector<planned> m_planned;
    std::vector<pending_answer> m_answers;
    std::int64_t m_lastRequest = 0;
    bool m_isSending = false;
    bool m_isFaulty = false;
    deadline m_nextRequest;
    deadline m_nextFault;
    timer m_tick;
    timer m_stop;
};

} // namespace burdockshelf
