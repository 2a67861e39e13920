// Calls to the counter while it is crowded, silent, or has lost counts.
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <stdexcept>

#include "support/engine_fixture.h"

namespace gateway {
namespace {

TEST(CounterSampling, ACrowdedCounterIsAskedLessAndEachAddStandsForMore) {
    EngineFixture fixture(plainSettings());
    for (std::uint64_t k = 100; k < 160; ++k) {  // one request of each: most calls are turned away
        fixture.counting = k % 3 == 0;
        fixture.request(1, k);
        fixture.failHeldAdds(Outcome::rejected);
    }
    const int polled = fixture.adds;
    EXPECT_LT(polled, 60);
    double most = 0;
    for (const auto& [name, sum] : fixture.counts) most = std::max(most, sum);
    EXPECT_GT(most, 1.5);
    EXPECT_LE(most, 2);  // more would fill the windows of small tenants by chance
    EXPECT_EQ(fixture.sends.size(), 60u - fixture.refusals.size());
    fixture.counting = true;
    for (std::uint64_t k = 200; k < 600; ++k) fixture.request(1, k);
    const int before = fixture.adds;
    for (std::uint64_t k = 600; k < 700; ++k) fixture.request(1, k);
    EXPECT_GE(fixture.adds - before, 90);  // it carries the load again
}

// An answer that can't be read, or a connection that breaks, says nothing of how much the counter can bear.
TEST(CounterSampling, BrokenAnswersAreNoSignOfACrowd) {
    EngineFixture fixture(plainSettings());
    for (std::uint64_t k = 100; k < 160; ++k) {
        fixture.counting = k % 3 != 0;
        fixture.request(1, k);
        fixture.failHeldAdds(Outcome::reset);
    }
    EXPECT_EQ(fixture.adds, 60 + 40);  // all ask; those that were answered also read the closed slice
}

// A tenant that was not seen in the slice before owes nothing, as far as is known: a crowded counter isn't
// asked.
TEST(CounterSampling, ACrowdedOneIsNotAskedForClosedSlicesThatHardlyOwe) {
    EngineFixture fixture(plainSettings());
    fixture.counting = false;
    for (std::uint64_t k = 100; k < 103; ++k) {
        fixture.request(1, k);
        fixture.failHeldAdds(Outcome::rejected);
    }
    fixture.counting = true;
    for (std::uint64_t k = 200; k < 210; ++k) fixture.request(1, k);
    for (const auto& [name, sum] : fixture.counts) EXPECT_GT(sum, 0) << name << " was only read";
}

TEST(CounterSampling, ACrowdedOnesRefundsNeverTakeOffWhatWasSent) {
    EngineFixture fixture(plainSettings());
    double least = 0;
    for (std::uint64_t k = 100; k < 300; ++k) {  // each asks for three times its burst
        for (int i = 0; i < 24; ++i) {
            fixture.counting = (k + static_cast<std::uint64_t>(i)) % 3 == 0;  // most calls are turned away
            fixture.request(1, k);
            fixture.advance(milliseconds(10));
            fixture.failHeldAdds(Outcome::rejected);
            for (const auto& [name, sum] : fixture.counts) least = std::min(least, sum);
        }
    }
    EXPECT_GT(fixture.refusals.size(), 1000u);
    EXPECT_GE(least, -1e-6);
}

// Of a crowded counter's answers those are worth most that tell of tenants near their quota.
TEST(CounterSampling, ACrowdedOneIsAskedMostForThoseNearTheirQuota) {
    Settings s = plainSettings();
    s.plans[0].overQuotaPenalty = 1;
    EngineFixture fixture(s);
    int frequent = 0, once = 0;
    for (std::uint64_t k = 100; k < 300; ++k) {
        fixture.counting = false;
        int before = fixture.adds;
        fixture.request(1, 7);
        frequent += fixture.adds - before;
        fixture.failHeldAdds(Outcome::rejected);
        fixture.counting = true;
        before = fixture.adds;
        fixture.request(1, k);
        once += std::min(1, fixture.adds - before);  // the read of the closed slice is not meant
        fixture.advance(milliseconds(50));
    }
    EXPECT_GT(frequent, 3 * once / 2);
    EXPECT_GT(once, 0);
}

// A crowded counter works on calls that nobody waits for: adding them once more would shut the tenant out.
TEST(CounterSampling, AddsWithoutAnAnswerAreNotMadeTwice) {
    Settings s = plainSettings();
    s.plans[0].burst = 40;
    EngineFixture fixture(s);
    fixture.counting = false;
    for (int i = 0; i < 24; ++i) {
        fixture.request(1, 5, milliseconds(2500), 1);
        for (const AddToCounter& add : fixture.held) fixture.counts[add.name] += add.amount;
        fixture.failHeldAdds(Outcome::timedOut);
    }
    ASSERT_EQ(fixture.sends.size(), 24u);
    for (const SendAttempt& send : fixture.sends) fixture.end(send, 0, Outcome::ok, true);
    fixture.counting = true;
    for (int i = 0; i < 4; ++i) fixture.request(1, 5, milliseconds(2500), 1);
    fixture.advance(milliseconds(5000));
    EXPECT_GT(fixture.counted(), 20);
    EXPECT_LE(fixture.counted(), 28 + 1e-6);
}

// A sum has in it nothing of the calls that were made after its own.
TEST(CounterSampling, WhatIsStillUnderWayIsTakenToBeAdmitted) {
    EngineFixture fixture(plainSettings());
    fixture.counting = false;
    const auto ask = [&] {
        fixture.request(1, 5, milliseconds(2500), 1);
        fixture.advance(milliseconds(60));  // decided without the answer
    };
    for (int i = 0; i < 5; ++i) ask();
    ASSERT_EQ(fixture.sends.size(), 5u);
    const AddToCounter first = fixture.held.front();
    fixture.held.erase(fixture.held.begin());
    fixture.feed(CounterReplied{first.name, Outcome::ok, 1, {}});
    for (int i = 0; i < 10; ++i) ask();
    EXPECT_LE(fixture.sends.size(), 9u);  // the burst of 8 and 2 a second
    EXPECT_GE(fixture.sends.size(), 8u);
}

// Where a try too many earns more than it costs, nobody is refused for what others may have let in.
TEST(CounterSampling, UnseenUseOfOthersIsNotHeldAgainstAPlanThatLosesNothing) {
    for (const double overQuotaWeight : {0.0, 0.2}) {
        Settings s = plainSettings();
        s.plans[0].overQuotaWeight = overQuotaWeight;
        EngineFixture fixture(s);
        fixture.counting = false;
        for (int i = 0; i < 7; ++i) {
            fixture.request(1, 5, milliseconds(2500), 4);
            fixture.failHeldAdds(Outcome::timedOut);
        }
        EXPECT_EQ(fixture.sends.size() == 7, overQuotaWeight > 0);
    }
}

TEST(CounterSampling, ACrowdedOneIsSampledByTheMeterWhereOwnRequestsAreFew) {
    Settings s = plainSettings();
    s.gatewayCount = 100;
    s.usageMeterPeriod = milliseconds(1000);
    s.plans[0].rate = 20;
    s.plans[0].burst = 80;
    EngineFixture fixture(s, 60);
    int adds[2] = {0, 0};  // of one that uses all of its quota, and of one that uses little
    for (int i = 0; i < 120; ++i) {
        const int which = i % 2;
        // Now and then calls time out: the counter is crowded.
        fixture.counting = i < 20 || i % 10 > 1;
        const int before = fixture.adds;
        fixture.request(1, 5 + static_cast<std::uint64_t>(which), milliseconds(2500), 75);
        if (i >= 20) adds[which] += fixture.adds > before;
        fixture.failHeldAdds(Outcome::timedOut);
        AttemptEnded e;
        e.request = fixture.sends.back().request;
        e.endpoint = fixture.sends.back().endpoint;
        e.closed = true;
        e.meteredPercent = which == 0 ? 100 : 5;
        fixture.feed(e);
        fixture.advance(milliseconds(50));
    }
    EXPECT_GT(adds[0], adds[1] + 10);
}

// A tenant held to its quota reads 100% however much it asks for. Over a whole fleet, all that goes unasked
// then comes on top of it.
TEST(CounterSampling, UnsampledOnesOfATenantAtItsQuotaAreAdmittedLessWhereOneTooManyCosts) {
    const auto sharedLetIn = [](double overQuotaPenalty) {
        Settings s = plainSettings();
        s.gatewayCount = 100;
        s.usageMeterPeriod = milliseconds(1000);
        s.plans[0].rate = 200;
        s.plans[0].burst = 800;
        s.plans[0].overQuotaPenalty = overQuotaPenalty;
        EngineFixture fixture(s, 60);
        fixture.counting = false;
        for (int i = 0; i < 400; ++i) {
            const std::size_t before = fixture.sends.size();
            fixture.request(1, 5, milliseconds(2500), 75);
            fixture.failHeldAdds(Outcome::connectFailed);
            fixture.advance(milliseconds(50));
            if (fixture.sends.size() == before) continue;
            AttemptEnded e;
            e.request = fixture.sends.back().request;
            e.endpoint = fixture.sends.back().endpoint;
            e.closed = true;
            e.meteredPercent = 100;
            fixture.feed(e);
        }
        return static_cast<double>(fixture.sends.size()) / 400;
    };
    EXPECT_GT(sharedLetIn(0), 0.95);
    EXPECT_LT(sharedLetIn(1), 0.45);
    EXPECT_GT(sharedLetIn(1), 0.2);
}

// Without a meter nothing tells of a tenant that comes here seldom: what is let in of such without an
// answer comes on top of quotas as often as the counter's answers leave others of their plan no room.
TEST(CounterSampling, WithoutAMeterUnsampledOnesAreAdmittedAsOthersOfTheirPlanHaveRoom) {
    const auto letIn = [](bool othersHaveRoom, double overQuotaPenalty) {
        Settings s = plainSettings();
        s.gatewayCount = 100;
        s.plans[0].overQuotaPenalty = overQuotaPenalty;
        EngineFixture fixture(s, 60);
        fixture.counting = false;
        constexpr std::uint64_t kOthers = 200, kUnasked = 200;
        for (std::uint64_t i = 0; i < kOthers + kUnasked; ++i) {
            const std::size_t before = fixture.sends.size();
            fixture.request(1, 5 + i, milliseconds(2500), 75);
            while (i < kOthers && !fixture.held.empty()) {
                const AddToCounter add = fixture.held.front();
                fixture.held.erase(fixture.held.begin());
                fixture.feed(CounterReplied{add.name, Outcome::ok, othersHaveRoom ? 2.0 : 100.0, {}});
            }
            if (i >= kOthers) fixture.failHeldAdds(Outcome::connectFailed);
            if (fixture.sends.size() > before) fixture.end(fixture.sends.back(), 0, Outcome::ok, true);
            if (i + 1 == kOthers) fixture.sends.clear();
            fixture.advance(milliseconds(50));
        }
        return static_cast<double>(fixture.sends.size()) / kUnasked;
    };
    EXPECT_GT(letIn(true, 1), 0.95);
    EXPECT_GT(letIn(false, 0), 0.95);  // one too many costs nothing
    EXPECT_LT(letIn(false, 1), 0.2);
}

TEST(CounterSampling, SilenceIsWaitedForOnlyBriefly) {
    EngineFixture fixture(plainSettings());
    fixture.counting = false;
    fixture.request();
    fixture.advance(milliseconds(60));
    EXPECT_EQ(fixture.sends.size(), 1u);
}

TEST(CounterSampling, WhileAwayNeitherOpenNorShutAndNotHammered) {
    EngineFixture fixture(plainSettings());
    fixture.counting = false;
    for (int i = 0; i < 200; ++i) {
        fixture.request(1, static_cast<std::uint64_t>(i % 4));
        fixture.advance(milliseconds(5));
        fixture.failHeldAdds(Outcome::connectFailed);
    }
    // Four tenants with room for 8 units each, of which this gateway takes a share.
    EXPECT_GE(fixture.sends.size(), 8u);
    EXPECT_LE(fixture.sends.size(), 32u);
    EXPECT_LT(fixture.adds, 200);
}

TEST(CounterSampling, LostCountsArePutBack) {
    EngineFixture fixture(plainSettings());
    for (int i = 0; i < 5; ++i) fixture.request();
    fixture.counts.clear();
    for (int i = 0; i < 7; ++i) fixture.request();
    EXPECT_EQ(fixture.sends.size(), 8u);
    fixture.advance(milliseconds(500));
    EXPECT_DOUBLE_EQ(fixture.counted(), 8);
}

// What other gateways settle below their guesses lowers a sum too: put in again, it would shut out a
// tenant that has room. A crowded counter makes no difference to that.
TEST(CounterSampling, RefundsOfOthersAreNotTakenForLostCounts) {
    Settings s = plainSettings();
    s.reconciliationEnabled = true;
    EngineFixture fixture(s);
    fixture.request(2);
    fixture.counting = false;
    fixture.request(1, 9);
    fixture.failHeldAdds(Outcome::connectFailed);
    fixture.counting = true;
    for (auto& [name, value] : fixture.counts)
        if (value > 0) value -= 2;
    for (int i = 0; i < 4; ++i) fixture.request();
    fixture.advance(milliseconds(1500));
    double sum = 0;
    for (const auto& [name, value] : fixture.counts)
        if (name.starts_with("q5.")) sum += value;
    EXPECT_EQ(fixture.sends.size(), 6u);
    EXPECT_LE(sum, 4);  // 6 sent less the refund of 2
}

TEST(CounterSampling, NotPermittedMeansAShareOfTheQuota) {
    Settings s = plainSettings();
    s.counterEnabled = false;
    EngineFixture fixture(s);
    for (int i = 0; i < 12; ++i) fixture.request();
    EXPECT_EQ(fixture.adds, 0);
    EXPECT_GE(fixture.sends.size(), 3u);
    EXPECT_LE(fixture.sends.size(), 5u);
}

TEST(CounterSampling, LateAndUnknownAnswersArePassedOver) {
    EngineFixture fixture(plainSettings());
    fixture.feed(CounterReplied{"q99.3", Outcome::ok, 4, {}});
    fixture.feed(CounterReplied{"nonsense", Outcome::ok, 4, {}});
    fixture.feed(TimerFired{TimerId{12345}});
    fixture.feed(ClientDisconnected{RequestId("nobody")});
    AttemptEnded e;
    e.request = RequestId("nobody");
    fixture.feed(e);
    EXPECT_TRUE(fixture.sends.empty() && fixture.refusals.empty() && fixture.fails.empty());
}

}  // namespace
}  // namespace gateway
