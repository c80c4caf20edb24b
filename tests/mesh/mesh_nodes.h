#pragma once

#include "mesh/mesh_supervisor.h"
#include "support/test_records.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace burdockshelf
{

constexpr std::chrono::seconds testTimeout {20};

/// Event loop that runs until a test's condition holds. A timeout ends tests that would hang.
class test_event_loop : public event_loop
{
public:
    // libevent frees closed connections in the loop, after their last callback.
    ~test_event_loop()
    {
        runReady();
    }

    /// Returns false when the condition does not hold within the timeout.
    bool runUntil(std::function<bool()> isDone)
    {
        m_isDone = std::move(isDone);
        m_timeoutTimer.start(deadline::after(boot_clock::now(), testTimeout));
        if (!m_isDone()) {
            run();
        }
        m_timeoutTimer.stop();
        return m_isDone();
    }

    /// To be called after each event that may have changed the condition.
    void checkCondition()
    {
        if (m_isDone && m_isDone()) {
            stop();
        }
    }

private:
    std::function<bool()> m_isDone;
    timer m_timeoutTimer {*this, [this] {
                              stop();
                          }};
};

inline mesh_settings shortTimeoutSettings(const std::string &name)
{
    mesh_settings settings;
    settings.self = {instance_id(name), incarnation_id(name + "-1"), data_centre_id("konya")};
    settings.listenAddress = {"127.0.0.1", 0};
    settings.heartbeatInterval = std::chrono::milliseconds(20);
    settings.heartbeatTimeout = std::chrono::milliseconds(200);
    settings.connectTimeout = std::chrono::milliseconds(200);
    settings.backoff = {std::chrono::milliseconds(5), std::chrono::milliseconds(20)};
    return settings;
}

/// The mesh of one instance, with the messages that it delivered.
struct mesh_node
{
    test_event_loop &loop;
    mesh_settings settings;
    socket_address listening;
    std::vector<peer_message_received> received;
    std::vector<peer_status> statuses;
    std::vector<peer_response> answers;
    post_result mailboxState = post_result::delivered;
    std::shared_ptr<mailbox<mesh_supervisor_message>> box;
    std::unique_ptr<mesh_supervisor> branch;

    mesh_node(test_event_loop &onLoop, mesh_settings with)
        : loop(onLoop)
        , settings(std::move(with))
    {
        open();
    }

    void open()
    {
        const sink<peer_message_received> inbox([this](peer_message_received &&message) {
            if (mailboxState == post_result::delivered) {
                received.push_back(std::move(message));
            }
            loop.checkCondition();
            return mailboxState;
        });
        const sink<peer_status> status([this](peer_status &&message) {
            statuses.push_back(message);
            loop.checkCondition();
            return post_result::delivered;
        });
        const sink<mesh_listening> bound([this](mesh_listening &&message) {
            listening = message.address;
            return post_result::delivered;
        });
        box = std::make_shared<mailbox<mesh_supervisor_message>>(loop, 100);
        branch = std::make_unique<mesh_supervisor>(
            loop, box, settings, peer_codec(testRecords()), mesh_sinks {{inbox, inbox, inbox, inbox}, {status}, bound}, random_source(7));
        CHECK_TRUE(branch->start().has_value());
    }

    listed_instance entry() const
    {
        return {settings.self.instance, settings.self.incarnation, settings.self.dataCentre, listening, instance_state::live};
    }

    void setInstanceList(std::vector<listed_instance> instances)
    {
        CHECK_TRUE(box->post(instance_list {std::move(instances)}) == post_result::delivered);
    }

    void send(const mesh_node &to, std::uint64_t number, peer_message message, std::chrono::milliseconds within = testTimeout)
    {
        const sink<peer_response> reply([this](peer_response &&answer) {
            answers.push_back(std::move(answer));
            loop.checkCondition();
            return post_result::delivered;
        });
        const deadline until = deadline::after(boot_clock::now(), within);
        CHECK_TRUE(box->post(peer_envelope {to.settings.self.instance, {number, std::move(message), until, reply}})
                   == post_result::delivered);
    }

    bool isUp() const
    {
        return !statuses.empty() && statuses.back().isUp;
    }

    /// Returns the error code of the only response.
    error_code onlyErrorCode() const
    {
        CHECK_EQUAL(1U, answers.size());
        CHECK_TRUE(answers.at(0).answer.has_error());
        return answers.at(0).answer.error().code;
    }
};

/// Two instances that are connected to each other in both directions.
struct mesh_pair
{
    test_event_loop loop;
    mesh_node a {loop, shortTimeoutSettings("a")};
    mesh_node b {loop, shortTimeoutSettings("b")};

    mesh_pair()
    {
        a.setInstanceList({a.entry(), b.entry()});
        b.setInstanceList({a.entry(), b.entry()});
        CHECK_TRUE(loop.runUntil([this] { return a.isUp() && b.isUp(); }));
    }
};

} // namespace burdockshelf
