#include "decision/upstream/endpoint_picker.h"

#include <gtest/gtest.h>

#include <ostream>

#include "support/engine_fixture.h"

namespace gateway {
namespace {

constexpr TimePoint kNow{std::chrono::seconds(100)};

// A picker with the listed endpoints in slots 0, 1, ..., all of them warm.
class EndpointPickerTest : public testing::Test {
protected:
    void listEndpoints(std::vector<EndpointEntry> entries) {
        EndpointUpdate update;
        update.kind = UpdateKind::snapshot;
        update.entries = std::move(entries);
        endpoints.apply(update, kNow);
    }

    static EndpointEntry entry(const std::string& name, ZoneId zone = {}, CellId cell = {}) {
        EndpointEntry entry = EngineFixture::entry(name, cell);
        entry.zone = zone;
        return entry;
    }

    std::optional<std::size_t> pick(const Request& request = {}) {
        return picker.pick(request, 1, kNow, random);
    }

    void observe(std::size_t slot, Outcome outcome) {
        AttemptEnded ended;
        ended.outcome = outcome;
        endpoints.at(slot).observeAttempt(ended, AttemptSample{}, kNow);
    }

    Settings settings = plainSettings();
    EndpointStats stats;
    SlowStart slowStart{settings, stats};
    ConcurrencyLimiter limiter{settings};
    EndpointSet endpoints{settings, slowStart, limiter};
    EndpointPicker picker{settings, endpoints, stats, slowStart};
    RandomSource random{1};
};

TEST_F(EndpointPickerTest, PicksNothingWithoutUsableEndpoints) {
    EXPECT_FALSE(pick().has_value());
}

TEST_F(EndpointPickerTest, PrefersTheEndpointWithFewerAttemptsInFlight) {
    listEndpoints({entry("w0"), entry("w1")});
    endpoints.at(0).beginAttempt(1);
    for (int i = 0; i < 20; ++i) EXPECT_EQ(pick(), 1u);
}

TEST_F(EndpointPickerTest, PrefersTheOwnZoneAmongSimilarEndpoints) {
    listEndpoints({entry("w0", ZoneId{1}), entry("w1", ZoneId{0})});
    for (int i = 0; i < 20; ++i) EXPECT_EQ(pick(), 1u);
}

TEST_F(EndpointPickerTest, PicksNoEndpointAtItsConcurrencyLimit) {
    listEndpoints({entry("w0")});
    while (endpoints.at(0).hasCapacity()) endpoints.at(0).beginAttempt(1);
    EXPECT_FALSE(pick().has_value());
}

TEST_F(EndpointPickerTest, AvoidsEjectedEndpointUnlessMostAreEjected) {
    listEndpoints({entry("w0"), entry("w1")});
    observe(0, Outcome::connectFailed);
    endpoints.at(1).beginAttempt(1);
    EXPECT_EQ(pick(), 1u);
    observe(1, Outcome::connectFailed);
    EXPECT_TRUE(pick().has_value());
}

TEST_F(EndpointPickerTest, SendsRetryToAnEndpointThatTheRequestHasNotTried) {
    listEndpoints({entry("w0"), entry("w1")});
    for (int i = 0; i < 5; ++i) endpoints.at(1).beginAttempt(1);
    Request request;
    request.attempts.push_back({0, kNow, true});
    EXPECT_EQ(pick(request), 1u);
}

struct DeduplicationCase {
    const char* name;
    Idempotency idempotency;
    DeduplicationScope scope;
    bool reachesOtherZone;
    bool reachesOtherCell;  // in the same zone
};

std::ostream& operator<<(std::ostream& out, const DeduplicationCase& row) {
    return out << row.name;
}

class EndpointPickerDeduplicationTest : public EndpointPickerTest,
                                        public testing::WithParamInterface<DeduplicationCase> {
protected:
    // Whether a retry of a request that may have been executed in zone 0 and cell 0 may go to an endpoint in
    // this zone and cell.
    bool reaches(ZoneId zone, CellId cell) {
        settings.classes[0].idempotency = GetParam().idempotency;
        settings.classes[0].deduplicationScope = GetParam().scope;
        listEndpoints({entry("w0", zone, cell)});
        Request request;
        request.possibleExecution = PossibleExecution{ZoneId{0}, CellId{0}, kNow};
        return pick(request).has_value();
    }
};

TEST_P(EndpointPickerDeduplicationTest, RetryReachesOnlyEndpointsThatDeduplicateIt) {
    EXPECT_TRUE(reaches(ZoneId{0}, CellId{0}));
    EXPECT_EQ(reaches(ZoneId{0}, CellId{1}), GetParam().reachesOtherCell);
    EXPECT_EQ(reaches(ZoneId{1}, CellId{2}), GetParam().reachesOtherZone);
}

INSTANTIATE_TEST_SUITE_P(
    Scopes, EndpointPickerDeduplicationTest,
    testing::Values(DeduplicationCase{"Safe", Idempotency::safe, DeduplicationScope::cell, true, true},
                    DeduplicationCase{"KeyAll", Idempotency::withKey, DeduplicationScope::all, true, true},
                    DeduplicationCase{"KeyZone", Idempotency::withKey, DeduplicationScope::zone, false, true},
                    DeduplicationCase{"KeyCell", Idempotency::withKey, DeduplicationScope::cell, false,
                                      false}),
    [](const auto& row) { return row.param.name; });

}  // namespace
}  // namespace gateway
