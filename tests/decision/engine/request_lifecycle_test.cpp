#include "decision/engine/request_lifecycle.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <variant>

#include "support/engine_fixture.h"

namespace gateway {
namespace {

class RequestLifecycleTest : public testing::Test {
protected:
    static Settings withIdempotency(Idempotency idempotency) {
        Settings settings = plainSettings();
        settings.classes[0].idempotency = idempotency;
        return settings;
    }

    static Settings keyedWithin(DeduplicationScope scope, Duration window) {
        Settings settings = withIdempotency(Idempotency::withKey);
        settings.classes[0].deduplicationScope = scope;
        settings.classes[0].idempotencyWindow = window;
        return settings;
    }

    void start(const Settings& settings) { engine_.emplace(settings); }

    EngineFixture& engine() { return *engine_; }

    std::size_t finalAnswers() { return engine().rejections.size() + engine().failures.size(); }

private:
    std::optional<EngineFixture> engine_;
};

// ---- Retries by idempotency -----------------------------------------------------------------------

TEST_F(RequestLifecycleTest, FailsNonIdempotentRequestOnceItMayHaveBeenExecuted) {
    start(withIdempotency(Idempotency::none));
    engine().request();
    engine().endAttempt(engine().sends[0], 0, Outcome::connectFailed, false);
    ASSERT_EQ(engine().sends.size(), 2u) << "an attempt that was not executed may be retried";

    engine().endAttempt(engine().sends[1], 1, Outcome::reset, false);
    EXPECT_EQ(engine().sends.size(), 2u);
    EXPECT_EQ(engine().failures.size(), 1u);
    EXPECT_TRUE(engine().rejections.empty());
}

TEST_F(RequestLifecycleTest, RetriesKeyedRequestWithinItsCell) {
    constexpr std::uint64_t kTenants = 8;
    const auto cellOf = [](const EndpointId& endpoint) { return (endpoint.value()[1] - '0') / 2; };
    start(keyedWithin(DeduplicationScope::cell, milliseconds(400)));
    for (std::uint64_t tenant = 0; tenant < kTenants; ++tenant) {
        const std::size_t before = engine().sends.size();
        engine().request(1, tenant);
        ASSERT_EQ(engine().sends.size(), before + 1);
        const SendAttempt first = engine().sends.back();
        engine().endAttempt(first, 0, Outcome::error, false);
        const bool isRetried = engine().sends.size() > before + 1;
        if (!isRetried) continue;  // the request may also fail
        EXPECT_EQ(cellOf(engine().sends.back().endpoint), cellOf(first.endpoint));
        engine().endAttempt(engine().sends.back(), 1, Outcome::ok, true);
    }
}

// Guards against a retry in the cell of a new process that took the name of the first attempt's endpoint.
TEST_F(RequestLifecycleTest, RetriesKeyedRequestInCellThatFirstAttemptWasSentTo) {
    constexpr std::uint64_t kTenants = 8;
    const auto cellOf = [](const EndpointId& endpoint) { return (endpoint.value()[1] - '0') / 2; };
    for (std::uint64_t tenant = 0; tenant < kTenants; ++tenant) {
        start(keyedWithin(DeduplicationScope::cell, milliseconds(400)));
        engine().request(1, tenant);
        const SendAttempt first = engine().sends.back();
        EndpointEntry replacement =
            EngineFixture::entry(first.endpoint.value(), CellId{1 - cellOf(first.endpoint)});
        replacement.startedAt = engine().now;
        engine().handle(EndpointUpdate{UpdateKind::delta, {replacement}});
        engine().endAttempt(first, 0, Outcome::reset, false);
        if (engine().sends.size() == 1) continue;  // the request may also fail
        EXPECT_EQ(cellOf(engine().sends.back().endpoint), cellOf(first.endpoint));
    }
}

TEST_F(RequestLifecycleTest, FailsKeyedRequestAfterItsIdempotencyWindow) {
    start(keyedWithin(DeduplicationScope::cell, milliseconds(400)));
    engine().request();
    engine().advance(milliseconds(450));
    engine().endAttempt(engine().sends[0], 0, Outcome::error, false);
    EXPECT_EQ(engine().sends.size(), 1u);
    EXPECT_EQ(engine().failures.size(), 1u);
}

// Establishing a connection may take so long that the endpoint no longer recognizes the key, so the attempt
// carries the rest of the idempotency window.
TEST_F(RequestLifecycleTest, LimitsStartOfKeyedRetryToIdempotencyWindow) {
    start(keyedWithin(DeduplicationScope::all, milliseconds(400)));
    engine().request();
    EXPECT_EQ(engine().sends.at(0).maxSendDelay, Duration::zero());

    engine().advance(milliseconds(150));
    engine().endAttempt(engine().sends[0], 0, Outcome::reset, false);
    ASSERT_EQ(engine().sends.size(), 2u);
    EXPECT_EQ(engine().sends[1].maxSendDelay, milliseconds(250));

    engine().advance(milliseconds(150));
    engine().endAttempt(engine().sends[1], 1, Outcome::connectFailed, false);
    ASSERT_EQ(engine().sends.size(), 3u);
    EXPECT_EQ(engine().sends[2].maxSendDelay, milliseconds(100));
}

TEST_F(RequestLifecycleTest, DoesNotLimitStartOfRetryWithoutPossibleExecution) {
    start(keyedWithin(DeduplicationScope::all, milliseconds(400)));
    engine().request();
    EXPECT_EQ(engine().sends.at(0).maxSendDelay, Duration::zero());

    engine().advance(milliseconds(150));
    engine().endAttempt(engine().sends[0], 0, Outcome::rejected, false);
    ASSERT_EQ(engine().sends.size(), 2u);
    EXPECT_EQ(engine().sends[1].maxSendDelay, Duration::zero());

    engine().advance(milliseconds(150));
    engine().endAttempt(engine().sends[1], 1, Outcome::connectFailed, false);
    ASSERT_EQ(engine().sends.size(), 3u);
    EXPECT_EQ(engine().sends[2].maxSendDelay, Duration::zero());
}

// ---- Final answers --------------------------------------------------------------------------------

TEST_F(RequestLifecycleTest, IgnoresSecondEndOfAttempt) {
    start(plainSettings());
    engine().request();
    engine().endAttempt(engine().sends[0], 0, Outcome::ok, true);
    engine().endAttempt(engine().sends[0], 0, Outcome::ok, true);
    EXPECT_EQ(engine().sends.size(), 1u);
    EXPECT_EQ(finalAnswers(), 0u) << "the endpoint's response is the final answer";

    engine().request(1, 5, Duration::zero());
    EXPECT_EQ(engine().sends.size(), 1u);
    EXPECT_EQ(finalAnswers(), 1u);
}

TEST_F(RequestLifecycleTest, CancelsAttemptWhenClientDisconnects) {
    start(plainSettings());
    const std::string id = engine().request();
    engine().handle(ClientDisconnected{RequestId(id)});
    ASSERT_EQ(engine().otherActions.size(), 1u);
    EXPECT_TRUE(std::holds_alternative<CancelAttempt>(engine().otherActions[0]));

    engine().endAttempt(engine().sends[0], 0, Outcome::cancelled, true);
    EXPECT_EQ(finalAnswers(), 0u);
}

TEST_F(RequestLifecycleTest, AnswersBeforeClientDeadlineWhileCounterDoesNotReply) {
    start(plainSettings());
    engine().isCounterAnswering = false;
    engine().request(1, 5, milliseconds(1));
    engine().request(1, 5, milliseconds(40));
    engine().advance(milliseconds(20));
    EXPECT_EQ(engine().rejections.size() + engine().sends.size(), 2u);
}

TEST_F(RequestLifecycleTest, NeitherCancelsNorRetriesStartedStream) {
    Settings settings = plainSettings();
    settings.classes[0].streamed = true;
    start(settings);
    const std::string id = engine().request();
    engine().handle(StreamStarted{RequestId(id), 0, engine().sends[0].endpoint, milliseconds(20)});
    engine().advance(milliseconds(20'000));
    engine().endAttempt(engine().sends[0], 0, Outcome::reset, true);
    EXPECT_EQ(engine().sends.size(), 1u);
    EXPECT_EQ(finalAnswers(), 0u);
    EXPECT_TRUE(engine().otherActions.empty());
}

TEST_F(RequestLifecycleTest, DoesNotCancelStreamWhenClientDisconnects) {
    start(plainSettings());
    const std::string id = engine().request();
    engine().handle(StreamStarted{RequestId(id), 0, engine().sends[0].endpoint, milliseconds(20)});
    engine().handle(ClientDisconnected{RequestId(id)});
    EXPECT_TRUE(engine().otherActions.empty());
}

TEST_F(RequestLifecycleTest, IgnoresEndOfUnknownAttempt) {
    start(plainSettings());
    engine().request();
    for (const int attempt : {-1, 1}) engine().endAttempt(engine().sends[0], attempt, Outcome::reset, false);
    EXPECT_EQ(engine().sends.size(), 1u);
    EXPECT_EQ(finalAnswers(), 0u);
}

}  // namespace
}  // namespace gateway
