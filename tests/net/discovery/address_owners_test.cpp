#include "net/discovery/address_owners.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

namespace gateway::net {
namespace {

constexpr unsigned short kPort = 7070;

ResolvedEndpoint listed(const std::string& name, int startedAtSeconds, unsigned short port = kPort) {
    ResolvedEndpoint endpoint;
    endpoint.entry.id = EndpointId{name};
    endpoint.entry.startedAt = TimePoint(std::chrono::seconds(startedAtSeconds));
    endpoint.address = {boost::asio::ip::address_v4::loopback(), port};
    return endpoint;
}

class AddressOwnersTest : public testing::Test {
protected:
    // Passes a list and returns the names of the endpoints that it removes as replaced.
    std::vector<std::string> replacedBy(std::vector<ResolvedEndpoint> endpoints, bool isSnapshot) {
        EndpointList list;
        list.isSnapshot = isSnapshot;
        list.endpoints = std::move(endpoints);
        owners.removeReplaced(list);
        std::vector<std::string> names;
        for (const ResolvedEndpoint& endpoint : list.endpoints) {
            if (!endpoint.isReplaced) continue;
            EXPECT_EQ(endpoint.entry.availability, Availability::removed);
            names.push_back(endpoint.entry.id.value());
        }
        return names;
    }

    AddressOwners owners;
};

using Names = std::vector<std::string>;

TEST_F(AddressOwnersTest, RemovesKnownEndpointWhoseAddressALaterProcessHas) {
    EXPECT_EQ(replacedBy({listed("old", 0), listed("other", 0, kPort + 1)}, true), Names{});
    EXPECT_EQ(replacedBy({listed("new", 5)}, false), Names{"old"});
    EXPECT_EQ(replacedBy({listed("newer", 6)}, false), Names{"new"});
}

TEST_F(AddressOwnersTest, RemovesReplacedEndpointThatIsStillListed) {
    EXPECT_EQ(replacedBy({listed("old", 3), listed("new", 5)}, true), Names{"old"});
    EXPECT_EQ(replacedBy({listed("new", 5), listed("old", 3)}, true), Names{"old"});
    EXPECT_EQ(replacedBy({listed("old", 3)}, false), Names{"old"});
}

TEST_F(AddressOwnersTest, KeepsEndpointsThatStartedAtTheSameTime) {
    EXPECT_EQ(replacedBy({listed("a", 0), listed("b", 0)}, true), Names{});
}

TEST_F(AddressOwnersTest, ForgetsAddressOfEndpointThatMoved) {
    EXPECT_EQ(replacedBy({listed("a", 3)}, true), Names{});
    EXPECT_EQ(replacedBy({listed("a", 3, kPort + 1)}, false), Names{});
    EXPECT_EQ(replacedBy({listed("b", 5)}, false), Names{});
}

}  // namespace
}  // namespace gateway::net
