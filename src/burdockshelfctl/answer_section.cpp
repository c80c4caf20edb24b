#include "burdockshelfctl/answer_section.h"

namespace burdockshelf
{

namespace
{

// Limits that keep sums of quotas and times within 64 bits with a wide margin.
constexpr answer_range tokenRange = {1, 1'000'000'000'000};
constexpr answer_range timeRange = {1, 86'400'000};
constexpr answer_range priorityRange = {0, 100};
constexpr answer_range slotRange = {1, 100'000};
constexpr answer_range bytesPerTokenRange = {1, 16};

bool isModel(const service_settings &settings)
{
    return settings.kind == service_kind::model;
}

bool isPlain(const service_settings &settings)
{
    return settings.kind == service_kind::plain;
}

constexpr answer_field<urgency_class_settings> urgencyClassFields[] = {
    answerField<urgency_class_settings, &urgency_class_settings::priority>(
        {"priority", "How urgent is it? 0 is the most urgent", "a whole number from 0 to 100", ""}, priorityRange),
    answerField<urgency_class_settings, &urgency_class_settings::firstTokenTarget>(
        {"first_token_within_ms", "Within how many milliseconds should an answer begin", "a whole number from 1 to 86400000", "1200"},
        timeRange),
    answerField<urgency_class_settings, &urgency_class_settings::betweenTokensTarget>(
        {"between_tokens_within_ms", "How many milliseconds may pass between two tokens", "a whole number from 1 to 86400000", "28"},
        timeRange),
    answerField<urgency_class_settings, &urgency_class_settings::maxQueueTime>(
        {"wait_at_most_ms",
         "How many milliseconds may a request wait for its start before it is refused",
         "a whole number from 1 to 86400000",
         "10000"},
        timeRange),
};

constexpr answer_field<data_centre_settings> dataCentreFields[] = {
    answerField<data_centre_settings, &data_centre_settings::region>(
        {"region", "Which region is it in", "a name of lower-case letters, digits, '.', '_' and '-'", ""}),
};

constexpr answer_field<workspace_settings> workspaceFields[] = {
    answerField<workspace_settings, &workspace_settings::rate>(
        {"tokens_per_second", "How many tokens per second did it buy", "a whole number from 1 to 1000000000000", ""}, tokenRange),
    answerField<workspace_settings, &workspace_settings::burst>(
        {"burst_tokens", "How many tokens may it use at once after a pause", "a whole number from 1 to 1000000000000", ""}, tokenRange),
};

constexpr answer_field<service_settings> serviceFields[] = {
    answerField<service_settings, &service_settings::kind>(
        {"kind", "Is it a language model or a plain HTTP service (model, plain)", "model or plain", "model"}),
    answerField<service_settings, &service_settings::pathPrefix>(
        {"path_prefix", "With what do the paths of its calls begin", "a path that begins with '/', for example /bookings", ""},
        {},
        &isPlain),
    answerField<service_settings, &service_settings::isRetryable>(
        {"calls_may_be_repeated",
         "May a call be sent again after a fault? Say no when a second run does harm, as with a booking",
         "yes or no",
         "no"}),
    answerField<service_settings, &service_settings::isAnonymousAllowed>(
        {"open_to_all", "May everybody call it without a key", "yes or no", "no"}),
    answerField<service_settings, &service_settings::defaultUrgency>(
        {"urgency_class", "Which urgency class do its calls have when the caller names none", "the name of an urgency class", ""}),
    answerField<service_settings, &service_settings::promptBytesPerToken>(
        {"prompt_bytes_per_token", "How many bytes of a prompt make a token, at the least", "a whole number from 1 to 16", "2"},
        bytesPerTokenRange,
        &isModel),
    answerField<service_settings, &service_settings::defaultMaxTokens>({"default_max_tokens",
                                                                        "How many tokens may an answer have when the caller sets no limit",
                                                                        "a whole number from 1 to 1000000000000",
                                                                        "256"},
                                                                       tokenRange,
                                                                       &isModel),
    answerField<service_settings, &service_settings::callCost>(
        {"call_cost_tokens", "How many tokens is a call charged", "a whole number from 1 to 1000000000000", "1"}, tokenRange, &isPlain),
};

constexpr answer_field<endpoint_settings> endpointFields[] = {
    answerField<endpoint_settings, &endpoint_settings::service>({"service", "Which service does it run", "the name of a service", ""}),
    answerField<endpoint_settings, &endpoint_settings::dataCentre>(
        {"data_centre", "In which data centre is it", "the name of a data centre", ""}),
    answerField<endpoint_settings, &endpoint_settings::role>(
        {"role", "Does it prefill or decode for a model, or run a plain service (prefill, decode, plain)", "prefill, decode or plain", ""}),
    answerField<endpoint_settings, &endpoint_settings::address>(
        {"address", "What are its IP number and port", "ip:port with a port from 1 to 65535, for example 10.0.0.7:8000", ""}),
    answerField<endpoint_settings, &endpoint_settings::slots>(
        {"slots", "How many requests can it hold at the same time", "a whole number from 1 to 100000", "20"}, slotRange),
    answerField<endpoint_settings, &endpoint_settings::checksFencing>(
        {"checks_fencing", "Does it refuse orders with an old fencing token? Say no when you do not know", "yes or no", "no"}),
};

} // namespace

const answer_section<urgency_class_id, urgency_class_settings> urgencyClassSection = {
    "urgency_classes",
    "urgency class",
    "Urgency classes say how fast requests must be answered and which go first when there is not room for all.",
    &configuration::urgencyClasses,
    urgencyClassFields};

const answer_section<data_centre_id, data_centre_settings> dataCentreSection = {
    "data_centres",
    "data centre",
    "A data centre is a zone that can fail or be taken out of service as a whole.",
    &configuration::dataCentres,
    dataCentreFields};

const answer_section<workspace_id, workspace_settings> workspaceSection = {
    "workspaces",
    "workspace",
    "A workspace is a customer. It may use as many tokens as it bought, over all data centres together.",
    &configuration::workspaces,
    workspaceFields};

const answer_section<service_id, service_settings> serviceSection = {
    "services",
    "service",
    "A service is a language model or a plain HTTP service that callers use.",
    &configuration::services,
    serviceFields};

const answer_section<endpoint_id, endpoint_settings> endpointSection = {
    "endpoints",
    "endpoint",
    "An endpoint is one back end of a service, with an address of its own.",
    &configuration::endpoints,
    endpointFields};

} // namespace burdockshelf
