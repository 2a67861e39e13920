#include "net/client/arrival_log.h"

#include <gtest/gtest.h>

namespace gateway::net::test {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(1000)};

TEST(ArrivalLogTest, ReturnsArrivalTimeOfEachPipelinedRequest) {
    ArrivalLog log;
    log.noteArrival(100, kStart);
    log.noteArrival(150, kStart + milliseconds(20));
    EXPECT_EQ(log.takeArrivalOfNext(), kStart);
    log.consume(99);
    EXPECT_EQ(log.takeArrivalOfNext(), kStart);
    log.consume(1);
    EXPECT_EQ(log.takeArrivalOfNext(), kStart + milliseconds(20));
}

TEST(ArrivalLogTest, MergesArrivalsWithinTenMilliseconds) {
    ArrivalLog log;
    log.noteArrival(10, kStart);
    log.noteArrival(20, kStart + milliseconds(10));
    log.consume(15);
    EXPECT_EQ(log.takeArrivalOfNext(), kStart);
}

TEST(ArrivalLogTest, StartsNewEntryWhenAllBytesAreConsumed) {
    ArrivalLog log;
    log.noteArrival(10, kStart);
    log.consume(10);
    log.noteArrival(5, kStart + milliseconds(1));
    EXPECT_EQ(log.takeArrivalOfNext(), kStart + milliseconds(1));
}

TEST(ArrivalLogTest, SkipsArrivalsThatAreConsumedCompletely) {
    ArrivalLog log;
    log.noteArrival(10, kStart);
    log.noteArrival(20, kStart + milliseconds(20));
    log.noteArrival(30, kStart + milliseconds(40));
    log.consume(25);
    EXPECT_EQ(log.takeArrivalOfNext(), kStart + milliseconds(40));
}

}  // namespace
}  // namespace gateway::net::test
