#include "policy/admission_queue.h"

#include <map>
#include <string>
#include <vector>

#include "support/property.h"

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

queued_request waiting(const std::string &id, const std::string &workspace, int priority, instant at)
{
    return {request_id(id), workspace_id(workspace), priority, token_count(100), at, deadline::after(at, 10s), 0};
}

admission_queue queueWith(std::string_view order)
{
    return admission_queue(makeQueueOrder(order));
}

std::map<std::string, int> dispatchSome(admission_queue &queue, int count, instant now)
{
    std::map<std::string, int> dispatched;
    for (int i = 0; i < count; ++i) {
        const auto next = queue.pop(now);
        ++dispatched[next->workspace.value()];
        queue.noteDispatch(*next, now);
    }
    return dispatched;
}

} // namespace

TEST_GROUP(admission_queues) {};

// Guards against a workspace that sends five times as many requests as another one and gets its share of dispatches.
TEST(admission_queues, dispatchWorkspacesEvenly)
{
    const instant now(1s);
    admission_queue fair = queueWith("fair");
    admission_queue arrival = queueWith("arrival");
    for (int i = 0; i < 60; ++i) {
        const queued_request request = waiting("r" + std::to_string(i), i % 6 == 5 ? "small" : "large", 1, now);
        fair.push(request, now);
        arrival.push(request, now);
    }
    CHECK_EQUAL(10, dispatchSome(fair, 20, now)["small"]);
    // The baseline dispatches in proportion to the requests sent.
    CHECK_EQUAL(3, dispatchSome(arrival, 20, now)["small"]);
}

// Guards against urgent requests that wait behind earlier costly ones, and against costly requests that are never dispatched.
TEST(admission_queues, dispatchUrgentRequestsFirstAndAgeOthers)
{
    admission_queue queue = queueWith("fair");
    const instant start(100s);
    queue.push(waiting("costly", "a", 1, start), start);
    queue.push(waiting("urgent", "a", 0, start + 1s), start + 1s);
    CHECK_TRUE(queue.pop(start + 1s)->id == request_id("urgent"));
    queue.push(waiting("urgent2", "a", 0, start + 6s), start + 6s);
    CHECK_TRUE(queue.pop(start + 6s)->id == request_id("costly"));
}

// Guards against a request that is lost or dispatched twice between push, pop, requeue and expiry.
TEST(admission_queues, loseNoRequest)
{
    CHECK_PROPERTY("every request leaves once", [](const std::vector<std::uint8_t> &steps) {
        admission_queue queue = queueWith("fair");
        instant now(1s);
        int pushed = 0;
        int left = 0;
        for (const std::uint8_t step : steps) {
            now += std::chrono::milliseconds(step * 20);
            switch (step % 5) {
            case 0:
            case 1:
                pushed += queue.push(waiting("r" + std::to_string(pushed), step % 2 == 0 ? "a" : "b", step % 3, now), now) ? 1 : 0;
                break;
            case 2:
                if (const auto next = queue.pop(now)) {
                    queue.noteDispatch(*next, now);
                    ++left;
                }
                break;
            case 3:
                if (const auto next = queue.pop(now)) {
                    queue.requeue(*next);
                }
                break;
            default:
                left += static_cast<int>(queue.takeExpired(now).size());
            }
            RC_ASSERT(static_cast<int>(queue.size()) == pushed - left);
        }
    });
}

// Guards against requests that wait in vain although the dispatch rate shows that they will miss their deadline.
TEST(admission_queues, shedRequestsThatWouldMissTheirDeadline)
{
    admission_queue queue = queueWith("fair");
    instant now(1s);
    for (int i = 0; i < 40; ++i) {
        CHECK_TRUE(queue.push(waiting("r" + std::to_string(i), "a", 1, now), now));
    }
    for (int i = 0; i < 5; ++i) {
        now += 1s;
        const auto next = queue.pop(now);
        queue.noteDispatch(*next, now);
    }
    CHECK_FALSE(queue.push(waiting("late", "a", 1, now), now));
    CHECK_TRUE(queue.push(waiting("urgent", "a", 0, now), now));
}
