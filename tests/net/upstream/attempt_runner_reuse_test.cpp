// Tests how attempts reuse, evict and close idle connections.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>

#include "net/upstream/attempt_runner.h"
#include "net/upstream/attempt_runner_fixture.h"

namespace gateway::net {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

// ---- Idle connections -----------------------------------------------------------------------------

TEST_F(AttemptRunnerTest, ReusesIdleConnection) {
    tcp::socket peer = startAndReceive();
    respond(peer);
    start();
    EXPECT_EQ(receive(peer).find("GET /path HTTP/1.1\r\n"), 0U);
}

TEST_F(AttemptRunnerTest, EvictsIdleConnectionOfOtherEndpointAtConnectionLimit) {
    limits.maxConnections = 1;
    makeRunner();
    tcp::socket peer = startAndReceive();
    respond(peer);
    const tcp::endpoint address = endpoint->address();
    endpoint = std::make_shared<UpstreamEndpoint>(EndpointId{"b"});
    ResolvedEndpoint listed;
    listed.address = address;
    endpoint->update(listed);
    const tcp::socket otherPeer = startAndReceive();
    EXPECT_TRUE(isClosedWithoutBytes(peer));
    EXPECT_EQ(ended.size(), 1U);
}

TEST_F(AttemptRunnerTest, ClosesConnectionAfterResponseOfDrainingEndpoint) {
    tcp::socket peer = startAndReceive();
    endpoint->startDraining(steady_clock::now());
    respond(peer);
    EXPECT_EQ(ended[0].result.outcome, Outcome::ok);
    EXPECT_TRUE(isClosedWithoutBytes(peer));
}

TEST_F(AttemptRunnerTest, ClosesIdleConnectionThatReceivesBytes) {
    tcp::socket peer = startAndReceive();
    respond(peer);
    write(peer, kResponse);
    EXPECT_TRUE(isClosedWithoutBytes(peer));
    EXPECT_EQ(idleConnections.take(*endpoint), nullptr);
}

TEST_F(AttemptRunnerTest, KeepsIdleConnectionsAfterTimeoutIfEndpointHasResponded) {
    options.timeout = milliseconds(200);
    const tcp::socket timedOut = startAndReceive();
    options.timeout = seconds(20);
    tcp::socket answered = startAndReceive();
    respond(answered);
    runUntil([&] { return ended.size() == 2U; });
    EXPECT_EQ(ended[1].result.outcome, Outcome::timedOut);
    EXPECT_NE(idleConnections.take(*endpoint), nullptr);
}

TEST_F(AttemptRunnerTest, ClosesIdleConnectionsAfterTimeoutWithoutAnyResponse) {
    tcp::socket first = startAndReceive();
    tcp::socket second = startAndReceive();
    respond(first);
    respond(second);
    options.timeout = milliseconds(50);
    start();
    receive(second);
    EXPECT_EQ(ended.size(), 2U);
    runUntil([&] { return ended.size() == 3U; });
    EXPECT_EQ(ended[2].result.outcome, Outcome::timedOut);
    EXPECT_TRUE(isClosedWithoutBytes(first));
}

}  // namespace
}  // namespace gateway::net
