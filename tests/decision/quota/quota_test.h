// Base of the test fixtures that observe quota decisions through a whole decision engine.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "support/engine_fixture.h"

namespace gateway {

// Parameters of a test request. The plan of plainSettings() has a rate of 2 and a burst of 8, shared by two
// gateways.
struct RequestOptions {
    double cost = 1;
    std::uint64_t tenant = 5;
    int entryPoints = 2;
};

// Each test may change settings() before it starts gateways.
class QuotaTest : public testing::Test {
protected:
    static constexpr int kFewEndpoints = 4;
    static constexpr int kManyEndpoints = 60;
    static constexpr int kLargeFleet = 100;            // gateways
    static constexpr int kLargeFleetEntryPoints = 75;  // low local traffic at each
    static constexpr std::uint64_t kFirstOtherTenant = 100;
    static constexpr Duration kClientDeadline = milliseconds(2500);

    Settings& settings() { return settings_; }
    QuotaPlan& plan() { return settings_.plans[0]; }

    EngineFixture startGateway(int endpoints = kFewEndpoints) const {
        return EngineFixture(settings_, endpoints);
    }

    static void sendRequest(EngineFixture& gateway, const RequestOptions& options) {
        gateway.request(options.cost, options.tenant, kClientDeadline, options.entryPoints);
    }

    static void sendRequests(EngineFixture& gateway, int count, const RequestOptions& options = {}) {
        for (int i = 0; i < count; ++i) sendRequest(gateway, options);
    }

    static void endSuccessfully(EngineFixture& gateway, const SendAttempt& send) {
        gateway.endAttempt(send, 0, Outcome::ok, true);
    }

    // Ends the gateway's latest attempt successfully, with a reading of the usage meter.
    static void endLatestWithMeter(EngineFixture& gateway, double percent) {
        AttemptEnded ended;
        ended.request = gateway.sends.back().request;
        ended.endpoint = gateway.sends.back().endpoint;
        ended.requestClosed = true;
        ended.quotaUsagePercent = percent;
        gateway.handle(ended);
    }

    // Replies to the oldest unanswered call to the counter with a total.
    static void answerOldestCall(EngineFixture& gateway, double total) {
        const AddToCounter add = gateway.unansweredAdds.front();
        gateway.unansweredAdds.erase(gateway.unansweredAdds.begin());
        gateway.handle(CounterReplied{add.name, Outcome::ok, total, {}});
    }

private:
    Settings settings_ = plainSettings();
};

}  // namespace gateway
