#include "decision/upstream/slow_start_tokens.h"

#include <gtest/gtest.h>

namespace gateway {
namespace {

class SlowStartTokensTest : public testing::Test {
protected:
    static constexpr double kEndpointCapacity = 1;
    static constexpr double kTotalCapacity = 4;
};

TEST_F(SlowStartTokensTest, AccruesInProportionToTheEndpointsCapacity) {
    SlowStartTokens tokens;
    tokens.start(0.25, 10);
    tokens.accrue(12, kEndpointCapacity, kTotalCapacity);
    EXPECT_DOUBLE_EQ(tokens.tokens(), 0.75);
    EXPECT_FALSE(tokens.hasToken());
    tokens.accrue(13, kEndpointCapacity, kTotalCapacity);
    EXPECT_TRUE(tokens.hasToken());
}

TEST_F(SlowStartTokensTest, CreditsServedWorkOnlyOnce) {
    SlowStartTokens tokens;
    tokens.accrue(2, kEndpointCapacity, kTotalCapacity);
    tokens.accrue(2, kEndpointCapacity, kTotalCapacity);
    EXPECT_DOUBLE_EQ(tokens.tokens(), 0.5);
}

TEST_F(SlowStartTokensTest, DiscardsSkippedWork) {
    SlowStartTokens tokens;
    tokens.skip(100);
    tokens.accrue(102, kEndpointCapacity, kTotalCapacity);
    EXPECT_DOUBLE_EQ(tokens.tokens(), 0.5);
}

TEST_F(SlowStartTokensTest, KeepsTokensWithinTheirMaximum) {
    SlowStartTokens tokens;
    tokens.accrue(1000, kEndpointCapacity, kTotalCapacity);
    EXPECT_EQ(tokens.tokens(), 1.5);
}

TEST_F(SlowStartTokensTest, CostlyAttemptLeavesNegativeBalanceThatLaterWorkRestores) {
    SlowStartTokens tokens;
    tokens.start(1, 0);
    tokens.spend(2);
    EXPECT_EQ(tokens.tokens(), -1);
    tokens.accrue(8, kEndpointCapacity, kTotalCapacity);
    EXPECT_TRUE(tokens.hasToken());
}

}  // namespace
}  // namespace gateway
