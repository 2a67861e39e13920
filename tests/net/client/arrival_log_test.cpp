#include "net/client/arrival_log.h"

#include <gtest/gtest.h>

namespace gateway::net::test {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(1000)};

TEST(ArrivalLogTest, ReturnsArrivalTimeOfEachPipelinedRequest) {
    ArrivalLog log;
    log.recordArrival(100, kStart);
    log.recordArrival(150, kStart + milliseconds(20));
    EXPECT_EQ(log.takeNextArrivalTime(), kStart);
    log.consume(99);
    EXPECT_EQ(log.takeNextArrivalTime(), kStart);
    log.consume(1);
    EXPECT_EQ(log.takeNextArrivalTime(), kStart + milliseconds(20));
}

TEST(ArrivalLogTest, MergesArrivalsWithinTenMilliseconds) {
    ArrivalLog log;
    log.recordArrival(10, kStart);
    log.recordArrival(20, kStart + milliseconds(10));
    log.consume(15);
    EXPECT_EQ(log.takeNextArrivalTime(), kStart);
}

TEST(ArrivalLogTest, StartsNewEntryWhenAllBytesAreConsumed) {
    ArrivalLog log;
    log.recordArrival(10, kStart);
    log.consume(10);
    log.recordArrival(5, kStart + milliseconds(1));
    EXPECT_EQ(log.takeNextArrivalTime(), kStart + milliseconds(1));
}

TEST(ArrivalLogTest, SkipsArrivalsThatAreConsumedCompletely) {
    ArrivalLog log;
    log.recordArrival(10, kStart);
    log.recordArrival(20, kStart + milliseconds(20));
    log.recordArrival(30, kStart + milliseconds(40));
    log.consume(25);
    EXPECT_EQ(log.takeNextArrivalTime(), kStart + milliseconds(40));
}

}  // namespace
}  // namespace gateway::net::test
