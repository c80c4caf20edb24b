#pragma once

#include "policy/quota_ledger.h"
#include "policy/roster_authority.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace burdockshelf
{

enum class fault_kind
{
    kill,
    pause,
    cut_from_log,
    cut_from_peers,
    cut_data_centre,
    log_outage,
    leave,
    reallocate,
};

/// A temporary fault of a node or of something that it depends on.
struct fault
{
    fault_kind kind = fault_kind::kill;
    std::size_t node = 0;
    std::chrono::milliseconds at {};
    std::chrono::milliseconds duration {};
};

/// A safety mechanism that the model omits, to show that the checks detect the violation.
enum class unsafe_variant
{
    none,
    no_settle_wait,
    lease_from_receipt,
    grant_before_debit,
};

/// Results of a run.
struct model_findings
{
    int doubleOwners = 0;
    /// Tokens granted over the limit, in the worst time window.
    double excessTokens = 0;
    std::size_t grants = 0;
    std::size_t loans = 0;
    int membersWithoutAuthority = 0;
    int refusalsAfterRecovery = 0;
};

/// Simulates two data centres with three members each, a log, an instance list that lags, and a network that loses, duplicates and reorders
/// messages. Runs the product's clock-free policy code in simulated time. Every node has its own clock, with an offset and a drift.
class fleet_model
{
public:
    fleet_model(std::uint64_t seed, unsafe_variant variant);
    ~fleet_model();

    model_findings run(const std::vector<fault> &faults, std::chrono::seconds faultPeriod);

private:
    struct node;
    struct grant
    {
        instant at;
        token_count cost;
    };

    /// The replayed state after each record.
    using log_state = std::shared_ptr<const state_view>;

    void at(instant when, std::function<void()> action);
    void scheduleOnNode(node &target, boot_clock::duration delay, std::function<void()> action);
    void send(node &from, node &to, const std::function<void()> &action);
    boot_clock::duration delay();
    instant clock(const node &member) const;
    void runUntil(instant end);

    void start(node &member);
    void apply(const fault &injected, bool isActive);
    void append(const log_record &record);
    void tick(node &member, const incarnation_id &incarnation);
    void read(node &member);
    void replayTo(node &member, std::size_t count);
    void handle(node &member, const roster_event &event, node *requester = nullptr, instant askedAt = {});
    void perform(node &member, const roster_action &action, node *requester, instant askedAt);
    void sendList();
    void request(node &member, token_count amount, int tries);
    void refund(node &member, const std::vector<outgoing_loan_refund> &returns);
    node *find(const instance_id &instance);
    void check();
    double excessTokens() const;

    random_source m_random;
    unsafe_variant m_variant;
    moving_shares m_strategy;
    instant m_now;
    std::multimap<instant, std::function<void()>> m_events;
    std::vector<std::unique_ptr<node>> m_nodes;
    std::vector<log_state> m_log;
    bool m_isLogUp = true;
    int m_cutDataCentre = 0;
    bool m_isFaulty = true;
    std::vector<std::map<data_centre_id, roster_instances_listed>> m_lists;
    std::map<request_id, grant> m_grants;
    std::uint64_t m_requests = 0;
    model_findings m_findings;
};

} // namespace burdockshelf
