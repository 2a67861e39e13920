#include "net/upstream/idle_connection_pool.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

#include "net/transport/loopback_fixture.h"

namespace gateway::net {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class IdleConnectionPoolTest : public test::LoopbackFixture {
protected:
    using ConnectionPtr = IdleConnectionPool::ConnectionPtr;

    class Observer final : public UpstreamConnectionObserver {
    public:
        void onConnected(AttemptId) override {}
        void onResponse(AttemptId, AttemptResult&&, bool) override {}
        void onBroken(const ConnectionPtr&) override {}
        void onUnexpectedInput(const ConnectionPtr&) override {}
        void onMemoryExceeded() override {}
    };

    static constexpr Duration kKeepAlive = seconds(60);
    static constexpr Duration kIdleTime = seconds(1);

    void makePool(Duration keepAlive, Duration reuseDelay) {
        IdleConnectionPool::Limits limits;
        limits.keepAlive = keepAlive;
        limits.reuseDelay = reuseDelay;
        pool.emplace(timers, limits);
    }

    // Opens a connection to the loopback listener, and appends the endpoint's socket to `peers`.
    ConnectionPtr connect() {
        auto connection =
            std::make_shared<UpstreamConnection>(ioContext, observer, timers, connectionCount, memoryBudget);
        connection->connect(address(), timers, seconds(20));
        peers.push_back(accept());
        runUntil([&] { return connection->isOpen(); });
        return connection;
    }

    ConnectionPtr addIdleFor(Duration idleTime, const UpstreamEndpoint& target) {
        ConnectionPtr connection = connect();
        pool->add(target, connection, std::chrono::steady_clock::now() - idleTime);
        return connection;
    }

