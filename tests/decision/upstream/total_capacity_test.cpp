#include "decision/upstream/total_capacity.h"

#include <gtest/gtest.h>

namespace gateway {
namespace {

TEST(TotalCapacityTest, SumsFullAndPresentCapacity) {
    TotalCapacity capacity;
    capacity.add(2, 0.25);
    EXPECT_EQ(capacity.fullWeight(), 2);
    EXPECT_EQ(capacity.effectiveWeight(), 0.5);
    EXPECT_FALSE(capacity.hasWarmEndpoint());
    capacity.add(1, 1);
    EXPECT_EQ(capacity.fullWeight(), 3);
    EXPECT_EQ(capacity.effectiveWeight(), 1.5);
    EXPECT_TRUE(capacity.hasWarmEndpoint());
}

TEST(TotalCapacityTest, IsEmptyWithoutEndpoints) {
    const TotalCapacity capacity;
    EXPECT_EQ(capacity.fullWeight(), 0);
    EXPECT_EQ(capacity.effectiveWeight(), 0);
    EXPECT_FALSE(capacity.hasWarmEndpoint());
}

}  // namespace
}  // namespace gateway
