#include "core/random_source.h"
#include "policy/token_bucket.h"

#include "support/property.h"

#include <algorithm>
#include <map>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

/// A step of a simulated bucket: time passes, the cap changes, and tokens are charged whose actual cost is known some steps later.
struct bucket_step
{
    int pause = 0;
    int cap = 0;
    int amount = 0;
    int actual = 0;
    std::size_t delay = 0;
};

rc::Gen<std::vector<bucket_step>> bucketSteps()
{
    return rc::gen::container<std::vector<bucket_step>>(
        rc::gen::build<bucket_step>(rc::gen::set(&bucket_step::pause, rc::gen::inRange(0, 30)),
                                    rc::gen::set(&bucket_step::cap, rc::gen::inRange(0, 100)),
                                    rc::gen::set(&bucket_step::amount, rc::gen::inRange(1, 60)),
                                    rc::gen::set(&bucket_step::actual, rc::gen::inRange(0, 60)),
                                    rc::gen::set(&bucket_step::delay, rc::gen::inRange<std::size_t>(0, 10))));
}

enum class refund_rule
{
    limited,
    unlimited,
    /// Limited by the current cap and the highest level, as if the cap had never changed.
    limited_by_level,
};

struct settled_charge
{
    int index = 0;
    token_bucket::position position = 0;
    int spare = 0;
    std::int64_t highest = 0;
};

/// Replays the steps with the actual costs taken at the time of the charge. If that makes the level negative, the refunds were too high.
bool isNeverOverdrawn(const std::vector<bucket_step> &steps, refund_rule rule)
{
    constexpr std::int64_t rate = 10;
    instant now(0s);
    token_bucket bucket(now);
    std::multimap<std::size_t, settled_charge> due;
    std::vector<std::pair<bucket_step, std::int64_t>> history;
    int cap = 50;
    for (std::size_t i = 0; i < steps.size(); ++i) {
        const bucket_step &step = steps[i];
        now += std::chrono::seconds(step.pause);
        bucket.advance(now);
        for (auto &entry : due) {
            entry.second.highest = std::max(entry.second.highest, bucket.level().value());
        }
        cap = step.cap % 5 == 0 ? step.cap : cap;
        bucket.setLimit({token_rate(rate), token_count(cap)});
        for (auto back = due.begin(); back != due.end() && back->first <= i; back = due.erase(back)) {
            const settled_charge &charge = back->second;
            std::int64_t given = charge.spare;
            if (rule == refund_rule::limited) {
                given = bucket.refund(charge.position, token_count(charge.spare)).value();
            } else {
                given = rule == refund_rule::unlimited ? given : std::clamp<std::int64_t>(cap - charge.highest, 0, given);
                bucket.takeAllowingDebt(token_count(-given));
            }
            history[charge.index].second -= charge.spare;
        }
        history.emplace_back(step, 0);
        if (bucket.take(token_count(step.amount))) {
            const int actual = std::min(step.actual, step.amount);
            history.back().second = step.amount;
            due.insert({i + 1 + step.delay, {static_cast<int>(i), bucket.lastPosition(), step.amount - actual, bucket.level().value()}});
        }
    }
    std::int64_t level = 0;
    cap = 50;
    for (const auto &[step, cost] : history) {
        // Tokens for the pause before a step accrue under the cap of that time.
        level = std::min<std::int64_t>(level + rate * step.pause, std::max<std::int64_t>(level, &step == &history.front().first ? 0 : cap));
        cap = step.cap % 5 == 0 ? step.cap : cap;
        level = std::min<std::int64_t>(level, cap) - cost;
        if (level < 0) {
            return false;
        }
    }
    return true;
}

/// True if some random history overdraws the bucket under a rule.
bool isOverdrawnBySome(refund_rule rule)
{
    random_source random(7);
    for (int run = 0; run < 2000; ++run) {
        std::vector<bucket_step> steps;
        for (int i = 0; i < 20; ++i) {
            const auto pick = [&random](int bound) {
                return static_cast<int>(random.below(bound));
            };
            steps.push_back({pick(30), pick(100), 1 + pick(60), pick(60), random.below(10)});
        }
        if (!isNeverOverdrawn(steps, rule)) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_GROUP(token_buckets) {};

// Guards against a late refund that makes an earlier time window exceed the limit, also when the cap has changed in between.
TEST(token_buckets, endAsIfActualCostsHadBeenTaken)
{
    CHECK_PROPERTY("actual costs never overdraw the bucket", [] { RC_ASSERT(isNeverOverdrawn(*bucketSteps(), refund_rule::limited)); });
    CHECK_FALSE(isOverdrawnBySome(refund_rule::limited));
    CHECK_TRUE(isOverdrawnBySome(refund_rule::unlimited));
    CHECK_TRUE(isOverdrawnBySome(refund_rule::limited_by_level));
}

// Guards against a refund that is always refused, which the property above would not notice.
TEST(token_buckets, refundInFullWhenThereWasHeadroom)
{
    token_bucket bucket(instant(0s));
    bucket.setLimit({token_rate(10), token_count(100)});
    bucket.advance(instant(10s));
    CHECK_TRUE(bucket.take(token_count(80)));
    const auto charge = bucket.lastPosition();
    bucket.advance(instant(11s));
    CHECK_EQUAL(60, bucket.refund(charge, token_count(60)).value());
    CHECK_EQUAL(90, bucket.level().value());
    bucket.advance(instant(1000h));
    CHECK_EQUAL(100, bucket.level().value());
}

// Guards against memory that grows with the number of charges, and against a forgotten charge that is refunded in full.
TEST(token_buckets, refundNothingAfterADrop)
{
    token_bucket bucket(instant(0s));
    bucket.setLimit({token_rate(10), token_count(100)});
    bucket.advance(instant(10s));
    CHECK_TRUE(bucket.take(token_count(80)));
    const auto charge = bucket.lastPosition();
    bucket.drop();
    CHECK_EQUAL(0, bucket.refund(charge, token_count(60)).value());
    CHECK_EQUAL(0, bucket.level().value());
}
