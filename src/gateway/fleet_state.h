#pragma once

#include "forwarding/endpoint_table.h"
#include "forwarding/member_view.h"
#include "forwarding/prompt_quarantine.h"
#include "gateway/departed_endpoints.h"
#include "gateway/gateway_messages.h"
#include "gateway/registration_grace_list.h"
#include "logging/log_writer_task.h"

#include <map>
#include <memory>
#include <set>
#include <string_view>
#include <vector>

namespace burdockshelf
{

/// When records were received, and how long the topic had not been up to date before.
struct record_arrival
{
    instant at;
    std::chrono::milliseconds storeSilence {};
    /// The records are the first since the store came back from an older copy.
    bool isAfterRestore = false;
};

/// This instance's view of the fleet according to the records of the platform's store: the plan in force, the endpoints and the other
/// instances. Writes a log line for every change. Owned by the dispatcher.
class fleet_state
{
public:
    fleet_state(endpoint_table_settings endpoints, registration_grace_settings bounds, const record_dialect &records, event_log log);

    /// Replaces what is known of a topic by its newest records. After a restore of the store these may be older than what is known, so the
    /// plan in force, evacuations, orders and endpoints that leave are kept until they are written again.
    void reset(store_topic topic, const std::vector<store_record> &records, const record_arrival &arrival);
    void change(store_topic topic, const std::vector<store_record> &records, const record_arrival &arrival);
    /// Removes the endpoints whose entries expired during a store outage and were not renewed within the grace period. Returns when the
    /// next grace period ends.
    deadline removeOverdueEndpoints(instant now);
    /// Updates the list and number of the instances that have reported recently.
    void refreshInstanceCount(instant now);
    /// Records what an endpoint has stated in a response about the further requests that it wants.
    notice_change noteNotice(const endpoint_notice_received &received, instant now, random_source &random);
    /// Logs the endpoints that got rid of a restriction since the last call. Returns how many there are.
    std::size_t logLiftedRestrictions();
    /// Logs the steps of paced endpoints since the last call.
    void logPaceChanges();
    /// False until the plan, at least one endpoint and the reports of the other instances have been read. Without the reports this instance
    /// would use all quotas by itself.
    bool hasInitialState() const;

    /// The plan in force; null until the first plan has been read.
    const std::shared_ptr<const plan_index> &plan() const;
    plan_version planVersion() const;
    endpoint_table &endpoints();
    const endpoint_table &endpoints() const;
    std::int64_t instanceCount() const;
    /// The instances that have reported recently, without this one.
    std::vector<instance_id> otherInstances(instant now) const;
    prompt_quarantine &quarantine();
    /// Writes a log line for each quarantine that has begun or ended since the last call.
    void logQuarantineChanges();

private:
    using records_handler = void (fleet_state::*)(const std::vector<store_record> &, const record_arrival &);

    /// Functions that apply the records of a topic.
    struct topic_handler
    {
        records_handler reset;
        records_handler change;
    };

    static const topic_handler &handlerFor(store_topic topic);

    void resetOperators(const std::vector<store_record> &records, const record_arrival &arrival);
    void changeOperators(const std::vector<store_record> &records, const record_arrival &arrival);
    void resetEndpoints(const std::vector<store_record> &records, const record_arrival &arrival);
    void changeEndpoints(const std::vector<store_record> &records, const record_arrival &arrival);
    void applyEndpoint(const store_record &record, const record_arrival &arrival, bool mayBeOlder);
    /// Corrects an entry that may come from an older copy of the store by what is known; false if it is not to be used.
    bool correctOlderEntry(endpoint_entry &entry, instant now) const;
    /// True if newest records that arrive may lack or precede what is known, since the store was restored a short time ago.
    bool mayBeOlder(const record_arrival &arrival);
    void resetCrashReports(const std::vector<store_record> &records, const record_arrival &arrival);
    void changeCrashReports(const std::vector<store_record> &records, const record_arrival &arrival);
    void applyCrashReport(const store_record &record, outcome<crash_report> &&report, instant now);
    void changeMembers(const std::vector<store_record> &records, const record_arrival &arrival);
    void applyOperatorRecord(const store_record &record, std::set<data_centre_id> &evacuated, const record_arrival &arrival);
    void applyRolloutOrder(const rollout_order &order, const store_record &record, const record_arrival &arrival);
    void clearRolloutOrder(const service_id &service);
    /// Ends the rollouts whose orders are missing from the newest records.
    void clearUnlistedOrders(const std::vector<store_record> &listed);
    void changeRollouts(const std::vector<store_record> &records, const record_arrival &arrival);
    void applyRolloutDecision(const service_id &service, const store_record &record, instant now);
    void applyPlan(traffic_plan plan, instant now);
    void setEvacuated(std::set<data_centre_id> evacuated);
    void putEndpoint(const endpoint_entry &entry, instant now);
    /// Removes an endpoint whose entry is missing, unless the entry may have expired because the store was unavailable.
    void handleMissingEntry(const endpoint_id &endpoint, std::string_view cause, const record_arrival &arrival);
    void removeEndpoint(const endpoint_id &endpoint, std::string_view cause);
    void logUnreadable(const store_record &record, const error &cause);

    instance_id m_self;
    /// Longest time for which a record may be on its way while the store does not respond.
    std::chrono::milliseconds m_maxOrderDelay;
    const record_dialect &m_records;
    event_log m_log;
    std::shared_ptr<const plan_index> m_plan;
    endpoint_table m_endpoints;
    registration_grace_list m_graceList;
    departed_endpoints m_departed;
    /// Evacuations that the copy lacked from which the store was restored, until a record of their keys arrives.
    std::set<data_centre_id> m_keptEvacuations;
    /// Until then, newest records may be older than what is known.
    deadline m_restoredUntil;
    /// Entries received before the first plan.
    std::map<endpoint_id, endpoint_entry> m_entriesBeforePlan;
    member_view m_members;
    prompt_quarantine m_quarantine;
    std::int64_t m_instanceCount = 1;
    bool m_areMembersKnown = false;
};

} // namespace burdockshelf
