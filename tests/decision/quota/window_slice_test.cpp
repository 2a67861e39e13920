// The bookkeeping of one window slice, alone.
#include "decision/quota/window_slice.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

namespace gateway {
namespace {

constexpr RequestKey kFirst{1};
constexpr RequestKey kSecond{2};
constexpr TimePoint kNow{std::chrono::seconds(9)};

QuotaCharge unpostedCharge(double amount) {
    QuotaCharge charge;
    charge.amount = amount;
    return charge;
}

QuotaCharge confirmedCharge(double amount) {
    QuotaCharge charge = unpostedCharge(amount);
    charge.posted = true;
    charge.confirmed = true;
    return charge;
}

CounterTotal reportedTotal(double sum) {
    return {.sum = sum, .reportedAt = kNow};
}

class WindowSliceTest : public testing::Test {
protected:
    // All that this gateway accounts for: pending, in flight or on the counter.
    double balance() const { return slice_.posted() + slice_.pendingCharge() - slice_.pendingRefund(); }

    // The invariants of the header, except for the calls in flight.
    void expectInvariants() const {
        EXPECT_DOUBLE_EQ(slice_.refunds(), slice_.pendingRefund() + slice_.postedRefund());
        EXPECT_EQ(slice_.hasPending(), slice_.pendingCharge() != 0 || slice_.pendingRefund() != 0);
    }

    // Makes cost pending: charges by a request that was admitted without a call, refunds by one that reached
    // no endpoint.
    void addPendingCharge(double cost) { slice_.recordAdmitted(RequestKey::none, confirmedUnposted(), cost); }
    void addPendingRefund(double cost) { slice_.refundAdmitted(unpostedCharge(cost), cost); }

