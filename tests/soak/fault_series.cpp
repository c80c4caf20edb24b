#include "fault_series.h"

#include <array>
#include <csignal>
#include <utility>

namespace burdockshelf
{

using std::chrono::milliseconds;
using namespace std::chrono_literals;

fault_series::fault_series(
    event_loop &loop, soak_site &site, soak_judge &judge, notice_judge &notices, configuration_judge &configurations, random_source &random)
    : m_site(site)
    , m_judge(judge)
    , m_notices(notices)
    , m_configurations(configurations)
    , m_random(random)
    , m_faultyEndpoints(loop, site.store(), judge, random)
{
}

void fault_series::begin(std::int64_t spacing)
{
    m_spacing = spacing;
    m_isInjecting = true;
}

void fault_series::end()
{
    m_isInjecting = false;
}

void fault_series::advance(instant now)
{
    for (std::size_t i = 0; i < m_planned.size();) {
        if (!m_planned[i].at.hasPassed(now)) {
            ++i;
            continue;
        }
        const auto act = std::move(m_planned[i].act);
        m_planned.erase(m_planned.begin() + static_cast<std::ptrdiff_t>(i));
        act();
    }
    if (m_isInjecting && m_nextFault.hasPassed(now)) {
        m_nextFault = deadline::after(now, m_spacing * randomTime(60, 500));
        injectFault();
    }
}

void fault_series::injectFault()
{
    static constexpr std::array<fault_action, 15> actions = {
        &fault_series::failEndpointLink,
        &fault_series::failEndpointLink,
        &fault_series::failStoreLink,
        &fault_series::stopGateway,
        &fault_series::killGateway,
        &fault_series::endGateway,
        &fault_series::failStore,
        &fault_series::discardHistory,
        &fault_series::flapEndpoint,
        &fault_series::listEndlessEndpoint,
        &fault_series::listRepeatingEndpoint,
        &fault_series::putOddEntry,
        &fault_series::announceLeaving,
        &fault_series::pauseEndpoint,
        &fault_series::drainEndpoint,
    };
    (this->*actions.at(m_random.below(actions.size())))();
}

void fault_series::failEndpointLink()
{
    const std::size_t index = m_random.below(m_site.endpoints().size());
    const auto fault = static_cast<link_fault>(1 + m_random.below(4));
    m_site.endpoints()[index].link->setFault(fault, randomTime(5, 300));
    m_notices.noteLinkFault(m_site.endpoints()[index].id);
    m_judge.noteFault("link of " + m_site.endpoints()[index].id + ", kind " + std::to_string(static_cast<int>(fault)));
    const milliseconds time = randomTime(100, 2000);
    m_configurations.noteEndpointFault(m_site.endpoints()[index].id, boot_clock::now(), boot_clock::now() + time);
    later(time, [this, index] {
        m_site.endpoints()[index].link->setFault(link_fault::none);
        m_notices.noteLinkFault(m_site.endpoints()[index].id);
    });
}

void fault_series::failStoreLink()
{
    const std::size_t index = m_random.below(m_site.gateways().size());
    const auto fault = static_cast<link_fault>(1 + m_random.below(4));
    m_site.gateways()[index].storeLink->setFault(fault, randomTime(5, 600));
    m_judge.noteFault("store link of " + m_site.gateways()[index].name + ", kind " + std::to_string(static_cast<int>(fault)));
    const milliseconds time = randomTime(100, 3000);
    noteGatewayFault(m_site.gateways()[index], time);
    later(time, [this, index] { m_site.gateways()[index].storeLink->setFault(link_fault::none); });
}

void fault_series::stopGateway()
{
    soak_gateway *target = pickRunning();
    if (target == nullptr) {
        return;
    }
    m_judge.noteFault("stop " + target->name);
    target->process.signal(SIGSTOP);
    target->state = gateway_state::stopped;
    target->disturbedSince = boot_clock::now();
    excuse(*target);
    const milliseconds time = randomTime(50, 2500);
    noteGatewayFault(*target, time);
    later(time, [this, target] {
        target->process.signal(SIGCONT);
        target->state = gateway_state::running;
        m_judge.noteDisturbed(indexOf(*target), target->disturbedSince, boot_clock::now());
        excuse(*target);
    });
}

void fault_series::killGateway()
{
    soak_gateway *target = pickRunning();
    if (target == nullptr) {
        return;
    }
    m_judge.noteFault("kill " + target->name);
    target->process.kill();
    target->state = gateway_state::ending;
    target->disturbedSince = boot_clock::now();
    excuse(*target);
    const milliseconds time = randomTime(20, 800);
    noteGatewayFault(*target, time);
    later(time, [this, target] {
        m_configurations.noteRestart(indexOf(*target), boot_clock::now());
        const auto started = m_site.startGateway(*target);
        if (!started) {
            m_judge.fail("start", started.error().message);
        }
        m_judge.noteDisturbed(indexOf(*target), target->disturbedSince, boot_clock::now());
        excuse(*target);
    });
}

void fault_series::endGateway()
{
    soak_gateway *target = pickRunning();
    if (target == nullptr) {
        return;
    }
    m_judge.noteFault("end " + target->name);
    target->process.signal(SIGTERM);
    target->state = gateway_state::ending;
    target->disturbedSince = boot_clock::now();
    excuse(*target);
    const milliseconds time = soak_site::graceTime + 100ms;
    noteGatewayFault(*target, time);
    later(time, [this, target] {
        const auto ended = target->process.wait(0ms);
        if (!ended) {
            m_judge.fail("ends within its grace", target->name);
            target->process.kill();
        } else if (ended.value() != 0) {
            m_judge.fail("ends with status 0", target->name + " ended with " + std::to_string(ended.value()));
        }
        m_configurations.noteRestart(indexOf(*target), boot_clock::now());
        const auto started = m_site.startGateway(*target);
        if (!started) {
            m_judge.fail("start", started.error().message);
        }
        m_judge.noteDisturbed(indexOf(*target), target->disturbedSince, boot_clock::now());
        excuse(*target);
    });
}

void fault_series::failStore()
{
    const auto availability = m_random.below(2) == 0 ? standin_store::availability::refusing : standin_store::availability::silent;
    m_site.store().setAvailability(availability);
    m_judge.noteFault("store, mood " + std::to_string(static_cast<int>(availability)));
    const milliseconds time = randomTime(100, 2500);
    m_configurations.noteStoreFault(boot_clock::now(), boot_clock::now() + time);
    later(time, [this] { m_site.store().setAvailability(standin_store::availability::serving); });
}

void fault_series::discardHistory()
{
    m_judge.noteFault("history of the endpoints is gone");
    m_site.store().discardHistory("keyed.servers");
}

void fault_series::flapEndpoint()
{
    const std::size_t index = m_random.below(m_site.endpoints().size());
    if (!std::exchange(m_site.endpoints()[index].isListed, false)) {
        return;
    }
    m_judge.noteFault("entry of " + m_site.endpoints()[index].id + " is dropped");
    m_site.store().drop("keyed.servers", m_site.endpoints()[index].id);
    later(randomTime(100, 1500), [this, index] {
        m_site.endpoints()[index].isListed = true;
        m_site.publishEndpoint(m_site.endpoints()[index]);
    });
}

void fault_series::listEndlessEndpoint()
{
    m_judge.noteFault("an endpoint writes bytes without end");
    m_faultyEndpoints.listEndless();
    later(randomTime(100, 1500), [this] { m_faultyEndpoints.dropEndless(); });
}

void fault_series::listRepeatingEndpoint()
{
    m_judge.noteFault("an endpoint writes earlier refusals once more");
    m_faultyEndpoints.listRepeating();
    later(randomTime(100, 1500), [this] { m_faultyEndpoints.dropRepeating(); });
}

void fault_series::putOddEntry()
{
    m_judge.noteFault("an odd entry among those of the endpoints");
    m_faultyEndpoints.putOddEntry();
    later(randomTime(100, 3000), [this] { m_faultyEndpoints.dropOddEntries(); });
}

void fault_series::announceLeaving()
{
    const std::size_t index = m_random.below(m_site.endpoints().size());
    soak_endpoint &target = m_site.endpoints()[index];
    m_judge.noteFault(target.id + " leaves");
    target.backend->setLeaving();
    // It starts again under its id while the store may still list the process before it.
    later(randomTime(500, 3000), [this, index] {
        soak_endpoint &restarted = m_site.endpoints()[index];
        restarted.backend->restart();
        m_notices.noteRestart(restarted.id);
        if (restarted.isListed) {
            m_site.publishEndpoint(restarted);
        }
    });
}

void fault_series::pauseEndpoint()
{
    soak_endpoint &target = m_site.endpoints()[m_random.below(m_site.endpoints().size())];
    static constexpr std::array<const char *, 6> times = {"1", "2", "0.7", "1.25", "soon", "-3"};
    const std::string time = times.at(m_random.below(times.size()));
    m_judge.noteFault(target.id + " turns requests away with Retry-After " + time);
    target.backend->setPause(time);
    later(randomTime(50, 2500), [backend = target.backend.get()] { backend->setPause(std::nullopt); });
}

void fault_series::drainEndpoint()
{
    const std::size_t index = m_random.below(m_site.endpoints().size());
    soak_endpoint &target = m_site.endpoints()[index];
    if (!std::exchange(target.isListed, false)) {
        return;
    }
    const bool isAnnounced = m_random.below(2) == 0;
    m_judge.noteFault(target.id + (isAnnounced ? " drains" : " is dropped for long"));
    if (isAnnounced) {
        m_site.publishEndpoint(target, "draining");
    } else {
        m_site.store().drop("keyed.servers", target.id);
    }
    m_configurations.noteLeaving(target.id, boot_clock::now());
    later(randomTime(500, 4500), [this, index] {
        soak_endpoint &restarted = m_site.endpoints()[index];
        restarted.isListed = true;
        restarted.backend->restart();
        m_notices.noteRestart(restarted.id);
        m_configurations.noteReturn(restarted.id);
        m_site.publishEndpoint(restarted);
    });
}

void fault_series::excuse(const soak_gateway &target)
{
    m_notices.noteDisturbed(indexOf(target));
}

std::size_t fault_series::indexOf(const soak_gateway &target)
{
    return static_cast<std::size_t>(&target - m_site.gateways().data());
}

void fault_series::noteGatewayFault(const soak_gateway &target, milliseconds time)
{
    const instant now = boot_clock::now();
    m_configurations.noteGatewayFault(indexOf(target), now, now + time);
}

void fault_series::later(milliseconds time, std::function<void()> act)
{
    m_planned.push_back({deadline::after(boot_clock::now(), time), std::move(act)});
}

soak_gateway *fault_series::pickRunning()
{
    soak_gateway &target = m_site.gateways()[m_random.below(m_site.gateways().size())];
    return target.state == gateway_state::running ? &target : nullptr;
}

milliseconds fault_series::randomTime(std::int64_t least, std::int64_t most)
{
    return milliseconds(least + static_cast<std::int64_t>(m_random.below(static_cast<std::uint64_t>(most - least + 1))));
}

} // namespace burdockshelf
