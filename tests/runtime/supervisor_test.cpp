#include "runtime/supervisor.h"

#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;

namespace
{

struct lifecycle_log
{
    std::vector<std::string> entries;
};

/// A child that records its start and destruction and fails on demand.
class recording_child : public supervised_child
{
public:
    recording_child(std::string name, lifecycle_log &log, recording_child **slot)
        : m_name(std::move(name))
        , m_log(log)
    {
        *slot = this;
    }

    ~recording_child() override
    {
        m_log.entries.push_back("end " + m_name);
    }

    outcome<void> start() override
    {
        m_log.entries.push_back("start " + m_name);
        return success();
    }

    void reportFailure()
    {
        fail({error_code::internal, "failure injected by the test"});
    }

private:
    std::string m_name;
    lifecycle_log &m_log;
};

struct fixture
{
    event_loop loop;
    lifecycle_log log;
    recording_child *first = nullptr;
    recording_child *second = nullptr;

    child_spec spec(const std::string &name, recording_child **slot)
    {
        return {name, [this, name, slot] {
                    return std::make_unique<recording_child>(name, log, slot);
                }};
    }
};

bool isEqual(const std::vector<std::string> &left, const std::vector<std::string> &right)
{
    return left == right;
}

} // namespace

TEST_GROUP(supervisors) {};

// Guards against a failed child whose siblings are restarted with it under one_for_one.
TEST(supervisors, restartOnlyTheFailedChildOneForOne)
{
    fixture f;
    supervisor root(f.loop, "root", std::make_unique<one_for_one>());
    root.addChild(f.spec("a", &f.first));
    root.addChild(f.spec("b", &f.second));
    CHECK_TRUE(root.start().has_value());
    f.first->reportFailure();
    f.loop.runReady();
    CHECK_TRUE(isEqual(f.log.entries, {"start a", "start b", "end a", "start a"}));
}

// Guards against children that keep using a dependency that was restarted and has lost its state.
TEST(supervisors, restartLaterChildrenRestForOne)
{
    fixture f;
    supervisor root(f.loop, "root", std::make_unique<rest_for_one>());
    root.addChild(f.spec("a", &f.first));
    root.addChild(f.spec("b", &f.second));
    CHECK_TRUE(root.start().has_value());
    f.first->reportFailure();
    f.loop.runReady();
    CHECK_TRUE(isEqual(f.log.entries, {"start a", "start b", "end b", "end a", "start a", "start b"}));
}

// Guards against an endless restart loop when a child fails again after every restart.
TEST(supervisors, failWhenRestartsExceedTheLimit)
{
    fixture f;
    supervisor root(f.loop, "root", std::make_unique<one_for_one>(), {2, std::chrono::seconds(60)});
    bool hasFailed = false;
    root.setHandlers([&](const error &) { hasFailed = true; }, [] {});
    root.addChild(f.spec("a", &f.first));
    CHECK_TRUE(root.start().has_value());
    for (int i = 0; i < 3; ++i) {
        f.first->reportFailure();
        f.loop.runReady();
    }
    CHECK_TRUE(hasFailed);
    CHECK_EQUAL(3U, root.restartCount());
}

// Guards against a listener that outlives the tasks to which it passes requests.
TEST(supervisors, shutDownInReverseOrder)
{
    fixture f;
    supervisor root(f.loop, "root", std::make_unique<one_for_one>());
    bool isFinished = false;
    root.setHandlers([](const error &) {}, [&] { isFinished = true; });
    root.addChild(f.spec("a", &f.first));
    root.addChild(f.spec("b", &f.second));
    CHECK_TRUE(root.start().has_value());
    f.log.entries.clear();
    root.beginShutdown();
    for (int i = 0; i < 4; ++i) {
        f.loop.runReady();
    }
    CHECK_TRUE(isFinished);
    CHECK_TRUE(isEqual(f.log.entries, {"end b", "end a"}));
}

TEST_GROUP(mailboxes) {};

// Guards against a message that is dropped without an error to the sender.
TEST(mailboxes, reportFullAndClosed)
{
    event_loop loop;
    const auto box = std::make_shared<mailbox<int>>(loop, 2);
    const address<int> to(box);
    CHECK_TRUE(to.post(1) == post_result::delivered);
    CHECK_TRUE(to.post(2) == post_result::delivered);
    CHECK_TRUE(to.post(3) == post_result::full);
    std::vector<int> received;
    box->attach([&](int &&message) { received.push_back(message); });
    loop.runReady();
    CHECK_TRUE((received == std::vector<int> {1, 2}));
    box->close();
    CHECK_TRUE(to.post(4) == post_result::closed);
}

// Guards against a message posted by another thread that does not wake a blocked event loop.
TEST(mailboxes, wakeTheLoopFromAnotherThread)
{
    event_loop loop;
    const auto box = std::make_shared<mailbox<int>>(loop, 1000);
    const address<int> to(box);
    int sum = 0;
    box->attach([&](int &&message) {
        sum += message;
        if (message == 0) {
            loop.stop();
        }
    });
    std::thread sender([to] {
        for (int i = 100; i >= 0; --i) {
            if (to.post(i) != post_result::delivered) {
                return;
            }
        }
    });
    loop.run();
    sender.join();
    CHECK_EQUAL(5050, sum);
}
