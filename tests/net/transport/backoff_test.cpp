#include "net/transport/backoff.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace gateway::net {
namespace {

using std::chrono::milliseconds;

class BackoffTest : public ::testing::Test {
protected:
    static constexpr Duration kInitialBound = milliseconds(50);
    static constexpr Duration kMaxBound = milliseconds(200);
    static constexpr int kDraws = 1000;

    // Returns the longest of many waits that are each drawn after `growthSteps` earlier ones.
    static Duration longestWaitAfter(int growthSteps) {
        Duration longest{};
        for (int seed = 0; seed < kDraws; ++seed) {
            Backoff drawn(kInitialBound, kMaxBound, static_cast<std::uint64_t>(seed));
            for (int i = 0; i < growthSteps; ++i) drawn.next();
            longest = std::max(longest, drawn.next());
        }
        return longest;
    }

    Backoff backoff{kInitialBound, kMaxBound, 1};
};

TEST_F(BackoffTest, DoublesBoundUpToMax) {
    constexpr double kNearBound = 0.9;
    for (const auto& [steps, bound] : {std::pair{0, kInitialBound}, std::pair{1, kInitialBound * 2},
                                       std::pair{2, kMaxBound}, std::pair{3, kMaxBound}}) {
        const Duration longest = longestWaitAfter(steps);
        EXPECT_LE(longest, bound) << steps;
        EXPECT_GT(longest, bound * kNearBound) << steps;
    }
}

TEST_F(BackoffTest, WaitsAreAboveZero) {
    for (int i = 0; i < kDraws; ++i) EXPECT_GT(backoff.next(), Duration::zero());
}

TEST_F(BackoffTest, ResetReturnsToInitialBound) {
    for (int i = 0; i < kDraws; ++i) {
        backoff.next();
        backoff.next();
        backoff.reset();
        EXPECT_LE(backoff.next(), kInitialBound);
        backoff.reset();
    }
}

TEST_F(BackoffTest, DrawUpToBoundDoesNotChangeBoundOfNext) {
    for (int i = 0; i < kDraws; ++i) {
        const Duration wait = backoff.drawUpTo(Duration(3));
        EXPECT_GE(wait, Duration(1));
        EXPECT_LE(wait, Duration(3));
    }
    EXPECT_LE(backoff.next(), kInitialBound);
    EXPECT_EQ(backoff.drawUpTo(Duration::zero()), Duration::zero());
    EXPECT_EQ(backoff.drawUpTo(Duration(-1)), Duration::zero());
}

TEST_F(BackoffTest, SameSeedDrawsSameWaits) {
    Backoff other(kInitialBound, kMaxBound, 1);
    for (int i = 0; i < kDraws; ++i) EXPECT_EQ(backoff.next(), other.next());
}

}  // namespace
}  // namespace gateway::net
