#include "gateway/fleet_state.h"

#include "gateway/crash_report_codec.h"
#include "gateway/member_codec.h"

#include <array>
#include <utility>

namespace burdockshelf
{

namespace
{

// What is written again after a restore of the store has been written by then.
constexpr std::chrono::milliseconds rewriteTime {60000};

} // namespace

fleet_state::fleet_state(endpoint_table_settings endpoints,
                         registration_grace_settings bounds,
                         const record_dialect &records,
                         event_log log)
    : m_self(endpoints.self)
    , m_maxOrderDelay(bounds.silence)
    , m_records(records)
    , m_log(std::move(log))
    , m_endpoints(endpoints)
    , m_graceList(bounds)
    , m_members(endpoints.self)
    , m_quarantine(std::move(endpoints.self), boot_clock::now())
{
}

const fleet_state::topic_handler &fleet_state::handlerFor(store_topic topic)
{
    static constexpr std::array<topic_handler, followedTopicCount> handlers = {
        topic_handler {&fleet_state::resetOperators, &fleet_state::changeOperators},
        topic_handler {&fleet_state::resetEndpoints, &fleet_state::changeEndpoints},
        topic_handler {&fleet_state::changeMembers, &fleet_state::changeMembers},
        topic_handler {&fleet_state::resetCrashReports, &fleet_state::changeCrashReports},
        topic_handler {&fleet_state::changeRollouts, &fleet_state::changeRollouts},
    };
    return handlers.at(static_cast<std::size_t>(topic));
}

void fleet_state::reset(store_topic topic, const std::vector<store_record> &records, const record_arrival &arrival)
{
    (this->*handlerFor(topic).reset)(records, arrival);
}

void fleet_state::change(store_topic topic, const std::vector<store_record> &records, const record_arrival &arrival)
{
    (this->*handlerFor(topic).change)(records, arrival);
}

void fleet_state::refreshInstanceCount(instant now)
{
    std::vector<instance_id> instances = m_members.instances(now);
    const std::int64_t before = std::exchange(m_instanceCount, static_cast<std::int64_t>(instances.size()));
    if (m_instanceCount != before) {
        m_log.write(log_line("dispatch", "instances_changed").add("count", m_instanceCount).add("before", before));
    }
    m_endpoints.setInstances(std::move(instances), now);
}

bool fleet_state::hasInitialState() const
{
    return m_plan && m_endpoints.size() > 0 && m_areMembersKnown;
}

const std::shared_ptr<const plan_index> &fleet_state::plan() const
{
    return m_plan;
}

plan_version fleet_state::planVersion() const
{
    return m_plan ? m_plan->plan().version : plan_version();
}

endpoint_table &fleet_state::endpoints()
{
    return m_endpoints;
}

const endpoint_table &fleet_state::endpoints() const
{
    return m_endpoints;
}

std::int64_t fleet_state::instanceCount() const
{
    return m_instanceCount;
}

void fleet_state::resetOperators(const std::vector<store_record> &records, const record_arrival &arrival)
{
    if (arrival.isAfterRestore) {
        m_keptEvacuations = m_endpoints.evacuated();
    }
    std::set<data_centre_id> evacuated = m_keptEvacuations;
    for (const store_record &record : records) {
        applyOperatorRecord(record, evacuated, arrival);
    }
    if (!mayBeOlder(arrival)) {
        clearUnlistedOrders(records);
    }
    setEvacuated(std::move(evacuated));
}

void fleet_state::changeOperators(const std::vector<store_record> &records, const record_arrival &arrival)
{
    std::set<data_centre_id> evacuated = m_endpoints.evacuated();
    for (const store_record &record : records) {
        applyOperatorRecord(record, evacuated, arrival);
    }
    setEvacuated(std::move(evacuated));
}

void fleet_state::applyOperatorRecord(const store_record &record, std::set<data_centre_id> &evacuated, const record_arrival &arrival)
{
    if (const auto dataCentre = m_records.evacuationOfKey(record.key)) {
        m_keptEvacuations.erase(*dataCentre);
        if (record.value) {
            evacuated.insert(*dataCentre);
        } else {
            evacuated.erase(*dataCentre);
        }
        return;
    }
    if (!record.value) {
        if (const auto service = m_records.rolloutOfKey(record.key)) {
            clearRolloutOrder(*service);
        }
        return;
    }
    auto decoded = m_records.decodeOperator(record.key, *record.value);
    if (!decoded) {
        logUnreadable(record, decoded.error());
        return;
    }
    if (decoded.value()) {
        if (auto *plan = std::get_if<traffic_plan>(&*decoded.value())) {
            applyPlan(std::move(*plan), arrival.at);
        } else if (const auto *order = std::get_if<rollout_order>(&*decoded.value())) {
            applyRolloutOrder(*order, record, arrival);
        }
    }
}

void fleet_state::applyPlan(traffic_plan plan, instant now)
{
    const plan_version known = planVersion();
    if (m_plan && plan.version <= known) {
        if (plan.version < known) {
            m_log.write(log_line("dispatch", "older_plan_ignored").add("plan", plan.version).add("in_force", known));
        }
        return;
    }
    m_plan = std::make_shared<const plan_index>(std::move(plan));
    m_endpoints.setTargets(m_plan->plan());
    m_endpoints.setColdRates(*m_plan, now);
    m_log.write(log_line("dispatch", "plan_in_force")
                    .add("plan", m_plan->plan().version)
                    .add("before", known)
                    .add("routes", m_plan->plan().routes.size())
                    .add("workspaces", m_plan->plan().workspaces.size()));
    for (const auto &[id, entry] : std::exchange(m_entriesBeforePlan, {})) {
        putEndpoint(entry, now);
    }
}

void fleet_state::setEvacuated(std::set<data_centre_id> evacuated)
{
    if (evacuated == m_endpoints.evacuated()) {
        return;
    }
    log_line line("dispatch", "evacuations_changed");
    line.add("count", evacuated.size());
    for (const data_centre_id &dataCentre : evacuated) {
        line.add("data_centre", dataCentre);
    }
    m_log.write(std::move(line));
    m_endpoints.setEvacuated(std::move(evacuated));
}

bool fleet_state::mayBeOlder(const record_arrival &arrival)
{
    if (arrival.isAfterRestore) {
        m_restoredUntil = deadline::after(arrival.at, rewriteTime);
    }
    return !m_restoredUntil.hasPassed(arrival.at);
}

void fleet_state::resetEndpoints(const std::vector<store_record> &records, const record_arrival &arrival)
{
    const bool isOlder = mayBeOlder(arrival);
    std::set<endpoint_id> listed;
    for (const store_record &record : records) {
        if (record.value) {
            listed.insert(endpoint_id(record.key));
        }
    }
    std::vector<endpoint_id> gone;
    m_endpoints.forEach([&](const endpoint_state &known) {
        if (listed.count(known.entry.id) == 0) {
            gone.push_back(known.entry.id);
        }
    });
    std::erase_if(m_entriesBeforePlan, [&](const auto &entry) { return listed.count(entry.first) == 0; });
    for (const endpoint_id &endpoint : gone) {
        handleMissingEntry(endpoint, "its entry is missing from the newest records", arrival);
    }
    for (const store_record &record : records) {
        applyEndpoint(record, arrival, isOlder);
    }
}

void fleet_state::changeEndpoints(const std::vector<store_record> &records, const record_arrival &arrival)
{
    for (const store_record &record : records) {
        applyEndpoint(record, arrival, false);
    }
}

void fleet_state::applyEndpoint(const store_record &record, const record_arrival &arrival, bool mayBeOlder)
{
    if (!record.value) {
        handleMissingEntry(endpoint_id(record.key), "its entry was deleted", arrival);
        return;
    }
    auto decoded = m_records.decodeEndpoint(record.key, *record.value);
    if (!decoded) {
        logUnreadable(record, decoded.error());
        return;
    }
    if (mayBeOlder && !correctOlderEntry(decoded.value(), arrival.at)) {
        m_log.write(log_line("dispatch", "older_entry_ignored").add("endpoint", decoded.value().id));
        return;
    }
    if (m_plan) {
        putEndpoint(decoded.value(), arrival.at);
    } else {
        m_entriesBeforePlan[decoded.value().id] = decoded.value();
    }
}

bool fleet_state::correctOlderEntry(endpoint_entry &entry, instant now) const
{
    const endpoint_state *known = m_endpoints.find(entry.id);
    if (known == nullptr) {
        return !m_departed.includes({entry.id, entry.startTime}, now);
    }
    entry.isDraining = entry.isDraining || (known->entry.isDraining && known->entry.startTime == entry.startTime);
    return true;
}

void fleet_state::changeMembers(const std::vector<store_record> &records, const record_arrival &arrival)
{
    for (const store_record &record : records) {
        const instance_id instance(record.key);
        if (!record.value) {
            m_members.remove(instance);
            continue;
        }
        const auto report = decodeMemberReport(*record.value);
        if (report) {
            const bool isFresh = m_members.put(instance, report.value(), arrival.at);
            if (isFresh && instance != m_self) {
                m_endpoints.notePeerSpeeds(report.value().speeds, arrival.at);
            }
        } else {
            logUnreadable(record, report.error());
        }
    }
    m_areMembersKnown = true;
    refreshInstanceCount(arrival.at);
}

void fleet_state::resetCrashReports(const std::vector<store_record> &records, const record_arrival &arrival)
{
    for (const store_record &record : records) {
        if (record.value) {
            applyCrashReport(record, decodeStoredCrashReport(*record.value, arrival.at, unixTime()), arrival.at);
        }
    }
}

void fleet_state::changeCrashReports(const std::vector<store_record> &records, const record_arrival &arrival)
{
    for (const store_record &record : records) {
        if (record.value) {
            applyCrashReport(record, decodeCrashReport(*record.value, arrival.at), arrival.at);
        }
    }
}

void fleet_state::applyCrashReport(const store_record &record, outcome<crash_report> &&report, instant now)
{
    if (report) {
        m_quarantine.setReport(instance_id(record.key), std::move(report.value()), now);
    } else {
        logUnreadable(record, report.error());
    }
}

prompt_quarantine &fleet_state::quarantine()
{
    return m_quarantine;
}

void fleet_state::logQuarantineChanges()
{
    for (const quarantine_change &change : m_quarantine.takeChanges()) {
        log_line line("dispatch", change.hasBegun ? "prompt_part_quarantined" : "prompt_part_released");
        line.add("prompt_part", change.subject.part);
        if (change.hasBegun) {
            line.add("for_ms", change.subject.until.remaining(boot_clock::now())).add("crashes", change.subject.crashes.size());
            for (const endpoint_crash &crash : change.subject.crashes) {
                line.add("endpoint", crash.process.id).add("suspect", crash.suspects.front().request);
            }
        }
        m_log.write(std::move(line));
    }
}

void fleet_state::putEndpoint(const endpoint_entry &entry, instant now)
{
    m_graceList.forget(entry.id);
    if (m_endpoints.put(entry, m_plan->findService(entry.service), now)) {
        m_log.write(log_line("dispatch", "endpoint_changed")
                        .add("endpoint", entry.id)
                        .add("service", entry.service)
                        .add("address", entry.address.toString())
                        .add("data_centre", entry.dataCentre)
                        .add("draining", entry.isDraining)
                        .add("cold_ms", entry.coldRemaining));
    }
}

void fleet_state::handleMissingEntry(const endpoint_id &endpoint, std::string_view cause, const record_arrival &arrival)
{
    const endpoint_state *known = m_endpoints.find(endpoint);
    // An entry that is missing after a restore was lost with other records, and is written again like one that expired in an outage.
    const auto silence = arrival.isAfterRestore ? std::chrono::milliseconds::max() : arrival.storeSilence;
    if (known == nullptr || known->entry.isDraining || !m_graceList.keep(endpoint, silence, arrival.at)) {
        removeEndpoint(endpoint, cause);
        return;
    }
    m_log.write(log_line("dispatch", "entry_lapsed").add("endpoint", endpoint).add("cause", cause).add("silence_ms", arrival.storeSilence));
}

deadline fleet_state::removeOverdueEndpoints(instant now)
{
    for (const endpoint_id &endpoint : m_graceList.takeOverdue(now)) {
        removeEndpoint(endpoint, "its entry expired and was not renewed within the grace period");
    }
    return m_graceList.next();
}

void fleet_state::removeEndpoint(const endpoint_id &endpoint, std::string_view cause)
{
    m_entriesBeforePlan.erase(endpoint);
    m_graceList.forget(endpoint);
    if (const endpoint_state *known = m_endpoints.find(endpoint)) {
        m_departed.note({endpoint, known->entry.startTime}, boot_clock::now());
    }
    if (m_endpoints.remove(endpoint)) {
        m_log.write(log_line("dispatch", "endpoint_gone").add("endpoint", endpoint).add("cause", cause));
    }
}

void fleet_state::logUnreadable(const store_record &record, const error &cause)
{
    m_log.write(log_line("dispatch", "record_unreadable").add("key", record.key).add("offset", record.offset).add("cause", cause.message));
}

} // namespace burdockshelf
