#include "decision/engine/timer_table.h"

#include <gtest/gtest.h>

#include <variant>

namespace gateway {
namespace {

TEST(TimerTableTest, ReturnsTimerOnce) {
    TimerTable timers;
    const SetTimer action = timers.start(CounterWaitExpired{RequestKey{7}}, std::chrono::milliseconds(20));
    EXPECT_EQ(action.delay, std::chrono::milliseconds(20));

    const auto timer = timers.take(action.timer);
    ASSERT_TRUE(timer);
    EXPECT_EQ(std::get<CounterWaitExpired>(*timer).request, RequestKey{7});
    EXPECT_FALSE(timers.take(action.timer));
}

TEST(TimerTableTest, DistinguishesTimers) {
    TimerTable timers;
    const SetTimer flush = timers.start(FlushDue{{TenantId{5}, SliceIndex{3}}}, std::chrono::seconds(1));
    const SetTimer retry = timers.start(DiscoveryRetryDue{}, std::chrono::seconds(1));
    EXPECT_NE(flush.timer, retry.timer);
    EXPECT_TRUE(std::holds_alternative<DiscoveryRetryDue>(timers.take(retry.timer).value()));
    EXPECT_EQ(std::get<FlushDue>(timers.take(flush.timer).value()).slice.index, SliceIndex{3});
}

TEST(TimerTableTest, ReplacesDelayThatIsNotPositive) {
    TimerTable timers;
    for (const Duration delay : {Duration(-5), Duration::zero()})
        EXPECT_GT(timers.start(DiscoveryRetryDue{}, delay).delay, Duration::zero());
}

}  // namespace
}  // namespace gateway