    const UpstreamEndpoint endpoint{EndpointId{"a"}};
    const UpstreamEndpoint otherEndpoint{EndpointId{"b"}};
    Observer observer;
    std::shared_ptr<std::size_t> connectionCount = std::make_shared<std::size_t>(0);
    std::shared_ptr<MemoryBudget> memoryBudget = std::make_shared<MemoryBudget>(1024UL * 1024);
    std::optional<IdleConnectionPool> pool;
    std::vector<tcp::socket> peers;
};

TEST_F(IdleConnectionPoolTest, ReturnsNothingForEndpointWithoutConnections) {
    makePool(kKeepAlive, Duration::zero());
    addIdleFor(kIdleTime, otherEndpoint);
    EXPECT_EQ(pool->take(endpoint), nullptr);
}

TEST_F(IdleConnectionPoolTest, TakesMostRecentlyUsedConnectionFirstAndEachOnce) {
    makePool(kKeepAlive, Duration::zero());
    const ConnectionPtr older = addIdleFor(seconds(3), endpoint);
    const ConnectionPtr newer = addIdleFor(seconds(2), endpoint);
    EXPECT_EQ(pool->take(endpoint), newer);
    EXPECT_EQ(pool->take(endpoint), older);
    EXPECT_EQ(pool->take(endpoint), nullptr);
    EXPECT_TRUE(newer->isOpen());
    EXPECT_TRUE(older->isOpen());
}

TEST_F(IdleConnectionPoolTest, SkipsConnectionWithinReuseDelay) {
    makePool(kKeepAlive, seconds(10));
    const ConnectionPtr ready = addIdleFor(seconds(15), endpoint);
    const ConnectionPtr withinReuseDelay = addIdleFor(Duration::zero(), endpoint);
    EXPECT_EQ(pool->take(endpoint), ready);
    EXPECT_EQ(pool->take(endpoint), nullptr);
    EXPECT_TRUE(withinReuseDelay->isOpen());
}

TEST_F(IdleConnectionPoolTest, ClosesConnectionThatReceivedBytes) {
    makePool(kKeepAlive, Duration::zero());
    const ConnectionPtr connection = addIdleFor(kIdleTime, endpoint);
    write(peers[0], "x");
    while (!connection->hasInput()) {
    }
    EXPECT_EQ(pool->take(endpoint), nullptr);
    EXPECT_FALSE(connection->isOpen());
}

TEST_F(IdleConnectionPoolTest, ClosesConnectionThatEndpointHasClosed) {
    makePool(kKeepAlive, Duration::zero());
    const ConnectionPtr usable = addIdleFor(seconds(2), endpoint);
    const ConnectionPtr closed = addIdleFor(kIdleTime, endpoint);
    peers[1].close();
    while (!closed->hasPeerClosed()) {
    }
    EXPECT_EQ(pool->take(endpoint), usable);
    EXPECT_FALSE(closed->isOpen());
}

TEST_F(IdleConnectionPoolTest, DoesNotTakeConnectionPastHalfOfKeepAlive) {
    makePool(kKeepAlive, Duration::zero());
    const ConnectionPtr connection = addIdleFor(kKeepAlive / 2, endpoint);
    EXPECT_EQ(pool->take(endpoint), nullptr);
    EXPECT_FALSE(connection->isOpen());
}

TEST_F(IdleConnectionPoolTest, ClosesIdleConnectionAfterHalfOfKeepAlive) {
    makePool(milliseconds(400), Duration::zero());
    const ConnectionPtr connection = addIdleFor(Duration::zero(), endpoint);
    const SteadyTimePoint addedAt = std::chrono::steady_clock::now();
    runUntil([&] { return !connection->isOpen(); });
    EXPECT_GE(std::chrono::steady_clock::now() - addedAt, milliseconds(190));
}

TEST_F(IdleConnectionPoolTest, EvictsConnectionThatHasBeenIdleLongestOverAllEndpoints) {
    makePool(kKeepAlive, Duration::zero());
    const ConnectionPtr second = addIdleFor(seconds(4), endpoint);
    const ConnectionPtr third = addIdleFor(seconds(3), endpoint);
    const ConnectionPtr first = addIdleFor(seconds(5), otherEndpoint);
    EXPECT_TRUE(pool->evictLongestIdle());
    EXPECT_FALSE(first->isOpen());
    EXPECT_TRUE(pool->evictLongestIdle());
    EXPECT_FALSE(second->isOpen());
    EXPECT_TRUE(third->isOpen());
    EXPECT_EQ(pool->take(endpoint), third);
    EXPECT_FALSE(pool->evictLongestIdle());
}

TEST_F(IdleConnectionPoolTest, ClosesAllConnectionsOfOneEndpoint) {
    makePool(kKeepAlive, Duration::zero());
    const ConnectionPtr closed = addIdleFor(kIdleTime, endpoint);
    const ConnectionPtr kept = addIdleFor(kIdleTime, otherEndpoint);
    pool->closeAll(endpoint);
    EXPECT_FALSE(closed->isOpen());
    EXPECT_EQ(pool->take(endpoint), nullptr);
    EXPECT_EQ(pool->take(otherEndpoint), kept);
}

TEST_F(IdleConnectionPoolTest, RemovesConnectionThatItCloses) {
    makePool(kKeepAlive, Duration::zero());
    const ConnectionPtr kept = addIdleFor(seconds(2), endpoint);
    const ConnectionPtr closed = addIdleFor(kIdleTime, endpoint);
    pool->close(closed);
    EXPECT_FALSE(closed->isOpen());
    EXPECT_EQ(pool->take(endpoint), kept);
}

TEST_F(IdleConnectionPoolTest, CountsConnectionAsOpenUntilItIsDestroyed) {
    makePool(kKeepAlive, Duration::zero());
    ConnectionPtr connection = connect();
    EXPECT_EQ(*connectionCount, 1U);
    connection->close();
    connection.reset();
    runUntil([&] { return *connectionCount == 0U; });
}

}  // namespace
}  // namespace gateway::net
