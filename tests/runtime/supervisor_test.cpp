#include "runtime/supervisor.h"

#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;

namespace
{

struct child_journal
{
    std::vector<std::string> entries;
};

/// A child that notes its life in a journal and fails on demand.
class noting_child : public supervised
{
public:
    noting_child(std::string name, child_journal &journal, noting_child **slot)
        : m_name(std::move(name))
        , m_journal(journal)
    {
        *slot = this;
    }

    ~noting_child() override
    {
        m_journal.entries.push_back("end " + m_name);
    }

    outcome<void> start() override
    {
        m_journal.entries.push_back("start " + m_name);
        return success();
    }

    void breakDown()
    {
        fail({error_code::internal, "broken on purpose"});
    }

private:
    std::string m_name;
    child_journal &m_journal;
};

struct fixture
{
    event_loop loop;
    child_journal journal;
    noting_child *first = nullptr;
    noting_child *second = nullptr;

    child_spec spec(const std::string &name, noting_child **slot)
    {
        return {name, [this, name, slot] {
                    return std::make_unique<noting_child>(name, journal, slot);
                }};
    }
};

bool isEqual(const std::vector<std::string> &left, const std::vector<std::string> &right)
{
    return left == right;
}

} // namespace

TEST_GROUP(supervisors) {};

// Guards against a failed child that takes its siblings down.
TEST(supervisors, restartOnlyTheFailedChildOneForOne)
{
    fixture f;
    supervisor root(f.loop, "root", std::make_unique<one_for_one>());
    root.addChild(f.spec("a", &f.first));
    root.addChild(f.spec("b", &f.second));
    CHECK_TRUE(root.start().has_value());
    f.first->breakDown();
    f.loop.runReady();
    CHECK_TRUE(isEqual(f.journal.entries, {"start a", "start b", "end a", "start a"}));
}

// Guards against children that go on with the addresses of a dependency that has lost its state.
TEST(supervisors, restartLaterChildrenRestForOne)
{
    fixture f;
    supervisor root(f.loop, "root", std::make_unique<rest_for_one>());
    root.addChild(f.spec("a", &f.first));
    root.addChild(f.spec("b", &f.second));
    CHECK_TRUE(root.start().has_value());
    f.first->breakDown();
    f.loop.runReady();
    CHECK_TRUE(isEqual(f.journal.entries, {"start a", "start b", "end b", "end a", "start a", "start b"}));
}

// Guards against a child that fails at every start and keeps the process busy for ever.
TEST(supervisors, failWhenRestartsExceedTheLimit)
{
    fixture f;
    supervisor root(f.loop, "root", std::make_unique<one_for_one>(), {2, std::chrono::seconds(60)});
    bool hasFailed = false;
    root.setHandlers([&](const error &) { hasFailed = true; }, [] {});
    root.addChild(f.spec("a", &f.first));
    CHECK_TRUE(root.start().has_value());
    for (int i = 0; i < 3; ++i) {
        f.first->breakDown();
        f.loop.runReady();
    }
    CHECK_TRUE(hasFailed);
    CHECK_EQUAL(3U, root.restartCount());
}

// Guards against a listener that outlives what it hands requests to.
TEST(supervisors, shutDownInReverseOrder)
{
    fixture f;
    supervisor root(f.loop, "root", std::make_unique<one_for_one>());
    bool isFinished = false;
    root.setHandlers([](const error &) {}, [&] { isFinished = true; });
    root.addChild(f.spec("a", &f.first));
    root.addChild(f.spec("b", &f.second));
    CHECK_TRUE(root.start().has_value());
    f.journal.entries.clear();
    root.beginShutdown();
    for (int i = 0; i < 4; ++i) {
        f.loop.runReady();
    }
    CHECK_TRUE(isFinished);
    CHECK_TRUE(isEqual(f.journal.entries, {"end b", "end a"}));
}

TEST_GROUP(mailboxes) {};

// Guards against a message that is dropped without the sender being told.
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

// Guards against a message from another thread that does not wake a sleeping loop.
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
