#pragma once

#include "metrics/metric_batch.h"
#include "routing/service_level.h"
#include "runtime/sink.h"

#include <cstdint>
#include <map>
#include <string>

namespace burdockshelf
{

/// Collects the metrics of router_task between two batches.
class router_metrics
{
public:
    void noteModelAnswer(const service_id &service, const service_level &level, instant now);
    /// A status of 500 or above counts as a failure of the service.
    void notePlainAnswer(const service_id &service, const service_level &level, int status, instant now);
    void noteRefusal(const service_id &service, const service_level &level, error_code code, bool isNotExecuted);
    /// Counts the refusal of a request that belongs to no known service, workspace or urgency class.
    void noteUnattributedRefusal(error_code code);
    void noteCallerGone(const service_id &service);
    void noteRetry(const service_id &service);
    void noteResume(const service_id &service);
    void notePrefill(const service_id &service);
    void noteWastedPrefill(const service_id &service);

    /// Posts the metrics collected since the last batch. Returns false and keeps them when the receiver's mailbox is full.
    bool post(const sink<metric_batch> &receiver);

private:
    void count(std::string name, std::vector<metric_label> labels);
    void countRequest(const service_id &service, const char *result);
    void addBurn(const service_level &level, service_level_outcome cause);

    std::map<metric_name, std::uint64_t> m_counters;
    std::vector<latency_sample> m_latencies;
    std::vector<service_level_event> m_burn;
};

} // namespace burdockshelf
