#pragma once

#include "core/outcome.h"
#include "forwarding/rollout_types.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockshelf
{

/// Key of the record with the decision about the rollout of a service. The other records of the topic are reports, whose keys are the ids
/// of their instances.
std::string rolloutDecisionKey(const service_id &service);
/// The service whose decision has the key; nullopt for the key of a report.
std::optional<service_id> serviceOfDecisionKey(const std::string &key);

/// Deadlines are written as Unix times, since the record is read by instances that start later.
std::string encodeRolloutDecision(const rollout_decision &decided, instant now, std::chrono::milliseconds unixNow);
outcome<rollout_decision>
decodeRolloutDecision(const service_id &service, std::string_view text, instant now, std::chrono::milliseconds unixNow);

std::string encodeRolloutReports(const std::vector<rollout_report> &reports);
outcome<std::vector<rollout_report>> decodeRolloutReports(std::string_view text);

} // namespace burdockshelf
