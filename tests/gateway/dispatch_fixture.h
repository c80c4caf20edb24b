#pragma once

#include "gateway/dispatch_task.h"
#include "platform/platform.h"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace burdockshelf
{

/// A dispatcher whose other tasks are replaced by mailboxes, for tests of what it sends to them.
struct dispatch_fixture
{
    static constexpr std::size_t capacity = 1000;

    event_loop loop;
    platform_adapter adapter;
    std::shared_ptr<mailbox<dispatch_message>> dispatcherBox = std::make_shared<mailbox<dispatch_message>>(loop, capacity);
    std::shared_ptr<mailbox<caller_server_message>> callersBox = std::make_shared<mailbox<caller_server_message>>(loop, capacity);
    std::shared_ptr<mailbox<endpoint_client_message>> endpointsBox;
    std::shared_ptr<mailbox<quota_broker_message>> quotasBox;
    std::shared_ptr<mailbox<version_message>> versionsBox = std::make_shared<mailbox<version_message>>(loop, capacity);
    std::vector<caller_server_message> toCallers;
    std::vector<endpoint_client_message> toEndpoints;
    std::vector<quota_broker_message> toQuotas;
    std::vector<version_message> toVersions;
    std::unique_ptr<dispatch_task> dispatcher;

    explicit dispatch_fixture(std::size_t endpointsCapacity = capacity,
                              std::size_t quotasCapacity = capacity,
                              const std::string &initialConfiguration = configuration(3))
        : endpointsBox(std::make_shared<mailbox<endpoint_client_message>>(loop, endpointsCapacity))
        , quotasBox(std::make_shared<mailbox<quota_broker_message>>(loop, quotasCapacity))
    {
        attachReceivers();
        dispatch_addresses to;
        to.callers = address(callersBox);
        to.endpoints = address(endpointsBox);
        to.quotas = address(quotasBox);
        to.versions = address(versionsBox);
        dispatch_settings settings;
        settings.instance = instance_id("me");
        settings.dataCentre = data_centre_id("z");
        dispatcher = std::make_unique<dispatch_task>(loop, dispatcherBox, settings, adapter.dialects(), to, event_log(), random_source(7));
        CHECK_TRUE(dispatcher->start().has_value());
        post(topic_snapshot {store_topic::operators, {{"config", initialConfiguration, store_offset(1)}}});
        post(topic_snapshot {store_topic::endpoints,
                             {{"p", endpointEntry(), store_offset(1)}, {"s", streamEndpointEntry(), store_offset(1)}}});
        post(topic_snapshot {store_topic::members, {}});
        run(std::chrono::milliseconds(20));
    }

    void attachReceivers()
    {
        callersBox->attach([this](caller_server_message &&message) { toCallers.push_back(std::move(message)); });
        endpointsBox->attach([this](endpoint_client_message &&message) { toEndpoints.push_back(std::move(message)); });
        quotasBox->attach([this](quota_broker_message &&message) { toQuotas.push_back(std::move(message)); });
        versionsBox->attach([this](version_message &&message) { toVersions.push_back(std::move(message)); });
    }

    static std::string configuration(int version)
    {
        return R"({"version":)" + std::to_string(version) + R"(,"routes":[
 {"name":"safe","host":"h","path_prefix":"/safe/","kind":"safe","timeout_ms":1500,"service":"plain","max_attempts":2}],
 "services":[{"name":"plain","max_conns":100}],
 "tenants":[{"name":"w","api_keys":["k1"],"unit":"tokens","plain_tokens":200,"rate_per_s":470000,"burst":470000}]})";
    }

    /// As configuration(), with a route whose streams may be resumed, to a further service.
    static std::string resumableConfiguration(int version)
    {
        std::string text = configuration(version);
        const std::string route = R"({"name":"events","host":"h","path_prefix":"/events/","kind":"streaming","timeout_ms":1500,)"
                                  R"("service":"streams","max_attempts":2,"resumable":true},)";
        text.insert(text.find(R"({"name":"safe")"), route);
        text.insert(text.find(R"({"name":"plain")"), R"({"name":"streams","max_conns":100},)");
        return text;
    }

    static std::string endpointEntry()
    {
        return R"({"service":"plain","address":"127.0.0.1:1","zone":"z","slots":8,"state":"ready"})";
    }

    static std::string streamEndpointEntry()
    {
        return R"({"service":"streams","address":"127.0.0.1:2","zone":"z","slots":8,"state":"ready","version":"v1"})";
    }

    void post(dispatch_message message)
    {
        CHECK(dispatcherBox->post(std::move(message)) == post_result::delivered);
    }

    void run(std::chrono::milliseconds time)
    {
        timer end(loop, [this] { loop.stop(); });
        end.start(deadline::after(boot_clock::now(), time));
        loop.run();
    }

    void setPlan(int version)
    {
        setConfiguration(configuration(version), version);
    }

    void setConfiguration(const std::string &text, int version)
    {
        post(topic_update {store_topic::operators, {{"config", text, store_offset(version)}}});
    }

    void arrive(std::int64_t flow)
    {
        http_request request;
        request.method = "GET";
        request.target = "/safe/x";
        request.headers = {{"Host", "h"}, {"X-Attempt-Id", "a1"}, {"X-Deadline-Ms", "1000"}, {"Authorization", "Bearer k1"}};
        post(request_arrived {flow_id(flow), std::move(request), boot_clock::now()});
    }

    bool hasSentAttempt() const
    {
        return std::any_of(toEndpoints.begin(), toEndpoints.end(), [](const endpoint_client_message &message) {
            return std::holds_alternative<open_attempt>(message);
        });
    }

    /// Whether the request has been admitted, so that its quota is asked for.
    bool isAdmitted(std::int64_t flow) const
    {
        return std::any_of(toQuotas.begin(), toQuotas.end(), [flow](const quota_broker_message &message) {
            const auto *request = std::get_if<quota_request>(&message);
            return request != nullptr && request->flow == flow_id(flow);
        });
    }

    /// Number of messages of one type to the callers.
    template<typename Message>
    std::size_t countOf() const
    {
        return static_cast<std::size_t>(std::count_if(toCallers.begin(), toCallers.end(), [](const caller_server_message &message) {
            return std::holds_alternative<Message>(message);
        }));
    }

    /// The complete response that the caller of a request has got; nullptr when there is none.
    const http_response *responseTo(std::int64_t flow) const
    {
        for (const caller_server_message &message : toCallers) {
            const auto *response = std::get_if<caller_full_response>(&message);
            if (response != nullptr && response->flow == flow_id(flow)) {
                return &response->response;
            }
        }
        return nullptr;
    }
};

} // namespace burdockshelf
