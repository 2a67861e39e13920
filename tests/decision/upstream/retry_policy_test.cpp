#include "decision/upstream/retry_policy.h"

#include <gtest/gtest.h>

#include <chrono>
#include <ostream>

#include "support/engine_fixture.h"

namespace gateway {
namespace {

using std::chrono::seconds;

constexpr TimePoint kNow{seconds(100)};
constexpr Duration kIdempotencyWindow = seconds(5);

struct RetryCase {
    const char* name;
    Idempotency idempotency;
    DeduplicationScope scope;
    bool possiblyExecuted;
    Duration timeSinceSent;  // of the attempt that may have been executed
    bool canRetry;           // by this gateway
    bool isClientRetrySafe;
};

std::ostream& operator<<(std::ostream& out, const RetryCase& row) {
    return out << row.name;
}

// A request whose only attempt has failed.
Request makeRequest(const RetryCase& row) {
    Request request;
    request.arrivedAt = kNow;
    request.arrival.deadline = kNow + seconds(2);
    request.attempts.push_back({0, kNow, true});
    if (row.possiblyExecuted)
        request.possibleExecution = PossibleExecution{ZoneId{}, CellId{}, kNow - row.timeSinceSent};
    return request;
}

Settings makeSettings(const RetryCase& row) {
    Settings settings = plainSettings();
    settings.classes[0].idempotency = row.idempotency;
    settings.classes[0].deduplicationScope = row.scope;
    settings.classes[0].idempotencyWindow = kIdempotencyWindow;
    return settings;
}

class RetryPolicyClassTest : public testing::TestWithParam<RetryCase> {
protected:
    Settings settings = makeSettings(GetParam());
    LatencyStats latency{settings};
    RetryPolicy policy{settings, latency};
};

TEST_P(RetryPolicyClassTest, FollowsIdempotencyOfTheClassAndPossibleExecution) {
    const Request request = makeRequest(GetParam());
    EXPECT_EQ(policy.tryAcquireRetry(request, kNow), GetParam().canRetry);
    EXPECT_EQ(policy.isClientRetrySafe(request, kNow), GetParam().isClientRetrySafe);
}

constexpr auto kAll = DeduplicationScope::all;
constexpr auto kCell = DeduplicationScope::cell;
INSTANTIATE_TEST_SUITE_P(
    Classes, RetryPolicyClassTest,
    testing::Values(RetryCase{"Safe", Idempotency::safe, kAll, true, seconds(9), true, true},
                    RetryCase{"NotExecuted", Idempotency::none, kAll, false, {}, true, true},
                    RetryCase{"PossiblyExecuted", Idempotency::none, kAll, true, {}, false, false},
                    RetryCase{"KeyWithinWindow", Idempotency::withKey, kAll, true, seconds(4), true, true},
                    RetryCase{"KeyPastWindow", Idempotency::withKey, kAll, true, seconds(5), false, false},
                    RetryCase{"KeyInOneCell", Idempotency::withKey, kCell, true, seconds(4), true, false}),
    [](const auto& row) { return row.param.name; });

class RetryPolicyTest : public testing::Test {
protected:
    static constexpr RetryCase kSafe{"Safe", Idempotency::safe, kAll, false, {}, true, true};

    Settings settings = makeSettings(kSafe);
    LatencyStats latency{settings};
    RetryPolicy policy{settings, latency};
};

TEST_F(RetryPolicyTest, BoundsRetriesToAShareOfFirstAttempts) {
    const Request request = makeRequest(kSafe);
    for (int i = 0; i < 10; ++i) EXPECT_TRUE(policy.tryAcquireRetry(request, kNow));
    EXPECT_FALSE(policy.tryAcquireRetry(request, kNow));
    for (int i = 0; i < 6; ++i) policy.recordFirstAttempt();
    EXPECT_TRUE(policy.tryAcquireRetry(request, kNow));
    EXPECT_FALSE(policy.tryAcquireRetry(request, kNow));
}

TEST_F(RetryPolicyTest, SavesNoMoreThanTheMaxBudget) {
    const Request request = makeRequest(kSafe);
    for (int i = 0; i < 1000; ++i) policy.recordFirstAttempt();
    for (int i = 0; i < 10; ++i) EXPECT_TRUE(policy.tryAcquireRetry(request, kNow));
    EXPECT_FALSE(policy.tryAcquireRetry(request, kNow));
}

TEST_F(RetryPolicyTest, RejectsRetryWithoutEnoughTime) {
    Request request = makeRequest(kSafe);
    request.arrival.deadline = kNow + std::chrono::milliseconds(50);  // 75 ms are expected
    EXPECT_FALSE(policy.tryAcquireRetry(request, kNow));
}

TEST_F(RetryPolicyTest, RejectsRetryWhileAnAttemptIsInFlight) {
    Request request = makeRequest(kSafe);
    request.attempts.push_back({1, kNow, false});
    EXPECT_FALSE(policy.tryAcquireRetry(request, kNow));
}

TEST_F(RetryPolicyTest, RejectsRetryPastTheMaxAttempts) {
    Request request = makeRequest(kSafe);
    request.attempts.resize(static_cast<std::size_t>(settings.maxAttempts), {0, kNow, true});
    EXPECT_FALSE(policy.tryAcquireRetry(request, kNow));
}

TEST_F(RetryPolicyTest, RejectedRetrySpendsNothing) {
    Request inFlight = makeRequest(kSafe);
    inFlight.attempts.push_back({1, kNow, false});
    for (int i = 0; i < 100; ++i) EXPECT_FALSE(policy.tryAcquireRetry(inFlight, kNow));
    EXPECT_TRUE(policy.tryAcquireRetry(makeRequest(kSafe), kNow));
}

}  // namespace
}  // namespace gateway
