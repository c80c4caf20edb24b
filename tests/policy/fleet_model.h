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

/// Something that goes wrong with a node, or with what it reaches, for a while.
struct fault
{
    fault_kind kind = fault_kind::kill;
    std::size_t node = 0;
    std::chrono::milliseconds at {};
    std::chrono::milliseconds validFor {};
};

/// Protections that a model leaves out, to show that the checks find it.
enum class unsafe_variant
{
    none,
    no_settle_wait,
    lease_from_receipt,
    grant_before_debit,
};

/// What a run has shown.
struct model_findings
{
    int doubleOwners = 0;
    /// Tokens over the limit in the worst window.
    double tokensOver = 0;
    std::size_t grants = 0;
    std::size_t loans = 0;
    int membersWithoutAuthority = 0;
    int calmRefusals = 0;
};

/// Two data centres with three members each, a log, an instance list that lags and a network that loses, repeats and reorders, in simulated
/// time around the product's pure code. Every node has a clock of its own, with an offset and a drift.
class fleet_model
{
public:
    fleet_model(std::uint64_t seed, unsafe_variant variant);
    ~fleet_model();

    model_findings run(const std::vector<fault> &faults, std::chrono::seconds faulty);

private:
    struct node;
    struct grant
    {
        instant at;
        token_count cost;
    };

    /// The state that replay has led to, after each record.
    using log_state = std::shared_ptr<const state_view>;

    void at(instant when, std::function<void()> action);
    void onNode(node &target, boot_clock::duration delay, std::function<void()> action);
    void send(node &from, node &to, const std::function<void()> &action);
    boot_clock::duration delay();
    instant clock(const node &who) const;
    void runUntil(instant end);

    void start(node &who);
    void apply(const fault &what, bool isOn);
    void append(const log_record &record);
    void tick(node &who, const incarnation_id &incarnation);
    void read(node &who);
    void replayTo(node &who, std::size_t count);
    void handle(node &who, const roster_event &event, node *asker = nullptr, instant askedAt = {});
    void act(node &who, const roster_action &action, node *asker, instant askedAt);
    void sendList();
    void request(node &who, token_count amount, int tries);
    void refund(node &who, const std::vector<outgoing_loan_refund> &returns);
    node *find(const instance_id &instance);
    void check();
    double tokensOver() const;

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
