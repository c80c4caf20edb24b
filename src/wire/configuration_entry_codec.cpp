#include "wire/configuration_entry_codec.h"

#include <array>

namespace burdockshelf
{

namespace
{

constexpr std::array serviceKinds = {
    enum_name<service_kind> {service_kind::model, "model"},
    enum_name<service_kind> {service_kind::plain, "plain"},
};

constexpr std::array endpointRoles = {
    enum_name<endpoint_role> {endpoint_role::prefill, "prefill"},
    enum_name<endpoint_role> {endpoint_role::decode, "decode"},
    enum_name<endpoint_role> {endpoint_role::plain, "plain"},
};

// The upper bound keeps sums of token counts, and their products with small factors, within 64 bits.
constexpr number_range tokenRange = {0, 1'000'000'000'000};
constexpr number_range positiveTokenRange = {1, tokenRange.most};
constexpr number_range weightRange = {0, 1000};
constexpr number_range bytesPerTokenRange = {1, 64};
constexpr number_range slotRange = {1, 100'000};
constexpr number_range priorityRange = {0, 1000};
constexpr number_range durationRange = {1, 86'400'000};

std::chrono::milliseconds milliseconds(json_reader &reader, std::string_view key, std::chrono::milliseconds fallback)
{
    return std::chrono::milliseconds(reader.integerOr(key, fallback.count(), durationRange));
}

} // namespace

void writeEntry(json_writer &writer, const data_centre_settings &settings)
{
    writer.set("region", settings.region);
}

void writeEntry(json_writer &writer, const workspace_settings &settings)
{
    writer.set("rate_tokens_per_s", settings.rate);
    writer.set("burst_tokens", settings.burst);
    if (settings.shareWeights.empty()) {
        return;
    }
    json_writer weights = writer.object("share_weights");
    for (const auto &[dataCentre, weight] : settings.shareWeights) {
        weights.set(dataCentre.value(), weight);
    }
}

void writeEntry(json_writer &writer, const service_settings &settings)
{
    writer.set("kind", enumName(settings.kind, serviceKinds));
    writer.set("path_prefix", settings.pathPrefix);
    writer.set("repeatable", settings.isRetryable);
    writer.set("open_to_all", settings.isAnonymousAllowed);
    writer.set("default_urgency", settings.defaultUrgency);
    writer.set("prompt_bytes_per_token", settings.promptBytesPerToken);
    writer.set("default_max_tokens", settings.defaultMaxTokens);
    writer.set("call_cost_tokens", settings.callCost);
}

void writeEntry(json_writer &writer, const endpoint_settings &settings)
{
    writer.set("service", settings.service);
    writer.set("data_centre", settings.dataCentre);
    writer.set("role", enumName(settings.role, endpointRoles));
    writer.set("address", settings.address.toString());
    writer.set("slots", settings.slots);
    writer.set("checks_fencing", settings.checksFencing);
}

void writeEntry(json_writer &writer, const urgency_class_settings &settings)
{
    writer.set("priority", settings.priority);
    writer.set("first_token_target_ms", settings.firstTokenTarget.count());
    writer.set("between_tokens_target_ms", settings.betweenTokensTarget.count());
    writer.set("max_queue_time_ms", settings.maxQueueTime.count());
}

void readEntry(json_reader &reader, data_centre_settings &settings)
{
    settings.region = reader.id<region_id>("region");
}

void readEntry(json_reader &reader, workspace_settings &settings)
{
    settings.rate = reader.amount<token_rate>("rate_tokens_per_s", tokenRange);
    settings.burst = reader.amount<token_count>("burst_tokens", tokenRange);
    if (!reader.has("share_weights")) {
        return;
    }
    json_reader weights = reader.object("share_weights");
    for (const std::string &name : weights.names()) {
        settings.shareWeights.emplace(name, static_cast<int>(weights.integer(name, weightRange)));
    }
}

void readEntry(json_reader &reader, service_settings &settings)
{
    settings.kind = reader.enumeration("kind", serviceKinds);
    settings.pathPrefix = reader.textOr("path_prefix", "");
    settings.isRetryable = reader.booleanOr("repeatable", settings.isRetryable);
    settings.isAnonymousAllowed = reader.booleanOr("open_to_all", settings.isAnonymousAllowed);
    settings.defaultUrgency = reader.id<urgency_class_id>("default_urgency");
    settings.promptBytesPerToken = reader.integerOr("prompt_bytes_per_token", settings.promptBytesPerToken, bytesPerTokenRange);
    settings.defaultMaxTokens = reader.amountOr("default_max_tokens", settings.defaultMaxTokens, positiveTokenRange);
    settings.callCost = reader.amountOr("call_cost_tokens", settings.callCost, tokenRange);
    const bool isPlain = settings.kind == service_kind::plain;
    if (isPlain != settings.pathPrefix.starts_with('/')) {
        reader.reject("path_prefix", isPlain ? "a path that starts with / for a plain service" : "an empty string for a model service");
    }
}

void readEntry(json_reader &reader, endpoint_settings &settings)
{
    settings.service = reader.id<service_id>("service");
    settings.dataCentre = reader.id<data_centre_id>("data_centre");
    settings.role = reader.enumeration("role", endpointRoles);
    const auto parsed = socket_address::parse(reader.text("address"));
    if (parsed && parsed.value().port != 0) {
        settings.address = parsed.value();
    } else {
        reader.reject("address", "ip:port with a port from 1 to 65535");
    }
    settings.slots = reader.amountOr("slots", settings.slots, slotRange);
    settings.checksFencing = reader.booleanOr("checks_fencing", settings.checksFencing);
}

void readEntry(json_reader &reader, urgency_class_settings &settings)
{
    settings.priority = static_cast<int>(reader.integer("priority", priorityRange));
    settings.firstTokenTarget = milliseconds(reader, "first_token_target_ms", settings.firstTokenTarget);
    settings.betweenTokensTarget = milliseconds(reader, "between_tokens_target_ms", settings.betweenTokensTarget);
    settings.maxQueueTime = milliseconds(reader, "max_queue_time_ms", settings.maxQueueTime);
}

} // namespace burdockshelf
