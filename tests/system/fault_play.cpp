#include "fault_play.h"

#include <CppUTest/TestHarness.h>

namespace burdockshelf
{

namespace
{

constexpr std::size_t requestsPerFault = 8;

} // namespace

fault_play::fault_play(std::int64_t prefillPercent)
    : m_site(prefillPercent)
{
}

endless_site &fault_play::site()
{
    return m_site;
}

void fault_play::play(const std::vector<faulty_response> &faults,
                      call_filter isFaulty,
                      const std::string &method,
                      const std::string &target)
{
    CHECK_TRUE(m_site.start());
    fault_series series(faults);
    m_site.setFaults([&](const http_request &request) { return isFaulty(request) ? series.next() : nullptr; }, nullptr);
    for (std::size_t i = 0; i < requestsPerFault * faults.size(); ++i) {
        send(method, target);
    }
    finish();
    LONGS_EQUAL(faults.size(), m_site.sentFaults().size());
    m_site.setFaults(nullptr, nullptr);
    m_site.checkItStands();
}

void fault_play::playOwnCalls(const std::vector<faulty_response> &faults, const std::string &path)
{
    CHECK_TRUE(m_site.start());
    fault_series series(faults);
    m_site.setFaults([&](const http_request &request) { return request.path() == path ? series.next() : nullptr; }, nullptr);
    CHECK_TRUE(m_site.waitFor([&] { return m_site.sentFaults().size() == faults.size(); }));
    CHECK_TRUE(m_site.waitFor([this] { return m_site.areFaultyConnectionsClosed(); }));
    m_site.setFaults(nullptr, nullptr);
    m_site.checkItStands();
}

void fault_play::send(const std::string &method, const std::string &target)
{
    const std::string id = "r" + std::to_string(m_sent.size()) + "-";
    const raw_caller &caller = m_site.send(method, target, id);
    m_sent.push_back({id, &caller});
}

void fault_play::finish()
{
    CHECK_TRUE(m_site.waitFor([this] { return m_site.areAllAnswered(); }));
    CHECK_TRUE(m_site.waitFor([this] { return m_site.areFaultyConnectionsClosed(); }));
    for (const sent_request &each : m_sent) {
        const bool isUntrue = statusPromisesNotRun(each.caller->status()) && m_site.hasRunWithIdStart(each.id);
        CHECK_TEXT(!isUntrue, ("request " + each.id + " has run and got " + std::to_string(each.caller->status())).c_str());
    }
}

} // namespace burdockshelf
