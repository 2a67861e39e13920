// Tests of WindowSlice.
#include "decision/quota/window_slice.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

namespace gateway {
namespace {

constexpr RequestKey kFirst{1};
constexpr RequestKey kSecond{2};
constexpr TimePoint kNow{std::chrono::seconds(9)};

QuotaCharge uncountedCharge(double amount) {
    QuotaCharge charge;
    charge.amount = amount;
    return charge;
}

QuotaCharge confirmedCharge(double amount) {
    QuotaCharge charge = uncountedCharge(amount);
    charge.counted = true;
    charge.confirmed = true;
    return charge;
}

CounterTotal reportedTotal(double sum) {
    return {.sum = sum, .reportedAt = kNow};
}

class WindowSliceTest : public testing::Test {
protected:
    // All cost of this gateway that is pending, in flight or on the counter.
    double balance() const { return slice.posted() + slice.pendingCharge() - slice.pendingRefund(); }

    // Checks the invariants of WindowSlice, except for the calls in flight.
    void expectInvariants() const {
        EXPECT_DOUBLE_EQ(slice.refunds(), slice.pendingRefund() + slice.postedRefund());
        EXPECT_EQ(slice.hasPendingAmounts(), slice.pendingCharge() != 0 || slice.pendingRefund() != 0);
    }

    // Adds cost to the pending charge by a request that was admitted without a call, and to the pending
    // refund by a request that reached no endpoint.
    void addPendingCharge(double cost) { slice.recordAdmitted(RequestKey::none, confirmedUnposted(), cost); }
    void addPendingRefund(double cost) { slice.refundAdmitted(uncountedCharge(cost), cost); }

