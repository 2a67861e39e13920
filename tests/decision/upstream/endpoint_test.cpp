#include "decision/upstream/endpoint.h"

#include <gtest/gtest.h>

#include <chrono>

namespace gateway {
namespace {

class EndpointTest : public testing::Test {
protected:
    static constexpr TimePoint kNow{std::chrono::seconds(100)};
    static constexpr double kInitialLimit = 16;

    EndpointTest() { endpoint_.applyEntry(entry(Availability::up), kInitialLimit); }

    static EndpointEntry entry(Availability availability, TimePoint startedAt = {}) {
        EndpointEntry entry;
        entry.endpoint = EndpointId("e0");
        entry.availability = availability;
        entry.startedAt = startedAt;
        return entry;
    }

    void failToConnect() {
        AttemptEnded ended;
        ended.outcome = Outcome::connectFailed;
        endpoint_.observeAttempt(ended, AttemptSample{}, kNow);
    }

    Endpoint endpoint_{kInitialLimit};
};

TEST_F(EndpointTest, IsUsableOnlyWhileListedAndNotDraining) {
    EXPECT_FALSE(Endpoint(kInitialLimit).isUsable());
    EXPECT_TRUE(endpoint_.isUsable());
    endpoint_.applyEntry(entry(Availability::draining), kInitialLimit);
    EXPECT_FALSE(endpoint_.isUsable());
    endpoint_.applyEntry(entry(Availability::up), kInitialLimit);
    endpoint_.markRemoved();
    EXPECT_FALSE(endpoint_.isUsable());
}

TEST_F(EndpointTest, IsUnusedOnceRemovedAndWithoutAttemptsInFlight) {
    EXPECT_FALSE(endpoint_.isUnused());
    endpoint_.beginAttempt(1);
    endpoint_.markRemoved();
    EXPECT_FALSE(endpoint_.isUnused());
    endpoint_.endAttempt();
    EXPECT_TRUE(endpoint_.isUnused());
}

TEST_F(EndpointTest, RestartDiscardsAllStateButAttemptsInFlight) {
    endpoint_.beginAttempt(1);
    endpoint_.setSubsetShare(0);
    failToConnect();
    ASSERT_TRUE(endpoint_.isEjected(kNow));
    EXPECT_TRUE(endpoint_.applyEntry(entry(Availability::up, kNow), kInitialLimit));
    EXPECT_EQ(endpoint_.inFlight(), 1);
    EXPECT_FALSE(endpoint_.isEjected(kNow));
    EXPECT_EQ(endpoint_.load().observedAt(), TimePoint{});
    EXPECT_EQ(endpoint_.slowStartTokens().tokens(), 0);
    EXPECT_EQ(endpoint_.subsetShare(), 1);
}

TEST_F(EndpointTest, EntryOfTheSameProcessKeepsTheState) {
    failToConnect();
    EXPECT_FALSE(endpoint_.applyEntry(entry(Availability::up), kInitialLimit));
    EXPECT_TRUE(endpoint_.isEjected(kNow));
}

TEST_F(EndpointTest, AttemptsSpendSlowStartTokensAndOccupyTheConcurrencyLimit) {
    endpoint_.slowStartTokens().start(1, 0);
    endpoint_.beginAttempt(0.5);
    EXPECT_EQ(endpoint_.slowStartTokens().tokens(), 0.5);
    EXPECT_EQ(endpoint_.inFlight(), 1);
    for (int i = 1; i < 16; ++i) endpoint_.beginAttempt(0.5);
    EXPECT_FALSE(endpoint_.hasCapacity());
}

TEST_F(EndpointTest, ReportedLoadExcludesOwnAttemptsStillInFlight) {
    endpoint_.beginAttempt(1);
    AttemptEnded ended;
    ended.report.emplace();
    ended.report->inFlight = 1;
    endpoint_.observeAttempt(ended, AttemptSample{}, kNow);
    EXPECT_EQ(endpoint_.load().remoteInFlight(), 0);
}

}  // namespace
}  // namespace gateway
