// Ceilings, which hold without the counter.
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <stdexcept>

#include "support/engine_fixture.h"

namespace gateway {
namespace {

TEST(Ceiling, HoldsWithoutTheCounterAndIsEmptyAfterAStart) {
    Settings s = plainSettings();
    s.counterEnabled = false;
    s.plans[0].rate = 1000;
    s.plans[0].burst = 4000;
    s.plans[0].ceilingRate = 10;
    s.plans[0].ceilingBurst = 20;
    EngineFixture fixture(s);
    fixture.request();
    EXPECT_TRUE(fixture.sends.empty());
    fixture.advance(milliseconds(60'000));
    for (int i = 0; i < 20; ++i) fixture.request();
    EXPECT_EQ(fixture.sends.size(), 10u);  // half of the store: two gateways share it
}

// Several gateways share a tenant's ceiling; all they send on is summed against rate, store and slack.
// They share a counter that answers some of them, now and then falls silent and now and then comes back
// empty.
TEST(Ceiling, HoldsInSumWhileTheCounterFailsAndForgets) {
    constexpr int kEntryPoints = 4;
    Settings s = plainSettings();
    s.gatewayCount = kEntryPoints;
    s.maxRequestCost = 4;
    QuotaPlan& plan = s.plans[0];
    plan.rate = 20;
    plan.burst = 30;
    plan.ceilingRate = 35;
    plan.ceilingBurst = 50;
    plan.ceilingSlack = 5;
    for (const int answering : {0, 1, 2, 4}) {  // gateways that the counter answers
        std::vector<EngineFixture> rigs;
        rigs.reserve(kEntryPoints);
        for (int i = 0; i < kEntryPoints; ++i) rigs.emplace_back(s);
        std::map<std::string, double> counts;
        double store = plan.ceilingBurst, least = store, all = 0;
        for (int step = 0; step < 4000; ++step) {  // 40 s, half of them asked beyond the ceiling
            store = std::min(plan.ceilingBurst, store + plan.ceilingRate * 0.01);
            for (int i = 0; i < kEntryPoints; ++i) {
                EngineFixture& fixture = rigs[static_cast<std::size_t>(i)];
                fixture.advance(milliseconds(10));
                fixture.counting = i < answering && step % 700 < 600;
                if (step % 500 == 0) counts.clear();
                fixture.counts = counts;
                if ((step + i) % 4 != 0 || step % 1000 >= 500) continue;
                const double cost = 1 + (step / 4 + i) % 4;
                const std::size_t before = fixture.sends.size();
                fixture.request(cost, 5, milliseconds(2500), kEntryPoints);
                fixture.failHeldAdds(Outcome::timedOut);
                for (std::size_t k = before; k < fixture.sends.size(); ++k) {
                    store -= cost;
                    all += cost;
                    fixture.end(fixture.sends[k], 0, Outcome::ok, true);
                }
                least = std::min(least, store);
                counts = fixture.counts;
            }
        }
        EXPECT_GE(least, -plan.ceilingSlack) << answering << " gateways answered";
        EXPECT_GE(all, 0.25 * plan.rate * 40) << answering << " gateways answered";
    }
}

// A tenant that comes through one of its gateways only gets its quota there, from the first moment on:
// what the counter answered for is within the quota, whatever the ceiling's parts.
TEST(Ceiling, WhatTheCounterAnsweredForDrawsOnNoPartOfIt) {
    Settings s = plainSettings();
    QuotaPlan& plan = s.plans[0];
    plan.rate = 20;
    plan.burst = 30;
    plan.ceilingRate = 35;
    plan.ceilingBurst = 50;
    EngineFixture fixture(s);
    for (int i = 0; i < 40; ++i) fixture.request(1, 5, milliseconds(2500), 4);
    EXPECT_GE(fixture.sends.size(), 29u);
    for (const SendAttempt& send : fixture.sends) fixture.end(send, 0, Outcome::ok, true);
    fixture.counting = false;
    fixture.advance(milliseconds(1500));
    const std::size_t before = fixture.sends.size();
    for (int i = 0; i < 12; ++i) {
        fixture.request(1, 5, milliseconds(2500), 4);
        fixture.failHeldAdds(Outcome::timedOut);
    }
    EXPECT_EQ(fixture.sends.size() - before,
              5u);  // a quarter of the 20 that the ceiling holds over the burst
}

TEST(Ceiling, FewerEntryPointsDoNotFillAPartThatOthersHaveSpent) {
    Settings s = plainSettings();
    s.counterEnabled = false;
    s.plans[0].rate = s.plans[0].burst = 4000;
    s.plans[0].ceilingRate = 10;
    s.plans[0].ceilingBurst = 20;
    EngineFixture fixture(s);
    fixture.advance(milliseconds(60'000));
    for (int i = 0; i < 10; ++i) fixture.request(1, 5, milliseconds(2500), 4);
    EXPECT_EQ(fixture.sends.size(), 5u);  // a quarter of the store
    fixture.advance(milliseconds(1000));
    for (int i = 0; i < 20; ++i) fixture.request(1, 5, milliseconds(2500), 1);
    EXPECT_EQ(fixture.sends.size(), 7u);  // a quarter of the rate until now
    fixture.advance(milliseconds(1000));
    for (int i = 0; i < 20; ++i) fixture.request(1, 5, milliseconds(2500), 1);
    EXPECT_EQ(fixture.sends.size(), 17u);  // all of it from now on
}

}  // namespace
}  // namespace gateway
