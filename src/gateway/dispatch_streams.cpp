// Streams that callers resume, and the versions that began them.

#include "gateway/dispatch_task.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

// Two reads at the store take some ten milliseconds.
constexpr milliseconds lookupTimeout {600};
// Recording takes a few calls, after a delay of up to 100 ms. A store that does not record may not keep an instance from serving its other
// routes.
constexpr milliseconds maxInitialVersionsWait {1000};
constexpr milliseconds minOpenStreamsInterval {250};
// Bounds the writes of all instances together to a hundred a second.
constexpr milliseconds openStreamsIntervalPerInstance {10};
// With ids of the greatest length, a record of so many streams takes a quarter of a megabyte, which is the most that the store accepts.
constexpr std::size_t maxRecordedStreams = 3500;

milliseconds openStreamsInterval(std::int64_t instances)
{
    return std::max(minOpenStreamsInterval, openStreamsIntervalPerInstance * instances);
}

std::vector<service_id> servicesOf(const traffic_route &route)
{
    std::vector<service_id> services;
    for (const route_target &target : route.targets) {
        services.push_back(target.service);
    }
    return services;
}

bool leadsTo(const traffic_route &route, const service_id &service)
{
    return std::any_of(route.targets.begin(), route.targets.end(), [&](const route_target &target) { return target.service == service; });
}

bool contains(const service_versions &versions, const stream_origin &origin)
{
    const auto found = versions.find(origin.service);
    return found != versions.end() && found->second.count(origin.version) > 0;
}

bool isMixed(const service_versions &versions, const service_id &service)
{
    const auto found = versions.find(service);
    return found != versions.end() && found->second.size() > 1;
}

} // namespace

void dispatch_task::resume(flow_id flow, waiting_request &&request)
{
    const admitted_request &admitted = *request.admission.request;
    const instant now = boot_clock::now();
    if (const auto known = m_streams.find(admitted.facts.resumedAttempt, now)) {
        resumeAt(flow, std::move(request), *known, "own");
        return;
    }
    if (!m_outbox.toVersions(stream_lookup {flow, admitted.facts.resumedAttempt, servicesOf(*admitted.route)})) {
        refuseResumption(flow, request.admission, refusal_cause::stream_lookup_failed);
        return;
    }
    m_deadlines.set(flow, std::min(deadline::after(now, lookupTimeout), admitted.facts.callerDeadline));
    m_awaitingOrigin.emplace(flow, std::move(request));
}

void dispatch_task::apply(stream_found &&found)
{
    auto waiting = m_awaitingOrigin.extract(found.flow);
    if (waiting.empty()) {
        // The caller has disconnected in the meantime, or the response is late.
        return;
    }
    m_deadlines.remove(found.flow);
    if (found.origin) {
        resumeAt(found.flow, std::move(waiting.mapped()), *found.origin, "store");
        return;
    }
    refuseResumption(
        found.flow, waiting.mapped().admission, found.isCertain ? refusal_cause::stream_unknown : refusal_cause::stream_lookup_failed);
}

void dispatch_task::resumeAt(flow_id flow, waiting_request &&request, const stream_origin &origin, std::string_view source)
{
    admitted_request &admitted = *request.admission.request;
    if (!leadsTo(*admitted.route, origin.service) || !contains(m_fleet.endpoints().versions(), origin)) {
        refuseResumption(flow, request.admission, refusal_cause::stream_version_gone);
        return;
    }
    admitted.origin = origin;
    m_requests.writeResumed(admitted.facts, origin, source);
    m_outbox.count("streams_resumed_total", "source", source);
    charge(flow, std::move(request));
}

void dispatch_task::refuseResumption(flow_id flow, admission_decision &decision, refusal_cause cause)
{
    refusal_facts refusal;
    refusal.cause = cause;
    const refusal_decision decided = decideRefusal(refusal, boot_clock::now());
    decision.cause = decided.cause;
    decision.retryAfter = decided.retryAfter;
    refuse(flow, decision, decision.request->facts);
}

void dispatch_task::apply(versions_recorded &&recorded)
{
    m_recordedVersions = std::move(recorded.versions);
    updateReadiness();
    if (!m_openStreamsTimer.isArmed()) {
        publishOpenStreams();
    }
}

void dispatch_task::perform(active_flow &flow, const fix_origin &action)
{
    const forward_facts &facts = flow.flow.request().facts;
    const instant now = boot_clock::now();
    m_streams.begin(facts.id, action.origin, facts.callerDeadline, now);
    // A caller names the try that began its stream, however often it has resumed it.
    m_streams.begin(facts.resumedAttempt, action.origin, facts.callerDeadline, now);
}

void dispatch_task::noteRecordedVersions(instant now)
{
    if (m_haveVersionsBeenAwaited || !m_fleet.hasInitialState()) {
        return;
    }
    if (m_versionsAwaitedUntil.isNever()) {
        m_versionsAwaitedUntil = deadline::after(now, maxInitialVersionsWait);
    }
    const bool areRecorded = std::all_of(m_publishedVersions.begin(), m_publishedVersions.end(), [this](const auto &entry) {
        return m_recordedVersions.count(entry.first) > 0;
    });
    m_haveVersionsBeenAwaited = areRecorded || m_versionsAwaitedUntil.hasPassed(now);
}

bool dispatch_task::hasInitialState() const
{
    return m_fleet.hasInitialState() && m_haveVersionsBeenAwaited;
}

void dispatch_task::endStream(const forward_facts &facts)
{
    m_streams.end(facts.id);
    m_streams.end(facts.resumedAttempt);
}

void dispatch_task::publishVersions()
{
    if (!m_fleet.plan()) {
        return;
    }
    service_versions registered;
    const service_versions known = m_fleet.endpoints().versions();
    for (const traffic_route &route : m_fleet.plan()->plan().routes) {
        for (const route_target &target : route.targets) {
            const auto found = known.find(target.service);
            if (route.isResumable && found != known.end()) {
                registered.insert(*found);
            }
        }
    }
    // A message that is dropped is sent with the next change or report.
    if (registered != m_publishedVersions && m_outbox.toVersions(versions_registered {registered})) {
        m_publishedVersions = std::move(registered);
    }
}

void dispatch_task::publishOpenStreams()
{
    const bool isAnyMixed =
        std::any_of(m_recordedVersions.begin(), m_recordedVersions.end(), [](const auto &entry) { return entry.second.size() > 1; });
    if (!isAnyMixed) {
        if (m_recordedStreams && m_outbox.toVersions(open_streams {})) {
            m_recordedStreams.reset();
        }
        return;
    }
    const instant now = boot_clock::now();
    m_openStreamsTimer.start(deadline::after(now, openStreamsInterval(m_fleet.instanceCount())));
    if (m_recordedStreams == m_streams.changeCount()) {
        return;
    }
    std::vector<open_stream> open = m_streams.newest(maxRecordedStreams, now);
    std::erase_if(open, [this](const open_stream &stream) { return !isMixed(m_recordedVersions, stream.origin.service); });
    if (m_outbox.toVersions(open_streams {std::move(open)})) {
        m_recordedStreams = m_streams.changeCount();
    }
}

} // namespace burdockshelf
