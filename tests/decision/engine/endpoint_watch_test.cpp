#include "decision/engine/endpoint_watch.h"

#include <gtest/gtest.h>

#include <variant>

#include "support/engine_fixture.h"

namespace gateway {
namespace {

EndpointUpdate failedUpdate() {
    EndpointUpdate update;
    update.kind = UpdateKind::failed;
    return update;
}

Settings pollSettings() {
    Settings settings = plainSettings();
    settings.discovery = DiscoveryMode::poll;
    settings.maxPollInterval = milliseconds(10'000);
    return settings;
}

TEST(EndpointWatchTest, StartsOneWatchWhenDiscoveryIsPolled) {
    EngineFixture engine(pollSettings());
    ASSERT_EQ(engine.otherActions.size(), 1u);
    EXPECT_TRUE(std::holds_alternative<WatchEndpoints>(engine.otherActions[0]));

    EndpointUpdate update;
    update.entries = {EngineFixture::entry("w9")};
    engine.handle(update);
    EXPECT_EQ(engine.otherActions.size(), 1u);
}

TEST(EndpointWatchTest, StartsNoWatchWhenDiscoveryPushes) {
    EngineFixture engine(plainSettings());
    EXPECT_TRUE(engine.otherActions.empty());
}

TEST(EndpointWatchTest, RetriesFailedWatchWithinQuarterOfPollInterval) {
    EngineFixture engine(pollSettings());
    engine.handle(failedUpdate());
    EXPECT_EQ(engine.otherActions.size(), 1u);
    engine.advance(milliseconds(2'500));
    ASSERT_EQ(engine.otherActions.size(), 2u);
    EXPECT_TRUE(std::holds_alternative<WatchEndpoints>(engine.otherActions[1]));
}

TEST(EndpointWatchTest, KeepsEndpointsAfterFailedUpdate) {
    EngineFixture engine(pollSettings());
    engine.handle(failedUpdate());
    engine.request();
    EXPECT_EQ(engine.sends.size(), 1u);
}

}  // namespace
}  // namespace gateway
