// Base fixture for tests that drive the upstream modules through one decision engine.
#pragma once

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "support/engine_fixture.h"

namespace gateway {

// How an endpoint responds to one attempt. Only a success closes the request.
struct AttemptReply {
    Outcome outcome = Outcome::ok;
    Duration elapsed = milliseconds(50);
};

// One gateway with a simulated clock and a simulated counter service. Precondition of all functions except
// start() and entry(): start() was called.
class UpstreamEngineTest : public testing::Test {
protected:
    static constexpr std::uint64_t kTenant = 5;

    // Starts the gateway with endpoints w0, w1, ..., two in each cell.
    void start(const Settings& settings, int endpointCount);

    // Reports changed entries of the endpoint list, or the complete list.
    void changeEndpoints(std::vector<EndpointEntry> entries);
    void replaceEndpoints(std::vector<EndpointEntry> entries);
    static EndpointEntry entry(const std::string& name, Availability availability = Availability::up,
                               CellId cell = {});

    // Sends a request of the tenant and returns the resulting attempt, if any.
    std::optional<SendAttempt> sendRequest(std::uint64_t tenant = kTenant);

    // Sends one request for each of `count` tenants, starting with `firstTenant`.
    void sendRequests(int count, std::uint64_t firstTenant = 0);

    // Sends a request and ends each of its attempts with the result of `reply`. Returns the endpoints of the
    // attempts in order.
    std::vector<EndpointId> serveRequest(std::uint64_t tenant,
                                         const std::function<AttemptReply(const EndpointId&)>& reply);

    // Ends an attempt. `number`: its position among the attempts of its request, from 0.
    void endAttempt(const SendAttempt& attempt, int number, const AttemptReply& reply = {});

    void advance(Duration time);
    TimePoint now() const;

    // All attempts, rejections and failures so far.
    const std::vector<SendAttempt>& attempts() const;
    const std::vector<RejectRequest>& rejections() const;
    std::size_t failureCount() const;

private:
    std::optional<EngineFixture> gateway_;
};

}  // namespace gateway