    WindowSlice slice_{SliceIndex{7}};

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
    const CounterCall& call = slice_.beginChargeCall(kFirst, 5);
    EXPECT_EQ(call.amount(), 5 + 3 - 2);
    EXPECT_EQ(call.postedUpToHere(), 6);
    EXPECT_EQ(slice_.postedRefund(), 2);
    EXPECT_FALSE(slice_.hasPending());
    expectInvariants();
}

TEST_F(WindowSliceTest, UncountedCallMakesAllItCarriedPendingAgain) {
    addPendingCharge(3);
    slice_.beginChargeCall(kFirst, 5);
    slice_.beginChargeCall(kSecond, 7);
    slice_.recordAdmitted(kFirst, unpostedCharge(5), 5);
    slice_.withdraw(slice_.endOldestCall());
    EXPECT_EQ(slice_.pendingCharge(), 3 + 5);
    EXPECT_EQ(slice_.posted(), 7);
    EXPECT_EQ(slice_.endOldestCall().postedUpToHere(), 7);
    expectInvariants();
}

TEST_F(WindowSliceTest, UncountedRejectedChargeNeedsNoRefund) {
    slice_.beginChargeCall(kFirst, 5);
    ASSERT_TRUE(slice_.refundRejected(kFirst, unpostedCharge(5)));
    slice_.withdraw(slice_.endOldestCall());
    EXPECT_EQ(slice_.pendingRefund(), 0);
    EXPECT_EQ(slice_.refunds(), 0);
    expectInvariants();
}

TEST_F(WindowSliceTest, TotalExcludesOwnRefundsAndCountsCostNotYetIncluded) {
    slice_.beginChargeCall(kFirst, 5);
    slice_.beginChargeCall(kSecond, 7);
    slice_.recordAdmitted(kSecond, unpostedCharge(7), 7);
    slice_.refundRejected(kFirst, unpostedCharge(5));
    addPendingCharge(1);
    slice_.applyTotal(slice_.endOldestCall(), reportedTotal(40));
    EXPECT_EQ(slice_.total(), 40 - 5);
    EXPECT_EQ(slice_.admittedSinceTotal(), 1 + 7);
    EXPECT_TRUE(slice_.hasTotal());
    EXPECT_EQ(slice_.totalReportedAt(), kNow);
    expectInvariants();
}

TEST_F(WindowSliceTest, RefundsNoChargeWithoutACallInFlight) {
    slice_.beginChargeCall(kFirst, 5);
    EXPECT_FALSE(slice_.refundRejected(kSecond, unpostedCharge(5)));
    EXPECT_FALSE(slice_.hasPending());
    EXPECT_EQ(slice_.endOldestCall().admission(), Admission::pending);
    expectInvariants();
}

TEST_F(WindowSliceTest, RefundsConfirmedChargeFromTheTotal) {
    slice_.beginChargeCall(kFirst, 5);
    slice_.applyTotal(slice_.endOldestCall(), reportedTotal(40));
    EXPECT_TRUE(slice_.refundRejected(kFirst, confirmedCharge(5)));
    EXPECT_EQ(slice_.total(), 35);
    EXPECT_EQ(slice_.pendingRefund(), 5);
    expectInvariants();
}

TEST_F(WindowSliceTest, CallsEndInTheOrderInWhichTheyBegan) {
    slice_.beginChargeCall(kFirst, 5);
    slice_.beginReadCall(kSecond);
    slice_.beginFlushCall();
    EXPECT_EQ(slice_.endOldestCall().request(), kFirst);
    const CounterCall read = slice_.endOldestCall();
    EXPECT_EQ(read.request(), RequestKey::none);
    EXPECT_EQ(read.reader(), kSecond);
    EXPECT_EQ(read.amount(), 0);
    EXPECT_EQ(slice_.endOldestCall().reader(), RequestKey::none);
    EXPECT_FALSE(slice_.hasCallInFlight());
}

TEST_F(WindowSliceTest, OnlyAChargeCallCountsAsOne) {
    slice_.beginFlushCall();
    slice_.beginReadCall(kFirst);
    EXPECT_FALSE(slice_.hasChargeCalls());
    slice_.beginChargeCall(kFirst, 5);
    EXPECT_TRUE(slice_.hasChargeCalls());
}

TEST_F(WindowSliceTest, CallMovesPendingCostWithoutLosingAny) {
    addPendingCharge(3);
    addPendingRefund(2);
    const double before = balance();
    slice_.beginFlushCall();
    EXPECT_DOUBLE_EQ(balance(), before);
    slice_.withdraw(slice_.endOldestCall());
    EXPECT_DOUBLE_EQ(balance(), before);
    EXPECT_EQ(slice_.pendingCharge(), 3);
    EXPECT_EQ(slice_.pendingRefund(), 2);
    expectInvariants();
}

TEST_F(WindowSliceTest, AdmittedChargeIsBalancedWhetherOrNotItsCallWasCounted) {
    slice_.beginChargeCall(kFirst, 5);
    slice_.recordAdmitted(kFirst, unpostedCharge(5), 5);
    EXPECT_EQ(balance(), 5);
    slice_.withdraw(slice_.endOldestCall());
    EXPECT_EQ(balance(), 5);
    EXPECT_EQ(slice_.ownAdmitted(), 5);
    expectInvariants();
}

TEST_F(WindowSliceTest, LostCostIsPendingAgainAndIncludedInTheTotal) {
    slice_.beginChargeCall(kFirst, 5);
    slice_.beginChargeCall(kSecond, 7);
    const double before = balance();
    slice_.applyTotal(slice_.endOldestCall(), {.sum = 1, .lost = 4, .reportedAt = kNow});
    EXPECT_EQ(slice_.total(), 1 + 4);
    EXPECT_EQ(slice_.pendingCharge(), 4);
    EXPECT_EQ(slice_.admittedSinceTotal(), 0);
    EXPECT_EQ(balance(), before);
    EXPECT_EQ(slice_.posted(), 12 - 4);
    EXPECT_EQ(slice_.endOldestCall().postedUpToHere(), slice_.posted());
    expectInvariants();
}

TEST_F(WindowSliceTest, ReconciliationIsPendingAndNotYetIncludedInTheTotal) {
    slice_.reconcile(-3);
    EXPECT_EQ(slice_.pendingCharge(), -3);
    EXPECT_EQ(slice_.admittedSinceTotal(), -3);
    EXPECT_EQ(slice_.ownAdmitted(), -3);
    EXPECT_EQ(slice_.total(), 0);
}

TEST_F(WindowSliceTest, CarriedDebtIsPendingAndIncludedInTheTotal) {
    slice_.carryDebt(6);
    EXPECT_TRUE(slice_.hasCarriedDebt());
    EXPECT_EQ(slice_.total(), 6);
    EXPECT_EQ(slice_.pendingCharge(), 6);
}

TEST_F(WindowSliceTest, SampledPendingChargeIsWeightedByItsProbability) {
    addPendingCharge(3);
    slice_.weightPendingCharge(0.25);
    EXPECT_EQ(slice_.pendingCharge(), 12);
    slice_.dropPendingCharge();
    EXPECT_FALSE(slice_.hasPending());
}

TEST_F(WindowSliceTest, BurstExpiresOnlyAfterATotalAndNeverReturns) {
    slice_.expireBurst(4);
    EXPECT_EQ(slice_.expiredBurst(), 0);
    slice_.beginFlushCall();
    slice_.applyTotal(slice_.endOldestCall(), reportedTotal(0));
    slice_.expireBurst(4);
    slice_.expireBurst(2);
    EXPECT_EQ(slice_.expiredBurst(), 4);
}

TEST_F(WindowSliceTest, UnconfirmedCostIsCarriedByTheNextCall) {
    slice_.recordAdmitted(kFirst, unpostedCharge(5), 5);
    slice_.addUnconfirmed({.local = 5, .estimatedRemote = 15});
    EXPECT_EQ(slice_.admittedSinceTotal(), 5);
    EXPECT_EQ(slice_.remoteSinceTotal(), 15);
    EXPECT_EQ(slice_.pendingUnconfirmed(), 5);
    const CounterCall& call = slice_.beginChargeCall(kSecond, 1);
    EXPECT_EQ(call.carriedUnconfirmed(), 5);
    EXPECT_EQ(slice_.pendingUnconfirmed(), 0);
}

struct CoveredChargeCase {
    const char* label;
    bool posted;
    bool coveredBySamples;

    friend void PrintTo(const CoveredChargeCase& row, std::ostream* out) { *out << row.label; }
};

std::string labelOf(const testing::TestParamInfo<CoveredChargeCase>& info) {
    return info.param.label;
}

class CoveredChargeTest : public testing::TestWithParam<CoveredChargeCase> {};

TEST_P(CoveredChargeTest, IsAdmittedWithoutBecomingPending) {
    WindowSlice slice(SliceIndex{7});
    QuotaCharge charge;
    charge.posted = GetParam().posted;
    charge.coveredBySamples = GetParam().coveredBySamples;
    slice.recordAdmitted(kFirst, charge, 5);
    EXPECT_EQ(slice.ownAdmitted(), 5);
    EXPECT_FALSE(slice.hasPending());
}

INSTANTIATE_TEST_SUITE_P(Charges, CoveredChargeTest,
                         testing::Values(CoveredChargeCase{"Posted", true, false},
                                         CoveredChargeCase{"CoveredBySamples", false, true}),
                         labelOf);

}  // namespace
}  // namespace gateway
