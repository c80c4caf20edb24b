#include "routing/routing_supervisor.h"

#include "routing/claim_task.h"
#include "routing/quota_task.h"
#include "routing/roster_task.h"
#include "routing/router_task.h"

#include <utility>

namespace burdockshelf
{

namespace
{

constexpr std::size_t mailboxCapacity = 65536;

template<typename Message>
std::shared_ptr<mailbox<Message>> makeMailbox(event_loop &loop)
{
    return std::make_shared<mailbox<Message>>(loop, mailboxCapacity);
}

template<typename Part, typename Message>
sink<Part> sinkOf(const std::shared_ptr<mailbox<Message>> &box)
{
    return makeSink<Part>(address<Message>(box));
}

configuration_task_sinks configurationTaskSinks(const routing_mailboxes &mailboxes, const routing_sinks &externalSinks)
{
    configuration_task_sinks sinks;
    sinks.views = externalSinks.views;
    sinks.views.push_back(sinkOf<view_changed>(mailboxes.roster));
    sinks.views.push_back(sinkOf<view_changed>(mailboxes.quota));
    sinks.views.push_back(sinkOf<view_changed>(mailboxes.slots));
    sinks.views.push_back(sinkOf<view_changed>(mailboxes.claims));
    sinks.views.push_back(sinkOf<view_changed>(mailboxes.router));
    sinks.claims.push_back(sinkOf<claims_changed>(mailboxes.claims));
    sinks.advance = sinkOf<replay_advanced>(mailboxes.roster);
    sinks.append = makeSink<append_request>(externalSinks.log);
    sinks.seek = makeSink<seek_request>(externalSinks.log);
    sinks.peers = externalSinks.peers;
    sinks.reports = externalSinks.configurationReports;
    return sinks;
}

roster_task_sinks rosterTaskSinks(const routing_mailboxes &mailboxes, const routing_sinks &externalSinks)
{
    roster_task_sinks sinks;
    sinks.log = externalSinks.log;
    sinks.peers = externalSinks.peers;
    sinks.authority = externalSinks.authority;
    sinks.authority.push_back(sinkOf<authority_changed>(mailboxes.quota));
    sinks.authority.push_back(sinkOf<authority_changed>(mailboxes.slots));
    sinks.authority.push_back(sinkOf<authority_changed>(mailboxes.claims));
    return sinks;
}

router_task_sinks routerTaskSinks(const routing_mailboxes &mailboxes, const routing_sinks &externalSinks)
{
    router_task_sinks sinks;
    sinks.charges = sinkOf<charge_request>(mailboxes.quota);
    sinks.settlements = sinkOf<charge_settlement>(mailboxes.quota);
    sinks.slots = sinkOf<slot_request>(mailboxes.slots);
    sinks.slotReleases = sinkOf<slot_release>(mailboxes.slots);
    sinks.claims = sinkOf<claim_request>(mailboxes.claims);
    sinks.claimEnds = sinkOf<claim_end>(mailboxes.claims);
    sinks.endpoints = makeSink<endpoint_envelope>(externalSinks.endpoints);
    sinks.queueReports = externalSinks.queueReports;
    sinks.metrics = externalSinks.metrics;
    return sinks;
}

} // namespace

routing_mailboxes::routing_mailboxes(event_loop &loop)
    : configuration(makeMailbox<configuration_task_message>(loop))
    , roster(makeMailbox<roster_task_message>(loop))
    , quota(makeMailbox<quota_task_message>(loop))
    , slots(makeMailbox<slot_task_message>(loop))
    , claims(makeMailbox<claim_task_message>(loop))
    , router(makeMailbox<router_task_message>(loop))
{
}

// Children are started in this order and shut down in reverse, so a task that another one needs at shutdown comes before it.
routing_supervisor::routing_supervisor(event_loop &loop,
                                       const routing_mailboxes &mailboxes,
                                       const routing_settings &settings,
                                       const routing_sinks &externalSinks)
    : supervisor(loop, "routing", std::make_unique<rest_for_one>())
{
    addChild(
        {"configuration", [&loop, mailboxes, settings, externalSinks] {
             return std::make_unique<configuration_task>(
                 loop, mailboxes.configuration, settings.configuration, configurationTaskSinks(mailboxes, externalSinks), random_source());
         }});
    addChild({"roster", [&loop, mailboxes, settings, externalSinks] {
                  return std::make_unique<roster_task>(loop,
                                                       mailboxes.roster,
                                                       settings.dataCentre,
                                                       settings.self,
                                                       settings.roster,
                                                       rosterTaskSinks(mailboxes, externalSinks),
                                                       random_source());
              }});
    addChild(
        {"quota", [&loop, mailboxes, settings, externalSinks] {
             return std::make_unique<quota_task>(
                 loop, mailboxes.quota, settings.quota, makeQuotaStrategy(settings.quotaStrategy), externalSinks.peers, random_source());
         }});
    addChild({"slots", [&loop, mailboxes, settings, externalSinks] {
                  return std::make_unique<slot_task>(loop,
                                                     mailboxes.slots,
                                                     settings.self,
                                                     externalSinks.peers,
                                                     makeSink<endpoint_envelope>(externalSinks.endpoints),
                                                     settings.slots,
                                                     externalSinks.endpointReports);
              }});
    addChild({"claims", [&loop, mailboxes, settings, externalSinks] {
                  return std::make_unique<claim_task>(loop,
                                                      mailboxes.claims,
                                                      claim_ledger(settings.self.incarnation, random_source()),
                                                      makeSink<append_request>(externalSinks.log));
              }});
    addChild({"router", [&loop, mailboxes, settings, externalSinks] {
                  return std::make_unique<router_task>(
                      loop, mailboxes.router, settings.router, routerTaskSinks(mailboxes, externalSinks), random_source());
              }});
}

} // namespace burdockshelf
