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

configuration_task_sinks configurationSinks(const routing_mailboxes &boxes, const routing_sinks &links)
{
    configuration_task_sinks sinks;
    sinks.views = links.views;
    sinks.views.push_back(sinkOf<view_changed>(boxes.roster));
    sinks.views.push_back(sinkOf<view_changed>(boxes.quota));
    sinks.views.push_back(sinkOf<view_changed>(boxes.slots));
    sinks.views.push_back(sinkOf<view_changed>(boxes.claims));
    sinks.views.push_back(sinkOf<view_changed>(boxes.router));
    sinks.claims.push_back(sinkOf<claims_changed>(boxes.claims));
    sinks.advance = sinkOf<replay_advanced>(boxes.roster);
    sinks.append = makeSink<append_request>(links.log);
    sinks.seek = makeSink<seek_request>(links.log);
    sinks.peers = links.peers;
    sinks.reports = links.configurationReports;
    return sinks;
}

roster_outlets rosterOutlets(const routing_mailboxes &boxes, const routing_sinks &links)
{
    roster_outlets outlets;
    outlets.log = links.log;
    outlets.peers = links.peers;
    outlets.authority = links.authority;
    outlets.authority.push_back(sinkOf<authority_changed>(boxes.quota));
    outlets.authority.push_back(sinkOf<authority_changed>(boxes.slots));
    outlets.authority.push_back(sinkOf<authority_changed>(boxes.claims));
    return outlets;
}

router_links routerLinks(const routing_mailboxes &boxes, const routing_sinks &links)
{
    router_links sinks;
    sinks.charges = sinkOf<charge_request>(boxes.quota);
    sinks.settlements = sinkOf<charge_settlement>(boxes.quota);
    sinks.slots = sinkOf<slot_request>(boxes.slots);
    sinks.slotReleases = sinkOf<slot_release>(boxes.slots);
    sinks.claims = sinkOf<claim_request>(boxes.claims);
    sinks.claimEnds = sinkOf<claim_end>(boxes.claims);
    sinks.endpoints = makeSink<endpoint_envelope>(links.endpoints);
    sinks.queueReports = links.queueReports;
    sinks.metrics = links.metrics;
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

// The order of the children is that of the start; a task that another one needs at shutdown comes before it.
routing_supervisor::routing_supervisor(event_loop &loop,
                                       const routing_mailboxes &boxes,
                                       const routing_settings &settings,
                                       const routing_sinks &links)
    : supervisor(loop, "routing", std::make_unique<rest_for_one>())
{
    addChild({"configuration", [&loop, boxes, settings, links] {
                  return std::make_unique<configuration_task>(
                      loop, boxes.configuration, settings.configuration, configurationSinks(boxes, links), random_source());
              }});
    addChild(
        {"roster", [&loop, boxes, settings, links] {
             return std::make_unique<roster_task>(
                 loop, boxes.roster, settings.dataCentre, settings.self, settings.roster, rosterOutlets(boxes, links), random_source());
         }});
    addChild({"quota", [&loop, boxes, settings, links] {
                  return std::make_unique<quota_task>(
                      loop, boxes.quota, settings.quota, makeQuotaStrategy(settings.quotaStrategy), links.peers, random_source());
              }});
    addChild({"slots", [&loop, boxes, settings, links] {
                  return std::make_unique<slot_task>(loop,
                                                     boxes.slots,
                                                     settings.self,
                                                     links.peers,
                                                     makeSink<endpoint_envelope>(links.endpoints),
                                                     settings.slots,
                                                     links.endpointReports);
              }});
    addChild({"claims", [&loop, boxes, settings, links] {
                  return std::make_unique<claim_task>(
                      loop, boxes.claims, claim_ledger(settings.self.incarnation, random_source()), makeSink<append_request>(links.log));
              }});
    addChild({"router", [&loop, boxes, settings, links] {
                  return std::make_unique<router_task>(loop, boxes.router, settings.router, routerLinks(boxes, links), random_source());
              }});
}

} // namespace burdockshelf
