// The engine as a whole: settings, final answers, idempotency, streams, discovery.
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <stdexcept>

#include "support/engine_fixture.h"

namespace gateway {
namespace {

TEST(Settings, SenselessOnesAreRefusedWithTheFieldNamed) {
    Settings s = plainSettings();
    s.plans[0].rate = -1;
    ASSERT_TRUE(validate(s));
    EXPECT_EQ(validate(s)->field, "plans[0].rate");
    EXPECT_THROW(DecisionEngine(s, 1), std::invalid_argument);
    s = plainSettings();
    s.classes.clear();
    ASSERT_TRUE(validate(s));
    EXPECT_EQ(validate(s)->field, "classes");
}

TEST(Idempotency, NotIdempotentIsNotSentAgainOnceItMayHaveRun) {
    Settings s = plainSettings();
    s.classes[0].idempotency = Idempotency::none;
    EngineFixture fixture(s);
    fixture.request();
    fixture.end(fixture.sends[0], 0, Outcome::connectFailed, false);
    ASSERT_EQ(fixture.sends.size(), 2u);  // never ran: may go elsewhere
    fixture.end(fixture.sends[1], 1, Outcome::reset, false);
    EXPECT_EQ(fixture.sends.size(), 2u);
    EXPECT_EQ(fixture.fails.size(), 1u);
    EXPECT_TRUE(fixture.refusals.empty());
}

TEST(Idempotency, WithAKeyStaysInItsCellAndWindow) {
    Settings s = plainSettings();
    s.classes[0].idempotency = Idempotency::withKey;
    s.classes[0].deduplicationScope = DeduplicationScope::cell;
    s.classes[0].idempotencyWindow = milliseconds(400);
    EngineFixture fixture(s);
    for (std::uint64_t c = 0; c < 8; ++c) {
        const std::size_t before = fixture.sends.size();
        fixture.request(1, c);
        ASSERT_EQ(fixture.sends.size(), before + 1);
        const SendAttempt first = fixture.sends.back();
        fixture.end(first, 0, Outcome::error, false);
        if (fixture.sends.size() == before + 1) continue;  // failed instead: permitted too
        const auto cell = [](const EndpointId& w) { return (w.value()[1] - '0') / 2; };
        EXPECT_EQ(cell(fixture.sends.back().endpoint), cell(first.endpoint));
        fixture.end(fixture.sends.back(), 1, Outcome::ok, true);
    }
    EngineFixture late(s);
    late.request();
    late.advance(milliseconds(450));
    late.end(late.sends[0], 0, Outcome::error, false);
    EXPECT_EQ(late.sends.size(), 1u);
    EXPECT_EQ(late.fails.size(), 1u);
}

// Its connection may come up late: it is told how long it may take to begin, from its earliest send.
TEST(Idempotency, AWithKeyRepeatMustBeginWithinTheWindowAndOthersAtAnyTime) {
    for (const Outcome first : {Outcome::reset, Outcome::rejected}) {
        Settings s = plainSettings();
        s.classes[0].idempotency = Idempotency::withKey;
        s.classes[0].deduplicationScope = DeduplicationScope::all;
        s.classes[0].idempotencyWindow = milliseconds(400);
        EngineFixture fixture(s);
        fixture.request();
        EXPECT_EQ(fixture.sends.at(0).beginWithin, Duration::zero());
        fixture.advance(milliseconds(150));
        fixture.end(fixture.sends[0], 0, first, false);
        ASSERT_EQ(fixture.sends.size(), 2u);
        EXPECT_EQ(fixture.sends[1].beginWithin,
                  first == Outcome::reset ? milliseconds(250) : Duration::zero());
        fixture.advance(milliseconds(150));
        fixture.end(fixture.sends[1], 1, Outcome::connectFailed, false);
        ASSERT_EQ(fixture.sends.size(), 3u);
        EXPECT_EQ(fixture.sends[2].beginWithin,
                  first == Outcome::reset ? milliseconds(100) : Duration::zero());
    }
}

TEST(FinalAnswers, OneFinalAnswerAndNothingAfterIt) {
    EngineFixture fixture(plainSettings());
    fixture.request();
    fixture.end(fixture.sends[0], 0, Outcome::ok, true);
    fixture.end(fixture.sends[0], 0, Outcome::ok, true);
    fixture.request(1, 5, milliseconds(0));
    EXPECT_EQ(fixture.sends.size(), 1u);
    EXPECT_EQ(fixture.refusals.size() + fixture.fails.size(), 1u);
}

TEST(FinalAnswers, AClientThatDisconnectsHasItsAttemptCancelled) {
    EngineFixture fixture(plainSettings());
    const std::string id = fixture.request();
    fixture.feed(ClientDisconnected{RequestId(id)});
    ASSERT_EQ(fixture.others.size(), 1u);
    EXPECT_TRUE(std::holds_alternative<CancelAttempt>(fixture.others[0]));
    fixture.end(fixture.sends[0], 0, Outcome::cancelled, true);
    EXPECT_TRUE(fixture.refusals.empty() && fixture.fails.empty());
}

TEST(FinalAnswers, AClientAboutToLeaveIsAnsweredBeforeItDoes) {
    EngineFixture fixture(plainSettings());
    fixture.counting = false;
    fixture.request(1, 5, milliseconds(1));
    fixture.request(1, 5, milliseconds(40));
    fixture.advance(milliseconds(20));
    EXPECT_EQ(fixture.refusals.size() + fixture.sends.size(), 2u);
}

TEST(Discovery, PollsWhereTheListIsNotPushedAndAgainAfterAFailure) {
    Settings s = plainSettings();
    s.discovery = DiscoveryMode::poll;
    s.maxPollInterval = milliseconds(10'000);
    EngineFixture fixture(s);
    ASSERT_EQ(fixture.others.size(), 1u);
    EXPECT_TRUE(std::holds_alternative<WatchEndpoints>(fixture.others[0]));
    EndpointUpdate failed;
    failed.kind = UpdateKind::failed;
    fixture.feed(failed);
    fixture.advance(milliseconds(2'500));  // the list counts as told after four times mustAsk at most
    EXPECT_EQ(fixture.others.size(), 2u);
    fixture.request();
    EXPECT_EQ(fixture.sends.size(), 1u);  // the list before stays valid
}

TEST(StreamedResponses, AStartedStreamIsLeftAlone) {
    Settings s = plainSettings();
    s.classes[0].streamed = true;
    EngineFixture fixture(s);
    const std::string id = fixture.request();
    fixture.feed(StreamStarted{RequestId(id), 0, fixture.sends[0].endpoint, milliseconds(20)});
    fixture.advance(milliseconds(20'000));
    fixture.end(fixture.sends[0], 0, Outcome::reset, true);  // the break of a stream closes the request
    EXPECT_EQ(fixture.sends.size(), 1u);
    EXPECT_TRUE(fixture.refusals.empty() && fixture.fails.empty() && fixture.others.empty());
}

TEST(UnusualEvents, EveryRequestIsAnsweredAndCeilingsHold) {
    for (const int gatewayCount : {1, 3, 5000})
        for (const int entryPoints : {0, 1, 40, 9000})  // none, and more than there are gateways
            for (const bool counterEnabled : {false, true}) {
                Settings s = plainSettings();
                s.gatewayCount = gatewayCount;
                s.counterEnabled = counterEnabled;
                s.plans[0].ceilingRate = 4;
                s.plans[0].ceilingBurst = 16;
                EngineFixture fixture(s);
                fixture.advance(milliseconds(5000));
                double sent = 0;
                for (int i = 0; i < 200; ++i) {
                    const std::size_t before = fixture.sends.size();
                    fixture.request(1, 5, milliseconds(2500), entryPoints);
                    for (std::size_t k = before; k < fixture.sends.size(); ++k)
                        fixture.end(fixture.sends[k], static_cast<int>(k - before), Outcome::ok, true);
                    sent += static_cast<double>(fixture.sends.size() - before);
                    fixture.advance(milliseconds(100));
                }
                EXPECT_EQ(fixture.sends.size() + fixture.refusals.size() + fixture.fails.size(), 200u);
                // On the counter's word one gateway may let in all that the quota allows.
                EXPECT_LE(sent, (16 + 4 * 20) /
                                    (counterEnabled ? 1 : std::max(1.0, static_cast<double>(entryPoints))));
                if (entryPoints < 2) {
                    EXPECT_GE(sent, 20) << gatewayCount << " gateways";
                }
            }
}

TEST(Determinism, SameEventsSameActions) {
    EngineFixture a(plainSettings()), b(plainSettings());
    for (std::uint64_t c = 0; c < 30; ++c) {
        a.request(1, c);
        b.request(1, c);
    }
    ASSERT_EQ(a.sends.size(), b.sends.size());
    for (std::size_t i = 0; i < a.sends.size(); ++i) EXPECT_EQ(a.sends[i].endpoint, b.sends[i].endpoint);
}

}  // namespace
}  // namespace gateway
