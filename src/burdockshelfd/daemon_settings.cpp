#include "burdockshelfd/daemon_settings.h"

#include "policy/admission_queue.h"
#include "policy/placement.h"
#include "policy/quota_strategy.h"
#include "wire/json_reader.h"

#include <fstream>
#include <iterator>

#include <boost/outcome/try.hpp>

namespace burdockshelf
{

namespace
{

constexpr std::int64_t millisecondsPerDay = 24 * 60 * 60 * 1000;

socket_address readAddress(json_reader &reader, std::string_view key)
{
    const auto parsed = socket_address::parse(reader.nonEmptyText(key));
    if (!parsed) {
        reader.reject(key, "an IP address and a port, for example 127.0.0.1:8080");
        return {};
    }
    return parsed.value();
}

template<typename Duration>
void readDuration(json_reader &reader, std::string_view key, Duration &value, number_range range)
{
    const auto defaultMilliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
    value = std::chrono::milliseconds(reader.integerOr(key, defaultMilliseconds, range));
}

void readListen(json_reader reader, daemon_settings &settings)
{
    settings.callers.listen = readAddress(reader, "callers");
    settings.operatorsListen = readAddress(reader, "operators");
    settings.meshListen = readAddress(reader, "mesh");
}

void readRouter(json_reader reader, router_settings &router)
{
    router.placement = reader.textOr("placement", router.placement);
    if (!makePlacementStrategy(router.placement)) {
        reader.reject("placement", "affinity or random");
    }
    router.queueOrder = reader.textOr("queue_order", router.queueOrder);
    if (!makeQueueOrder(router.queueOrder)) {
        reader.reject("queue_order", "fair or arrival");
    }
    const number_range timeout = {1, millisecondsPerDay};
    readDuration(reader, "charge_timeout_ms", router.chargeTimeout, timeout);
    readDuration(reader, "slot_timeout_ms", router.slotTimeout, timeout);
    readDuration(reader, "claim_timeout_ms", router.claimTimeout, timeout);
    readDuration(reader, "prefill_timeout_ms", router.prefillTimeout, timeout);
    readDuration(reader, "first_event_timeout_ms", router.firstEventTimeout, timeout);
    readDuration(reader, "between_events_timeout_ms", router.betweenEventsTimeout, timeout);
    readDuration(reader, "plain_timeout_ms", router.plainTimeout, timeout);
    router.maxRequests =
        static_cast<std::size_t>(reader.integerOr("max_requests", static_cast<std::int64_t>(router.maxRequests), {1, 1000000}));
}

void readLimits(json_reader reader, http_server_limits &limits)
{
    limits.headers = reader.amountOr("header_bytes", limits.headers, {1024, 1024 * 1024});
    limits.body = reader.amountOr("body_bytes", limits.body, {1024, 256 * 1024 * 1024});
}

} // namespace

outcome<daemon_settings> decodeSettings(std::string_view text)
{
    BOOST_OUTCOME_TRY(reader, json_reader::parse(text, error_code::invalid_settings));
    daemon_settings settings;
    settings.instance = reader.id<instance_id>("instance");
    settings.dataCentre = reader.id<data_centre_id>("data_centre");
    settings.platform = readAddress(reader, "platform");
    readListen(reader.object("listen"), settings);
    if (reader.has("router")) {
        readRouter(reader.object("router"), settings.router);
    }
    if (reader.has("limits")) {
        readLimits(reader.object("limits"), settings.callers.limits);
    }
    readDuration(reader, "shutdown_grace_ms", settings.callers.shutdownGrace, {0, millisecondsPerDay});
    readDuration(reader, "shutdown_timeout_ms", settings.shutdownTimeout, {1, millisecondsPerDay});
    readDuration(reader, "heartbeat_interval_ms", settings.heartbeatInterval, {10, 60000});
    readDuration(reader, "heartbeat_timeout_ms", settings.heartbeatTimeout, {20, 600000});
    readDuration(reader, "lease_ms", settings.roster.lease, {100, 600000});
    readDuration(reader, "takeover_wait_ms", settings.roster.takeoverWait, {1000, 30 * millisecondsPerDay});
    readDuration(reader, "idempotency_window_ms", settings.idempotencyWindow, {1000, 30 * millisecondsPerDay});
    readDuration(reader, "log_retention_ms", settings.logRetention, {1000, 365 * millisecondsPerDay});
    readDuration(reader, "instance_list_interval_ms", settings.instanceListInterval, {10, 60000});
    settings.quotaStrategy = reader.textOr("quota_strategy", settings.quotaStrategy);
    if (makeQuotaStrategy(settings.quotaStrategy) == nullptr) {
        reader.reject("quota_strategy", "moving_shares, single_owner or static_split");
    }
    BOOST_OUTCOME_TRYV(reader.finish());
    settings.router.dataCentre = settings.dataCentre;
    return settings;
}

outcome<daemon_settings> loadSettings(const std::string &file)
{
    std::ifstream stream(file, std::ios::binary);
    if (!stream) {
        return failure(error_code::invalid_settings, file + ": cannot be read");
    }
    const std::string text((std::istreambuf_iterator<char>(stream)), std::istreambuf_iterator<char>());
    auto settings = decodeSettings(text);
    if (!settings) {
        return failure(settings.error().code, file + ": " + settings.error().message);
    }
    return settings;
}

} // namespace burdockshelf