    WindowSlice slice{SliceIndex{7}};

private:
    static QuotaCharge confirmedUnposted() {
        QuotaCharge charge;
        charge.confirmed = true;
        return charge;
    }
};

TEST_F(WindowSliceTest, CallCarriesItsChargeAndAllThatIsPending) {
    addPendingCharge(3);
    addPendingRefund(2);
    const CounterCall& call = slice.beginChargeCall(kFirst, 5);
    EXPECT_EQ(call.amount(), 5 + 3 - 2);
    EXPECT_EQ(call.cumulativePosted(), 6);
    EXPECT_EQ(slice.postedRefund(), 2);
    EXPECT_FALSE(slice.hasPendingAmounts());
    expectInvariants();
}

TEST_F(WindowSliceTest, RolledBackCallMakesItsAmountsPendingAgain) {
    addPendingCharge(3);
    slice.beginChargeCall(kFirst, 5);
    slice.beginChargeCall(kSecond, 7);
    slice.recordAdmitted(kFirst, uncountedCharge(5), 5);
    slice.rollBack(slice.endOldestCall());
    EXPECT_EQ(slice.pendingCharge(), 3 + 5);
    EXPECT_EQ(slice.posted(), 7);
    EXPECT_EQ(slice.endOldestCall().cumulativePosted(), 7);
    expectInvariants();
}

TEST_F(WindowSliceTest, UncountedRejectedChargeNeedsNoRefund) {
    slice.beginChargeCall(kFirst, 5);
    ASSERT_TRUE(slice.refundRejected(kFirst, uncountedCharge(5)));
    slice.rollBack(slice.endOldestCall());
    EXPECT_EQ(slice.pendingRefund(), 0);
    EXPECT_EQ(slice.refunds(), 0);
    expectInvariants();
}

TEST_F(WindowSliceTest, TotalExcludesLocalRefundsAndKeepsCostAdmittedSince) {
    slice.beginChargeCall(kFirst, 5);
    slice.beginChargeCall(kSecond, 7);
    slice.recordAdmitted(kSecond, uncountedCharge(7), 7);
    slice.refundRejected(kFirst, uncountedCharge(5));
    addPendingCharge(1);
    slice.applyTotal(slice.endOldestCall(), reportedTotal(40));
    EXPECT_EQ(slice.total(), 40 - 5);
    EXPECT_EQ(slice.admittedSinceTotal(), 1 + 7);
    EXPECT_TRUE(slice.hasTotal());
    EXPECT_EQ(slice.totalReportedAt(), kNow);
    expectInvariants();
}

TEST_F(WindowSliceTest, RefundsNoChargeThatNoCallHasPosted) {
    slice.beginChargeCall(kFirst, 5);
    EXPECT_FALSE(slice.refundRejected(kSecond, uncountedCharge(5)));
    EXPECT_FALSE(slice.hasPendingAmounts());
    EXPECT_EQ(slice.endOldestCall().admission(), Admission::pending);
    expectInvariants();
}

TEST_F(WindowSliceTest, RefundOfAConfirmedChargeLowersTheTotal) {
    slice.beginChargeCall(kFirst, 5);
    slice.applyTotal(slice.endOldestCall(), reportedTotal(40));
    EXPECT_TRUE(slice.refundRejected(kFirst, confirmedCharge(5)));
    EXPECT_EQ(slice.total(), 35);
    EXPECT_EQ(slice.pendingRefund(), 5);
    expectInvariants();
}

TEST_F(WindowSliceTest, CallsEndInTheOrderInWhichTheyBegan) {
    slice.beginChargeCall(kFirst, 5);
    slice.beginReadCall(kSecond);
    slice.beginFlushCall();
    EXPECT_EQ(slice.endOldestCall().request(), kFirst);
    const CounterCall read = slice.endOldestCall();
    EXPECT_EQ(read.request(), RequestKey::none);
    EXPECT_EQ(read.reader(), kSecond);
    EXPECT_EQ(read.amount(), 0);
    EXPECT_EQ(slice.endOldestCall().reader(), RequestKey::none);
    EXPECT_FALSE(slice.hasCallInFlight());
}

TEST_F(WindowSliceTest, OnlyChargeCallsSetHasChargeCalls) {
    slice.beginFlushCall();
    slice.beginReadCall(kFirst);
    EXPECT_FALSE(slice.hasChargeCalls());
    slice.beginChargeCall(kFirst, 5);
    EXPECT_TRUE(slice.hasChargeCalls());
}

TEST_F(WindowSliceTest, FlushCallAndItsRollBackKeepTheBalance) {
    addPendingCharge(3);
    addPendingRefund(2);
    const double before = balance();
    slice.beginFlushCall();
    EXPECT_DOUBLE_EQ(balance(), before);
    slice.rollBack(slice.endOldestCall());
    EXPECT_DOUBLE_EQ(balance(), before);
    EXPECT_EQ(slice.pendingCharge(), 3);
    EXPECT_EQ(slice.pendingRefund(), 2);
    expectInvariants();
}

TEST_F(WindowSliceTest, AdmittedChargeStaysInTheBalanceWhenItsCallIsRolledBack) {
    slice.beginChargeCall(kFirst, 5);
    slice.recordAdmitted(kFirst, uncountedCharge(5), 5);
    EXPECT_EQ(balance(), 5);
    slice.rollBack(slice.endOldestCall());
    EXPECT_EQ(balance(), 5);
    EXPECT_EQ(slice.localAdmitted(), 5);
    expectInvariants();
}

TEST_F(WindowSliceTest, LostCostIsPendingAgainAndIncludedInTheTotal) {
    slice.beginChargeCall(kFirst, 5);
    slice.beginChargeCall(kSecond, 7);
    const double before = balance();
    slice.applyTotal(slice.endOldestCall(), {.sum = 1, .lost = 4, .reportedAt = kNow});
    EXPECT_EQ(slice.total(), 1 + 4);
    EXPECT_EQ(slice.pendingCharge(), 4);
    EXPECT_EQ(slice.admittedSinceTotal(), 0);
    EXPECT_EQ(balance(), before);
    EXPECT_EQ(slice.posted(), 12 - 4);
    EXPECT_EQ(slice.endOldestCall().cumulativePosted(), slice.posted());
    expectInvariants();
}

TEST_F(WindowSliceTest, ReconciliationIsPendingAndNotYetIncludedInTheTotal) {
    slice.reconcile(-3);
    EXPECT_EQ(slice.pendingCharge(), -3);
    EXPECT_EQ(slice.admittedSinceTotal(), -3);
    EXPECT_EQ(slice.localAdmitted(), -3);
    EXPECT_EQ(slice.total(), 0);
}

TEST_F(WindowSliceTest, CarriedDebtIsPendingAndIncludedInTheTotal) {
    slice.carryDebt(6);
    EXPECT_TRUE(slice.hasCarriedDebt());
    EXPECT_EQ(slice.total(), 6);
    EXPECT_EQ(slice.pendingCharge(), 6);
}

TEST_F(WindowSliceTest, SampledPendingChargeIsWeightedByItsProbability) {
    addPendingCharge(3);
    slice.weightPendingCharge(0.25);
    EXPECT_EQ(slice.pendingCharge(), 12);
    slice.dropPendingCharge();
    EXPECT_FALSE(slice.hasPendingAmounts());
}

TEST_F(WindowSliceTest, QuotaExpiresOnlyAfterATotalAndNeverReturns) {
    slice.expireQuota(4);
    EXPECT_EQ(slice.expiredQuota(), 0);
    slice.beginFlushCall();
    slice.applyTotal(slice.endOldestCall(), reportedTotal(0));
    slice.expireQuota(4);
    slice.expireQuota(2);
    EXPECT_EQ(slice.expiredQuota(), 4);
}

TEST_F(WindowSliceTest, UnconfirmedCostIsCarriedByTheNextCall) {
    slice.recordAdmitted(kFirst, uncountedCharge(5), 5);
    slice.addUnconfirmedCost({.local = 5, .estimatedRemote = 15});
    EXPECT_EQ(slice.admittedSinceTotal(), 5);
    EXPECT_EQ(slice.remoteSinceTotal(), 15);
    EXPECT_EQ(slice.pendingUnconfirmedCost(), 5);
    const CounterCall& call = slice.beginChargeCall(kSecond, 1);
    EXPECT_EQ(call.carriedUnconfirmedCost(), 5);
    EXPECT_EQ(slice.pendingUnconfirmedCost(), 0);
}

struct CoveredChargeCase {
    const char* label;
    bool counted;
    bool coveredBySamples;

    friend std::ostream& operator<<(std::ostream& out, const CoveredChargeCase& row) {
        return out << row.label;
    }
};

std::string labelOf(const testing::TestParamInfo<CoveredChargeCase>& info) {
    return info.param.label;
}

class CoveredChargeTest : public testing::TestWithParam<CoveredChargeCase> {};

TEST_P(CoveredChargeTest, IsAdmittedWithoutBecomingPending) {
    WindowSlice slice(SliceIndex{7});
    QuotaCharge charge;
    charge.counted = GetParam().counted;
    charge.coveredBySamples = GetParam().coveredBySamples;
    slice.recordAdmitted(kFirst, charge, 5);
    EXPECT_EQ(slice.localAdmitted(), 5);
    EXPECT_FALSE(slice.hasPendingAmounts());
}

INSTANTIATE_TEST_SUITE_P(Charges, CoveredChargeTest,
                         testing::Values(CoveredChargeCase{"Counted", true, false},
                                         CoveredChargeCase{"CoveredBySamples", false, true}),
                         labelOf);

}  // namespace
}  // namespace gateway
