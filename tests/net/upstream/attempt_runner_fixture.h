// A test fixture with an AttemptRunner and one endpoint. The test acts as the endpoint on a loopback socket.
#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "net/transport/loopback_fixture.h"
#include "net/upstream/attempt_runner.h"

namespace gateway::net {

constexpr std::string_view kResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";

class AttemptRunnerTest : public test::LoopbackFixture {
protected:
    struct Ended {
        AttemptId id;
        AttemptResult result;
    };

    void SetUp() override {
        limits.drainGracePeriod = std::chrono::seconds(1);
        request->method = "GET";
        request->target = "/path";
        request->host = "host";
        request->id = "request";
        ResolvedEndpoint listed;
        listed.address = address();
        endpoint->update(listed);
        makeRunner();
    }

    void makeRunner() {
        AttemptRunner::Hooks hooks;
        hooks.onEnded = [this](AttemptId id, AttemptResult&& result) {
            ended.push_back({id, std::move(result)});
        };
        hooks.onNewConnection = [this](AttemptId id) {
            if (onNewConnection) onNewConnection(id);
        };
        hooks.shouldSendOnNewConnection = [this](AttemptId) { return shouldSendOnNewConnection; };
        runner.emplace(ioContext, timers, idleConnections, limits, std::move(hooks));
    }

    AttemptId start() {
        ++lastAttempt;
        const AttemptId id{lastAttempt};
        runner->start(id, endpoint, options, request);
        return id;
    }

    // Starts an attempt on a new connection, and returns the endpoint's socket after it has received the
    // request.
    tcp::socket startAndReceive() {
        start();
        tcp::socket peer = accept();
        receive(peer);
        return peer;
    }

    void respond(tcp::socket& peer, std::string_view response = kResponse) {
        const std::size_t endedBefore = ended.size();
        write(peer, response);
        runUntil([&] { return ended.size() > endedBefore; });
    }

    Outcome waitForOutcome() {
        runUntil([&] { return !ended.empty(); });
        return ended.empty() ? Outcome::ok : ended.back().result.outcome;
    }

    std::shared_ptr<ForwardedRequest> request = std::make_shared<ForwardedRequest>();
    std::shared_ptr<UpstreamEndpoint> endpoint = std::make_shared<UpstreamEndpoint>(EndpointId{"a"});
    IdleConnectionPool idleConnections{timers, {std::chrono::seconds(60), Duration::zero()}};
    AttemptRunner::Limits limits;
    AttemptRunner::Options options{std::chrono::seconds(20), Duration::zero()};
    bool shouldSendOnNewConnection = true;
    std::function<void(AttemptId)> onNewConnection;
    std::vector<Ended> ended;
    std::uint64_t lastAttempt = 0;
    std::optional<AttemptRunner> runner;
};

}  // namespace gateway::net
