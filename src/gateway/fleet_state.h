#pragma once

#include "forwarding/endpoint_table.h"
#include "forwarding/member_view.h"
#include "gateway/dialects.h"
#include "gateway/registration_grace_list.h"
#include "logging/log_writer_task.h"

#include <map>
#include <memory>
#include <set>
#include <string_view>
#include <vector>

namespace burdockshelf
{

/// When records were taken in, and how long the store had said nothing of their topic before.
struct record_arrival
{
    instant at;
    std::chrono::milliseconds storeSilence {};
};

/// What an instance believes of the fleet from the records of the platform's store: the plan in force, the endpoints and the other
/// instances. Writes a log line for every change of a belief. Owned by the dispatcher.
class fleet_state
{
public:
    fleet_state(endpoint_table_settings endpoints, registration_grace_settings bounds, const record_dialect &records, event_log log);

    /// All newest records of a topic, in place of what was known.
    void reset(store_topic topic, const std::vector<store_record> &records, const record_arrival &arrival);
    void change(store_topic topic, const std::vector<store_record> &records, const record_arrival &arrival);
    /// Drops the endpoints whose entries lapsed while the store was away and have not come back. Returns when the next of them is due.
    deadline removeOverdueEndpoints(instant now);
    /// Counts the instances that have reported lately.
    void refreshInstanceCount(instant now);
    /// False until the plan, an endpoint and the reports of the other instances have been read. Without the reports this instance would
    /// take the quotas for its own.
    bool hasInitialState() const;

    /// The plan in force; null before the first one has been read.
    const std::shared_ptr<const plan_index> &plan() const;
    plan_version planVersion() const;
    endpoint_table &endpoints();
    const endpoint_table &endpoints() const;
    std::int64_t instanceCount() const;

private:
    using records_handler = void (fleet_state::*)(const std::vector<store_record> &, const record_arrival &);

    /// How the records of one topic are taken in.
    struct topic_handler
    {
        records_handler reset;
        records_handler change;
    };

    static const topic_handler &handlerOf(store_topic topic);

    void resetOperators(const std::vector<store_record> &records, const record_arrival &arrival);
    void changeOperators(const std::vector<store_record> &records, const record_arrival &arrival);
    void resetEndpoints(const std::vector<store_record> &records, const record_arrival &arrival);
    void changeEndpoints(const std::vector<store_record> &records, const record_arrival &arrival);
    void changeMembers(const std::vector<store_record> &records, const record_arrival &arrival);
    void takeOperatorRecord(const store_record &record, std::set<data_centre_id> &evacuated, instant now);
    void takePlan(traffic_plan plan, instant now);
    void setEvacuated(std::set<data_centre_id> evacuated);
    void putEndpoint(const endpoint_entry &entry, instant now);
    /// Removes an endpoint whose entry is gone, unless the entry may have lapsed for lack of the store.
    void loseEntry(const endpoint_id &endpoint, std::string_view cause, const record_arrival &arrival);
    void removeEndpoint(const endpoint_id &endpoint, std::string_view cause);
    void logUnreadable(const store_record &record, const error &cause);

    const record_dialect &m_records;
    event_log m_log;
    std::shared_ptr<const plan_index> m_plan;
    endpoint_table m_endpoints;
    registration_grace_list m_lapsed;
    /// Entries that came before the first plan.
    std::map<endpoint_id, endpoint_entry> m_early;
    member_view m_members;
    std::int64_t m_instanceCount = 1;
    bool m_areMembersKnown = false;
};

} // namespace burdockshelf
