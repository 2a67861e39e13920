#include "decision/upstream/endpoint_set.h"

#include <gtest/gtest.h>

#include "decision/upstream/upstream_engine_test.h"

namespace gateway {
namespace {

// Tests the set alone.
class EndpointSetTest : public testing::Test {
protected:
    static constexpr TimePoint kNow{std::chrono::seconds(100)};

    static EndpointUpdate updateOf(UpdateKind kind, std::vector<EndpointEntry> entries) {
        return EndpointUpdate{kind, std::move(entries)};
    }

    static EndpointEntry entry(const std::string& name, Availability availability = Availability::up) {
        EndpointEntry entry;
        entry.id = EndpointId(name);
        entry.availability = availability;
        return entry;
    }

    std::size_t usableCount() const {
        std::size_t count = 0;
        for (const Endpoint& endpoint : endpoints.slots())
            if (endpoint.isUsable()) ++count;
        return count;
    }

    Settings settings = plainSettings();
    EndpointStats stats;
    SlowStart slowStart{settings, stats};
    ConcurrencyLimiter limiter{settings};
    EndpointSet endpoints{settings, slowStart, limiter};
};

TEST_F(EndpointSetTest, SnapshotRemovesEndpointsThatItDoesNotList) {
    endpoints.apply(updateOf(UpdateKind::snapshot, {entry("w0"), entry("w1")}), kNow);
    endpoints.apply(updateOf(UpdateKind::snapshot, {entry("w1")}), kNow);
    EXPECT_EQ(endpoints.endpointCount(), 1u);
    EXPECT_EQ(usableCount(), 1u);
}

TEST_F(EndpointSetTest, DeltaKeepsEndpointsThatItDoesNotList) {
    endpoints.apply(updateOf(UpdateKind::snapshot, {entry("w0"), entry("w1")}), kNow);
    endpoints.apply(updateOf(UpdateKind::delta, {entry("w1", Availability::draining)}), kNow);
    EXPECT_EQ(endpoints.endpointCount(), 2u);
    EXPECT_EQ(usableCount(), 1u);
}

TEST_F(EndpointSetTest, RemovedEndpointKeepsItsSlotUntilItsAttemptsEnd) {
    endpoints.apply(updateOf(UpdateKind::snapshot, {entry("w0")}), kNow);
    endpoints.at(0).beginAttempt(1);
    endpoints.apply(updateOf(UpdateKind::delta, {entry("w0", Availability::removed), entry("w1")}), kNow);
    EXPECT_EQ(endpoints.at(0).entry().id.value(), "w0");
    EXPECT_EQ(endpoints.slots().size(), 2u);
    endpoints.at(0).endAttempt();
    endpoints.apply(updateOf(UpdateKind::delta, {}), kNow);
    endpoints.apply(updateOf(UpdateKind::delta, {entry("w2")}), kNow);
    EXPECT_EQ(endpoints.at(0).entry().id.value(), "w2");
    EXPECT_EQ(endpoints.slots().size(), 2u);
}

TEST_F(EndpointSetTest, SlotWithoutAnEndpointIsNotUsable) {
    endpoints.apply(updateOf(UpdateKind::snapshot, {entry("w0")}), kNow);
    endpoints.apply(updateOf(UpdateKind::snapshot, {}), kNow);
    EXPECT_EQ(endpoints.slots().size(), 1u);
    EXPECT_EQ(endpoints.endpointCount(), 0u);
    EXPECT_EQ(usableCount(), 0u);
}

TEST_F(EndpointSetTest, CapacitySumsWeightsOfUsableEndpointsByTheirPresentCapacity) {
    EndpointEntry warmingUp = entry("w1");
    warmingUp.startedAt = kNow;
    endpoints.apply(
        updateOf(UpdateKind::snapshot, {entry("w0"), warmingUp, entry("w2", Availability::draining)}), kNow);
    EXPECT_EQ(endpoints.capacity().fullWeight(), 2);
    EXPECT_EQ(endpoints.capacity().effectiveWeight(), 1.25);
    EXPECT_TRUE(endpoints.capacity().hasWarmEndpoint());
}

TEST_F(EndpointSetTest, EjectedEndpointIsNoAvailableWarmOne) {
    endpoints.apply(updateOf(UpdateKind::snapshot, {entry("w0")}), kNow);
    EXPECT_TRUE(endpoints.hasAvailableWarmEndpoint(kNow));
    AttemptEnded unreachable;
    unreachable.outcome = Outcome::connectFailed;
    endpoints.at(0).observeAttempt(unreachable, AttemptSample{}, kNow);
    EXPECT_FALSE(endpoints.hasAvailableWarmEndpoint(kNow));
}

// Tests the set within the decision engine.
class EndpointSetEngineTest : public UpstreamEngineTest {};

TEST_F(EndpointSetEngineTest, SendsNothingToADrainingEndpointAtOnce) {
    start(plainSettings(), 2);
    changeEndpoints({entry("w0", Availability::draining)});
    sendRequests(5);
    ASSERT_EQ(attempts().size(), 5u);
    for (const SendAttempt& attempt : attempts()) EXPECT_EQ(attempt.endpoint.value(), "w1");
    replaceEndpoints({entry("w0")});
    const std::optional<SendAttempt> attempt = sendRequest(9);
    ASSERT_TRUE(attempt.has_value());
    EXPECT_EQ(attempt->endpoint.value(), "w0");
}

TEST_F(EndpointSetEngineTest, RequestWithKeyStaysInItsCellAfterItsEndpointsSlotIsTaken) {
    Settings settings = plainSettings();
    settings.classes[0].idempotency = Idempotency::withKey;
    settings.classes[0].deduplicationScope = DeduplicationScope::cell;
    settings.classes[0].idempotencyWindow = milliseconds(2500);
    settings.plans.clear();
    start(settings, 2);  // both in cell 0
    const std::optional<SendAttempt> first = sendRequest();
    ASSERT_TRUE(first.has_value());
    const std::string other = first->endpoint.value() == "w0" ? "w1" : "w0";
    changeEndpoints(
        {entry(first->endpoint.value(), Availability::removed), entry(other, Availability::removed)});
    changeEndpoints({entry("n1", Availability::up, CellId{1}), entry("n2", Availability::up, CellId{1}),
                     entry("n3", Availability::up, CellId{1})});
    endAttempt(*first, 0, {Outcome::error});
    EXPECT_EQ(attempts().size(), 1u);  // no endpoint of its cell is listed
    EXPECT_EQ(failureCount(), 1u);
}

}  // namespace
}  // namespace gateway
