#include "policy/quota_ledger.h"

#include "core/random_source.h"
#include "support/property.h"

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

const data_centre_id localDataCentre("a");
const workspace_id workspace("w");

/// The only member of a data centre. It holds the whole quota of a workspace with 100 tokens/s and a burst of 1000.
struct fixture
{
    moving_shares strategy;
    roster_member self {instance_id("i1"), incarnation_id("x1")};
    instant now {1000s};
    quota_ledger ledger {{localDataCentre, self}, strategy, 500};

    fixture()
    {
        auto view = std::make_shared<state_view>();
        view->config.version = configuration_version(1);
        view->config.dataCentres[localDataCentre] = {};
        view->config.workspaces[workspace] = {token_rate(100), token_count(1000), {}};
        ledger.setView(view, now);
        extend(1h);
        now += 100s;
    }

    void extend(boot_clock::duration span)
    {
        ledger.setAuthority({localDataCentre, self, roster_epoch(1), {self}, {}, deadline::after(now, span), deadline(instant(0s))}, now);
    }

    peer_loan_response lend(std::int64_t amount)
    {
        return ledger.lend({localDataCentre, roster_epoch(1), workspace, token_count(amount)}, now);
    }

    bool charge(const char *request, std::int64_t amount)
    {
        return ledger.charge(request_id(request), workspace, token_count(amount), now);
    }
};

} // namespace

TEST_GROUP(quota_ledgers) {};

// Guards against a duplicate message that refunds the same tokens twice, and against a refund for a loan of another incarnation.
TEST(quota_ledgers, acceptEachRefundOfALoanOnce)
{
    fixture f;
    const peer_loan_response loan = f.lend(600);
    CHECK_EQUAL(600, loan.amount.value());
    const loan_refund refund = {workspace, token_count(300), loan.loan, 0};
    f.ledger.acceptRefund(refund, f.now);
    f.ledger.acceptRefund(refund, f.now);
    f.ledger.acceptRefund({workspace, token_count(300), loan.loan + 1, 0}, f.now);
    CHECK_FALSE(f.charge("r", 701));
    CHECK_TRUE(f.charge("r", 700));
}

// Guards against a bucket that refills while a borrower may still spend its tokens.
TEST(quota_ledgers, subtractLentTokensFromTheCap)
{
    fixture f;
    CHECK_EQUAL(1000, f.lend(2000).amount.value());
    f.now += 1s;
    CHECK_FALSE(f.charge("r", 1));
    f.now += 210ms;
    CHECK_FALSE(f.charge("r", 1));
    f.now += 10s;
    CHECK_TRUE(f.charge("r", 1000));
}

// Guards against a loan that a borrower may still use when a successor of the lender already grants tokens.
TEST(quota_ledgers, lendNoLongerThanTheAuthorityLasts)
{
    fixture f;
    f.extend(700ms);
    CHECK_TRUE(f.lend(100).validFor == 490ms);
    f.extend(200ms);
    CHECK_EQUAL(0, f.lend(100).amount.value());
}

// Guards against tokens that accrue in a time without authority, in which another member may have granted them.
TEST(quota_ledgers, accrueOnlyUnderAuthority)
{
    fixture f;
    CHECK_TRUE(f.charge("r1", 1000));
    f.extend(1s);
    f.now += 10s;
    CHECK_FALSE(f.charge("r2", 1));
    f.extend(1h);
    CHECK_FALSE(f.charge("r2", 101));
    CHECK_TRUE(f.charge("r2", 100));
}

// Guards against memory that grows with charges whose request never settles them.
TEST(quota_ledgers, limitTheOpenCharges)
{
    fixture f;
    for (int i = 0; i < 30000; ++i) {
        CHECK_TRUE(f.charge(std::to_string(i).c_str(), 0));
    }
    CHECK_EQUAL(20000U, f.ledger.openCharges());
    f.ledger.settle(request_id("0"), token_count(), f.now);
    f.ledger.settle(request_id("29999"), token_count(), f.now);
    CHECK_EQUAL(19999U, f.ledger.openCharges());
}

// Guards against a borrower that spends a loan after a pause, when the lender already counts it as dropped.
TEST(quota_ledgers, measureLoansFromTheRequest)
{
    fixture f;
    CHECK_TRUE(f.charge("all", 1000));
    const peer_loan_response loan = {roster_epoch(1), token_count(500), 7, 1000ms};
    f.ledger.borrow(workspace, instance_id("i2"), loan, f.now - 1s, f.now);
    CHECK_FALSE(f.charge("late response", 400));
    f.ledger.borrow(workspace, instance_id("i2"), loan, f.now, f.now);
    CHECK_TRUE(f.charge("in time", 100));
    f.now += 1s;
    CHECK_FALSE(f.charge("after a pause", 400));
    CHECK_EQUAL(0U, f.ledger.returnLoans(workspace, f.now).size());
}

// Guards against a new incarnation that takes its larger share at once while a data centre that is cut off still uses its old one.
TEST(quota_ledgers, useTheSmallestShareWhileAReallocationIsPending)
{
    CHECK_PROPERTY("the shares of a new member and of a member with any earlier version stay within the quota", [](std::uint64_t seed) {
        random_source random(seed);
        const data_centre_id other("b");
        std::vector<state_view> versions(1);
        configuration &first = versions[0].config;
        first.version = configuration_version(1);
        first.dataCentres = {{localDataCentre, {}}, {other, {}}};
        first.workspaces[workspace] = {token_rate(1000), token_count(1000), {}};
        for (int i = 0; i < 3; ++i) {
            state_view next = versions.back();
            next.config.version += configuration_version(1);
            next.config.workspaces[workspace].shareWeights = {{localDataCentre, static_cast<int>(random.below(10))}};
            addPendingReallocations(next.reallocations, versions.back().config, next.config, {});
            versions.push_back(next);
        }
        moving_shares strategy;
        const roster_member self = {instance_id("i1"), incarnation_id("x1")};
        instant now(1000s);
        quota_ledger ledger({localDataCentre, self}, strategy, 0);
        ledger.setView(std::make_shared<state_view>(versions.back()), now);
        ledger.setAuthority({localDataCentre, self, roster_epoch(1), {self}, {}, deadline::never(), deadline(instant(0s))}, now);
        now += 1h;
        const token_count held = ledger.lend({localDataCentre, roster_epoch(1), workspace, token_count(1000)}, now).amount;
        for (const state_view &version : versions) {
            const workspace_settings &settings = version.config.workspaces.at(workspace);
            RC_ASSERT(held + workspaceShare(settings, version.config, other).burst <= settings.burst);
        }
        now += 2h;
        const workspace_settings &last = versions.back().config.workspaces.at(workspace);
        const token_count later = ledger.lend({localDataCentre, roster_epoch(1), workspace, token_count(1000)}, now).amount;
        RC_ASSERT(later == workspaceShare(last, versions.back().config, localDataCentre).burst);
    });
}
