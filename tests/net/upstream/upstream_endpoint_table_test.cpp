#include "net/upstream/upstream_endpoint_table.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace gateway::net {
namespace {

class UpstreamEndpointTableTest : public ::testing::Test {
protected:
    static constexpr std::uint16_t kPort = 7070;

    static ResolvedEndpoint listed(const std::string& name, Availability availability = Availability::up) {
        ResolvedEndpoint endpoint;
        endpoint.entry.id = EndpointId{name};
        endpoint.entry.availability = availability;
        endpoint.address = {boost::asio::ip::address_v4::loopback(), kPort};
        return endpoint;
    }

    void update(std::vector<ResolvedEndpoint> endpoints, bool isSnapshot = false) {
        EndpointList list;
        list.isSnapshot = isSnapshot;
        list.endpoints = std::move(endpoints);
        table.update(list);
    }

    std::shared_ptr<UpstreamEndpoint> find(const std::string& name) const {
        return table.find(EndpointId{name});
    }

    std::vector<std::string> closedEndpoints;  // whose idle connections were closed, in order
    UpstreamEndpointTable table{
        [this](const UpstreamEndpoint& endpoint) { closedEndpoints.push_back(endpoint.id().value()); }};
};

TEST_F(UpstreamEndpointTableTest, FindsListedEndpointsOnly) {
    update({listed("a")});
    ASSERT_TRUE(find("a"));
    EXPECT_EQ(find("a")->address().port(), kPort);
    EXPECT_FALSE(find("a")->isDraining());
    EXPECT_EQ(find("b"), nullptr);
}

TEST_F(UpstreamEndpointTableTest, SnapshotRemovesUnlistedEndpointsAndDeltaDoesNot) {
    update({listed("a"), listed("b")}, true);
    update({listed("b")});
    EXPECT_TRUE(find("a"));
    update({listed("b")}, true);
    EXPECT_FALSE(find("a"));
    EXPECT_TRUE(find("b"));
}

TEST_F(UpstreamEndpointTableTest, ObjectOfRemovedEndpointStaysDraining) {
    update({listed("a")});
    const auto endpoint = find("a");
    update({listed("a", Availability::removed)});
    EXPECT_FALSE(find("a"));
    EXPECT_TRUE(endpoint->isDraining());
    update({listed("a")});
    EXPECT_NE(find("a"), endpoint);
    EXPECT_TRUE(endpoint->isDraining());
    EXPECT_FALSE(find("a")->isDraining());
}

TEST_F(UpstreamEndpointTableTest, DrainingEndpointStaysListedAndCanStopDraining) {
    update({listed("a")});
    const auto endpoint = find("a");
    update({listed("a", Availability::draining)});
    EXPECT_EQ(find("a"), endpoint);
    EXPECT_TRUE(endpoint->isDraining());
    update({listed("a")});
    EXPECT_EQ(find("a"), endpoint);
    EXPECT_FALSE(endpoint->isDraining());
}

TEST_F(UpstreamEndpointTableTest, ClosesIdleConnectionsOfDrainingOrRemovedEndpoint) {
    update({listed("a"), listed("b"), listed("c")}, true);
    closedEndpoints.clear();
    update({listed("a", Availability::draining), listed("b", Availability::removed)});
    EXPECT_EQ(closedEndpoints, (std::vector<std::string>{"a", "b"}));
    closedEndpoints.clear();
    update({listed("a", Availability::draining)}, true);
    EXPECT_EQ(closedEndpoints, (std::vector<std::string>{"c", "a"}));
}

TEST_F(UpstreamEndpointTableTest, ClosesIdleConnectionsOfRestartedOrMovedEndpoint) {
    update({listed("a")});
    closedEndpoints.clear();
    update({listed("a")});
    EXPECT_TRUE(closedEndpoints.empty());
    ResolvedEndpoint restarted = listed("a");
    restarted.entry.startedAt = TimePoint(std::chrono::seconds(5));
    update({restarted});
    EXPECT_EQ(closedEndpoints, (std::vector<std::string>{"a"}));
    restarted.address.port(kPort + 1);
    update({restarted});
    EXPECT_EQ(closedEndpoints, (std::vector<std::string>{"a", "a"}));
    EXPECT_EQ(find("a")->address().port(), kPort + 1);
}

TEST_F(UpstreamEndpointTableTest, KeepsAddressOfEndpointListedWithoutOne) {
    update({listed("a")});
    ResolvedEndpoint withoutAddress = listed("a", Availability::draining);
    withoutAddress.address = {};
    update({withoutAddress});
    EXPECT_EQ(find("a")->address().port(), kPort);
}

class UpstreamEndpointTest : public ::testing::Test {
protected:
    static constexpr Duration kGracePeriod = std::chrono::seconds(2);

    const SteadyTimePoint now = std::chrono::steady_clock::now();
    UpstreamEndpoint endpoint{EndpointId{"a"}};
};

TEST_F(UpstreamEndpointTest, AcceptsAttemptsWhileItIsNotDraining) {
    EXPECT_TRUE(endpoint.acceptsAttempts(now, Duration::zero()));
}

TEST_F(UpstreamEndpointTest, AcceptsAttemptsUntilItsGracePeriodIsOver) {
    endpoint.startDraining(now);
    EXPECT_TRUE(endpoint.acceptsAttempts(now + kGracePeriod - Duration(1), kGracePeriod));
    EXPECT_FALSE(endpoint.acceptsAttempts(now + kGracePeriod, kGracePeriod));
}

TEST_F(UpstreamEndpointTest, CountsGracePeriodFromFirstStartOfDraining) {
    endpoint.startDraining(now);
    endpoint.startDraining(now + kGracePeriod);
    EXPECT_FALSE(endpoint.acceptsAttempts(now + kGracePeriod, kGracePeriod));
}

}  // namespace
}  // namespace gateway::net
