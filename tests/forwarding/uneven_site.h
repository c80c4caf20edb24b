#pragma once

#include "forwarding/endpoint_table.h"
#include "forwarding/uneven_site_load.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace burdockshelf
{

/// Discrete-event model of instances that place requests at endpoints with slots and a queue. Each instance has an endpoint_table of its
/// own, which learns from the responses only. The seed is fixed.
class uneven_site
{
public:
    uneven_site(uneven_site_load load, uneven_site_strategy strategy)
        : m_load(std::move(load))
        , m_strategy(strategy)
    {
        traffic_plan plan;
        traffic_route route;
        route.target = std::chrono::milliseconds(std::llround(m_load.targetSeconds * 1000.0));
        route.targets = {{m_service, 1}};
        plan.routes = {route};
        for (std::size_t index = 0; index < m_load.instances; ++index) {
            endpoint_table_settings settings {instance_id("i" + std::to_string(index)), centreOf(index), {}};
            settings.completionScore = expected_completion_score(m_strategy.preferred);
            m_tables.push_back(std::make_unique<endpoint_table>(settings));
            m_tables.back()->setTargets(plan);
        }
        for (std::size_t index = 0; index < m_load.endpoints; ++index) {
            addEndpoint(index);
        }
    }

    uneven_site_result run()
    {
        at(0.0, [this] { arrive(); });
        if (m_strategy.isShared) {
            at(2.0, [this] { share(); });
        }
        while (!m_events.empty() && m_events.top().time < m_load.seconds) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.time;
            next.action();
        }
        const auto counted = static_cast<double>(std::max<std::int64_t>(m_counted, 1));
        m_result.lateShare /= counted;
        m_result.meanSeconds /= counted;
        m_result.remoteShare /= counted;
        const auto busiest = static_cast<double>(*std::max_element(m_result.requestsAt.begin(), m_result.requestsAt.end()));
        m_result.busiest = busiest * static_cast<double>(m_load.endpoints) / counted;
        return m_result;
    }

private:
    struct event
    {
        double time = 0.0;
        std::int64_t order = 0;
        std::function<void()> action;

        bool operator<(const event &other) const
        {
            return std::tie(other.time, other.order) < std::tie(time, order);
        }
    };

    struct simulated_endpoint
    {
        endpoint_entry entry;
        double steadyFactor = 1.0;
        double disturbedUntil = 0.0;
        std::int64_t running = 0;
        std::deque<std::function<void()>> waiting;
    };

    data_centre_id centreOf(std::size_t index) const
    {
        return data_centre_id("dc" + std::to_string(index % m_load.dataCentres));
    }
    double pauseBetweenDisturbances() const
    {
        return disturbanceSeconds / m_load.disturbedShare;
    }
    instant when() const
    {
        return instantOf(m_now);
    }
    void at(double time, std::function<void()> action)
    {
        m_events.push({time, ++m_order, std::move(action)});
    }

    void addEndpoint(std::size_t index)
    {
        simulated_endpoint added;
        added.entry.id = endpoint_id("e" + std::to_string(index));
        added.entry.service = m_service;
        added.entry.dataCentre = centreOf(index);
        added.entry.slots = slot_count(m_load.slots);
        added.steadyFactor = m_load.slowEvery > 0 && index % m_load.slowEvery == 0 ? slowFactor : 1.0;
        m_endpoints.push_back(added);
        m_result.requestsAt.push_back(0);
        for (const auto &table : m_tables) {
            table->put(added.entry, nullptr, when());
        }
        if (m_load.disturbedShare > 0.0) {
            at(m_random.uniform() * pauseBetweenDisturbances(), [this, index] { disturb(index); });
        }
    }

    void disturb(std::size_t index)
    {
        m_endpoints[index].disturbedUntil = m_now + disturbanceSeconds;
        at(m_now + std::max(disturbanceSeconds, pauseBetweenDisturbances() * 2.0 * m_random.uniform()), [this, index] { disturb(index); });
    }

    /// The table recognizes an attempt by the instant of its sending, which must not be rounded in another way later.
    static instant instantOf(double time)
    {
        return instant(std::chrono::seconds(1000) + std::chrono::microseconds(std::llround(time * 1e6)));
    }

    double factorOf(const simulated_endpoint &endpoint) const
    {
        return endpoint.steadyFactor * (m_now < endpoint.disturbedUntil ? disturbanceFactor : 1.0);
    }

    std::size_t drawInstance()
    {
        const std::size_t drawn = m_random.below(m_load.instances);
        const double phase = std::sin(2.0 * M_PI * m_now / swingPeriodSeconds) * (drawn % 2 == 0 ? 1.0 : -1.0);
        // Moves requests to the instances of the data centre that has its peak.
        const bool isMoved = phase < 0.0 && m_random.uniform() < -phase * m_load.swing;
        return isMoved ? (drawn + 1) % m_load.instances : drawn;
    }

    void arrive()
    {
        at(m_now - std::log(1.0 - m_random.uniform()) / m_load.requestsPerSecond, [this] { arrive(); });
        const std::size_t instance = drawInstance();
        const endpoint_state *chosen = m_tables[instance]->choose(m_service, attempt_kind::plain_call, {}, {}, nullptr, when(), m_random);
        const std::size_t index = std::stoul(chosen->entry.id.value().substr(1));
        m_tables[instance]->noteSent(chosen->entry.id, {}, when());
        const double sentAt = m_now;
        const double way = chosen->entry.dataCentre == centreOf(instance) ? localSeconds : remoteSeconds;
        at(m_now + way, [=, this] { enter(instance, index, sentAt, way); });
    }

    void enter(std::size_t instance, std::size_t index, double sentAt, double way)
    {
        simulated_endpoint &endpoint = m_endpoints[index];
        endpoint.waiting.emplace_back([=, this] { execute(instance, index, sentAt, way); });
        m_result.peakUse = std::max(m_result.peakUse,
                                    m_now < m_load.warmUpSeconds
                                        ? 0.0
                                        : static_cast<double>(endpoint.running + static_cast<std::int64_t>(endpoint.waiting.size()))
                                            / static_cast<double>(m_load.slots));
        startNext(endpoint);
    }

    void startNext(simulated_endpoint &endpoint)
    {
        if (endpoint.running < m_load.slots && !endpoint.waiting.empty()) {
            ++endpoint.running;
            const std::function<void()> next = std::move(endpoint.waiting.front());
            endpoint.waiting.pop_front();
            next();
        }
    }

    void execute(std::size_t instance, std::size_t index, double sentAt, double way)
    {
        const double variation = 0.5 - 0.5 * std::log(1.0 - m_random.uniform());
        at(m_now + m_load.serviceSeconds * variation * factorOf(m_endpoints[index]), [=, this] {
            simulated_endpoint &endpoint = m_endpoints[index];
            --endpoint.running;
            startNext(endpoint);
            endpoint_load report {endpoint.running, static_cast<std::int64_t>(endpoint.waiting.size()), m_load.slots, {}};
            if (m_strategy.isReporting) {
                const auto falseFigure = m_load.falseFigures.find(index);
                report.workTimePercent =
                    falseFigure == m_load.falseFigures.end() ? std::llround(factorOf(endpoint) * 100.0) : falseFigure->second;
            }
            at(m_now + way, [=, this] { finish(instance, index, sentAt, report); });
        });
    }

    void finish(std::size_t instance, std::size_t index, double sentAt, const endpoint_load &report)
    {
        const endpoint_entry &entry = m_endpoints[index].entry;
        m_tables[instance]->noteLoad(entry.id, report, when());
        m_tables[instance]->noteEnded(entry.id, {}, instantOf(sentAt), false, health_verdict::good, when());
        if (sentAt >= m_load.warmUpSeconds) {
            ++m_counted;
            ++m_result.requestsAt[index];
            m_result.meanSeconds += m_now - sentAt;
            m_result.lateShare += m_now - sentAt > m_load.targetSeconds ? 1.0 : 0.0;
            m_result.remoteShare += entry.dataCentre == centreOf(instance) ? 0.0 : 1.0;
        }
    }

    void share()
    {
        at(m_now + 10.0, [this] { share(); });
        for (const auto &from : m_tables) {
            const std::vector<seen_speed> seen = from->takeSeenSpeeds();
            for (const auto &to : m_tables) {
                if (to != from) {
                    to->notePeerSpeeds(seen, when());
                }
            }
        }
    }

    static constexpr double localSeconds = 0.001;
    static constexpr double remoteSeconds = 0.02;
    static constexpr double disturbanceSeconds = 0.6;
    static constexpr double disturbanceFactor = 4.0;
    static constexpr double slowFactor = 3.0;
    static constexpr double swingPeriodSeconds = 10.0;
    const service_id m_service {"uneven"};
    uneven_site_load m_load;
    uneven_site_strategy m_strategy;
    random_source m_random {m_strategy.seed};
    std::vector<std::unique_ptr<endpoint_table>> m_tables;
    std::vector<simulated_endpoint> m_endpoints;
    std::priority_queue<event> m_events;
    std::int64_t m_order = 0;
    std::int64_t m_counted = 0;
    double m_now = 0.0;
    uneven_site_result m_result;
};

} // namespace burdockshelf
