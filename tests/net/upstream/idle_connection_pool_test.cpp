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
    };

    static constexpr Duration kKeepAlive = seconds(60);
    static constexpr Duration kCooldown = seconds(1);

    void makePool(Duration keepAlive, Duration reuseDelay) {
        IdleConnectionPool::Limits limits;
        limits.keepAlive = keepAlive;
        limits.reuseDelay = reuseDelay;
        pool_.emplace(timers_, limits);
    }

    // Connects to the test's endpoint. `peers_` has the other ends in the order of the connections.
    ConnectionPtr connect() {
        auto connection =
            std::make_shared<UpstreamConnection>(ioContext_, observer_, timers_, openConnections_);
        connection->connect(address(), timers_, seconds(20));
        peers_.push_back(accept());
        runUntil([&] { return connection->isOpen(); });
        return connection;
    }

    ConnectionPtr addIdleFor(Duration idleTime, const UpstreamEndpoint& endpoint) {
        ConnectionPtr connection = connect();
        pool_->add(endpoint, connection, std::chrono::steady_clock::now() - idleTime);
        return connection;
    }

    const UpstreamEndpoint endpoint_{EndpointId{"a"}};
    const UpstreamEndpoint otherEndpoint_{EndpointId{"b"}};
    Observer observer_;
    std::shared_ptr<std::size_t> openConnections_ = std::make_shared<std::size_t>(0);
    std::optional<IdleConnectionPool> pool_;
    std::vector<tcp::socket> peers_;
};

TEST_F(IdleConnectionPoolTest, ReturnsNothingForEndpointWithoutConnections) {
    makePool(kKeepAlive, Duration::zero());
    addIdleFor(kCooldown, otherEndpoint_);
    EXPECT_EQ(pool_->take(endpoint_), nullptr);
}

TEST_F(IdleConnectionPoolTest, TakesMostRecentlyUsedConnectionFirstAndEachOnce) {
    makePool(kKeepAlive, Duration::zero());
    const ConnectionPtr older = addIdleFor(seconds(3), endpoint_);
    const ConnectionPtr newer = addIdleFor(seconds(2), endpoint_);
    EXPECT_EQ(pool_->take(endpoint_), newer);
    EXPECT_EQ(pool_->take(endpoint_), older);
    EXPECT_EQ(pool_->take(endpoint_), nullptr);
    EXPECT_TRUE(newer->isOpen());
    EXPECT_TRUE(older->isOpen());
}

TEST_F(IdleConnectionPoolTest, PassesOverConnectionInCooldown) {
    makePool(kKeepAlive, seconds(10));
    const ConnectionPtr ready = addIdleFor(seconds(15), endpoint_);
    const ConnectionPtr coolingDown = addIdleFor(Duration::zero(), endpoint_);
    EXPECT_EQ(pool_->take(endpoint_), ready);
    EXPECT_EQ(pool_->take(endpoint_), nullptr);
    EXPECT_TRUE(coolingDown->isOpen());
}

TEST_F(IdleConnectionPoolTest, ClosesConnectionOnWhichBytesCame) {
    makePool(kKeepAlive, Duration::zero());
    const ConnectionPtr connection = addIdleFor(kCooldown, endpoint_);
    write(peers_[0], "x");
    while (!connection->hasInput()) {
    }
    EXPECT_EQ(pool_->take(endpoint_), nullptr);
    EXPECT_FALSE(connection->isOpen());
}

TEST_F(IdleConnectionPoolTest, ClosesConnectionThatItsEndpointClosed) {
    makePool(kKeepAlive, Duration::zero());
    const ConnectionPtr usable = addIdleFor(seconds(2), endpoint_);
    const ConnectionPtr closed = addIdleFor(kCooldown, endpoint_);
    peers_[1].close();
    while (!closed->peerHasClosed()) {
    }
    EXPECT_EQ(pool_->take(endpoint_), usable);
    EXPECT_FALSE(closed->isOpen());
}

TEST_F(IdleConnectionPoolTest, DoesNotTakeConnectionPastHalfOfKeepAlive) {
    makePool(kKeepAlive, Duration::zero());
    const ConnectionPtr connection = addIdleFor(kKeepAlive / 2, endpoint_);
    EXPECT_EQ(pool_->take(endpoint_), nullptr);
    EXPECT_FALSE(connection->isOpen());
}

TEST_F(IdleConnectionPoolTest, ClosesConnectionsPastHalfOfKeepAliveByItself) {
    makePool(milliseconds(400), Duration::zero());
    const ConnectionPtr connection = addIdleFor(Duration::zero(), endpoint_);
    const SteadyTimePoint addedAt = std::chrono::steady_clock::now();
    runUntil([&] { return !connection->isOpen(); });
    EXPECT_GE(std::chrono::steady_clock::now() - addedAt, milliseconds(190));
}

TEST_F(IdleConnectionPoolTest, EvictsConnectionThatHasBeenIdleLongestOverAllEndpoints) {
    makePool(kKeepAlive, Duration::zero());
    const ConnectionPtr second = addIdleFor(seconds(4), endpoint_);
    const ConnectionPtr third = addIdleFor(seconds(3), endpoint_);
    const ConnectionPtr first = addIdleFor(seconds(5), otherEndpoint_);
    EXPECT_TRUE(pool_->evictOldest());
    EXPECT_FALSE(first->isOpen());
    EXPECT_TRUE(pool_->evictOldest());
    EXPECT_FALSE(second->isOpen());
    EXPECT_TRUE(third->isOpen());
    EXPECT_EQ(pool_->take(endpoint_), third);
    EXPECT_FALSE(pool_->evictOldest());
}

TEST_F(IdleConnectionPoolTest, ClosesAllConnectionsOfOneEndpoint) {
    makePool(kKeepAlive, Duration::zero());
    const ConnectionPtr closed = addIdleFor(kCooldown, endpoint_);
    const ConnectionPtr kept = addIdleFor(kCooldown, otherEndpoint_);
    pool_->closeAll(endpoint_);
    EXPECT_FALSE(closed->isOpen());
    EXPECT_EQ(pool_->take(endpoint_), nullptr);
    EXPECT_EQ(pool_->take(otherEndpoint_), kept);
}

TEST_F(IdleConnectionPoolTest, RemovesConnectionThatItCloses) {
    makePool(kKeepAlive, Duration::zero());
    const ConnectionPtr kept = addIdleFor(seconds(2), endpoint_);
    const ConnectionPtr closed = addIdleFor(kCooldown, endpoint_);
    pool_->close(closed);
    EXPECT_FALSE(closed->isOpen());
    EXPECT_EQ(pool_->take(endpoint_), kept);
}

TEST_F(IdleConnectionPoolTest, ConnectionCountsAsOpenWhileItLives) {
    makePool(kKeepAlive, Duration::zero());
    ConnectionPtr connection = connect();
    EXPECT_EQ(*openConnections_, 1U);
    connection->close();
    connection.reset();
    runUntil([&] { return *openConnections_ == 0U; });
}

}  // namespace
}  // namespace gateway::net
