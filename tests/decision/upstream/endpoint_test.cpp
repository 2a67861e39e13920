#include "decision/upstream/endpoint.h"

#include <gtest/gtest.h>

#include <chrono>

namespace gateway {
namespace {

class EndpointTest : public testing::Test {
protected:
    static constexpr TimePoint kNow{std::chrono::seconds(100)};
    static constexpr double kInitialLimit = 16;

    EndpointTest() { endpoint.applyEntry(entry(Availability::up), kInitialLimit); }

    static EndpointEntry entry(Availability availability, TimePoint startedAt = {}) {
        EndpointEntry entry;
        entry.id = EndpointId("e0");
        entry.availability = availability;
        entry.startedAt = startedAt;
        return entry;
    }

    void failToConnect() {
        AttemptEnded ended;
        ended.outcome = Outcome::connectFailed;
        endpoint.observeAttempt(ended, AttemptSample{}, kNow);
    }

    Endpoint endpoint{kInitialLimit};
};

TEST_F(EndpointTest, IsUsableOnlyWhileListedAndNotDraining) {
    EXPECT_FALSE(Endpoint(kInitialLimit).isUsable());
    EXPECT_TRUE(endpoint.isUsable());
    endpoint.applyEntry(entry(Availability::draining), kInitialLimit);
    EXPECT_FALSE(endpoint.isUsable());
    endpoint.applyEntry(entry(Availability::up), kInitialLimit);
    endpoint.markRemoved();
    EXPECT_FALSE(endpoint.isUsable());
}

TEST_F(EndpointTest, IsUnusedOnceRemovedAndWithoutAttemptsInFlight) {
    EXPECT_FALSE(endpoint.isUnused());
    endpoint.beginAttempt(1);
    endpoint.markRemoved();
    EXPECT_FALSE(endpoint.isUnused());
    endpoint.endAttempt();
    EXPECT_TRUE(endpoint.isUnused());
}

TEST_F(EndpointTest, RestartDiscardsAllStateButAttemptsInFlight) {
    endpoint.beginAttempt(1);
    endpoint.setSubsetShare(0);
    failToConnect();
    ASSERT_TRUE(endpoint.isEjected(kNow));
    EXPECT_TRUE(endpoint.applyEntry(entry(Availability::up, kNow), kInitialLimit));
    EXPECT_EQ(endpoint.inFlight(), 1);
    EXPECT_FALSE(endpoint.isEjected(kNow));
    EXPECT_EQ(endpoint.load().observedAt(), TimePoint{});
    EXPECT_EQ(endpoint.slowStartTokens().tokens(), 0);
    EXPECT_EQ(endpoint.subsetShare(), 1);
}

TEST_F(EndpointTest, EntryOfTheSameProcessKeepsTheState) {
    failToConnect();
    EXPECT_FALSE(endpoint.applyEntry(entry(Availability::up), kInitialLimit));
    EXPECT_TRUE(endpoint.isEjected(kNow));
}

TEST_F(EndpointTest, AttemptsSpendSlowStartTokensAndOccupyTheConcurrencyLimit) {
    endpoint.slowStartTokens().start(1, 0);
    endpoint.beginAttempt(0.5);
    EXPECT_EQ(endpoint.slowStartTokens().tokens(), 0.5);
    EXPECT_EQ(endpoint.inFlight(), 1);
    for (int i = 1; i < 16; ++i) endpoint.beginAttempt(0.5);
    EXPECT_FALSE(endpoint.hasCapacity());
}

TEST_F(EndpointTest, ReportedLoadExcludesOwnAttemptsStillInFlight) {
    endpoint.beginAttempt(1);
    AttemptEnded ended;
    ended.loadReport.emplace();
    ended.loadReport->inFlight = 1;
    endpoint.observeAttempt(ended, AttemptSample{}, kNow);
    EXPECT_EQ(endpoint.load().remoteInFlight(), 0);
}

}  // namespace
}  // namespace gateway
