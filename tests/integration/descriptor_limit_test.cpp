// Clients that rest hold every descriptor, and the process still reaches those it lives by.
#include <gtest/gtest.h>

#include <list>
#include <ostream>

#include "support/gateway_process.h"

namespace gateway::net::test {
namespace {

// `sockets`: what the configuration says; `limit`: what the system lets the process have.
struct Descriptors {
    int sockets;
    rlim_t limit;
    std::string discovery;
};
std::ostream& operator<<(std::ostream& out, const Descriptors& d) {
    return out << d.discovery << " " << d.sockets << " of " << d.limit;
}

int readiness(Socket& client) {
    client.write("GET /-/ready HTTP/1.1\r\n\r\n");
    return statusOf(client.message());
}

class DescriptorLimits : public testing::TestWithParam<Descriptors> {
protected:
    static Json settingsOf(const std::string& discovery) {
        Json s = settings();
        s["discovery"] = discovery;
        s["rules"]["mustAskInS"] = 10;
        s["domain"] = {{"mayCount", true}, {"counterTimeoutS", 20}, {"maxUnits", 4}};
        return s;
    }

    // Far more than it may hold: each has been answered once and rests from then on, or stands in the queue.
    void crowd() {
        for (rlim_t i = 0; i < GetParam().limit; ++i) {
            resting.push_back(gateway.client());
            EXPECT_EQ(readiness(resting.back()), 200);
        }
        for (int i = 0; i < 200; ++i) resting.push_back(gateway.client());
    }

    Server endpoint, counter, discovery{Server::kRefusing};
    GatewayProcess gateway{Targets{target("w", endpoint)}, settingsOf(GetParam().discovery),
                           [this](Json& c) {
                               c["limits"]["sockets"] = GetParam().sockets;
                               c["mostPartialMs"] = 3600'000;  // those that say nothing stay, too
                               c["counter"] = counter.address();
                               c["discovery"] = discovery.address();
                           },
                           GetParam().limit};
    std::list<Socket> resting;
    const YoungSliceTenant youngSliceTenant;
};

INSTANTIATE_TEST_SUITE_P(Limits, DescriptorLimits,
                         testing::Values(Descriptors{256, 256, "push"}, Descriptors{256, 256, "ask"},
                                         Descriptors{1024, 256, "push"}, Descriptors{1024, 256, "ask"},
                                         Descriptors{4096, 1024, "push"}, Descriptors{4096, 1024, "ask"}));

// Discovery is called in time for the term, timed by a request as in discovery_test.
TEST_P(DescriptorLimits, DiscoveryIsCalledWhileClientsAreIdle) {
    crowd();
    Socket client = gateway.client();
    std::string clock = request("load", "clock", 5900);
    client.write(clock.replace(clock.find("team"), 4, "free"));
    ASSERT_TRUE(endpoint.waitReadable());  // it is out, and held until its time is up
    discovery.listen();
    EXPECT_NE(statusOf(client.message()), 200);
    ASSERT_TRUE(discovery.waitReadable(0));
    Socket call = discovery.accept();
    EXPECT_TRUE(has(call.message(), "since=41 "));
}

TEST_P(DescriptorLimits, TheCounterAndAEndpointAreConnectedAndNewClientsAnswered) {
    crowd();
    Socket fresh = gateway.client();
    EXPECT_EQ(readiness(fresh), 200);
    fresh.write(request("load", "r", 8000));
    Socket count = counter.accept();
    EXPECT_TRUE(has(count.message(), "?add=1&"));
    count.write(ok("2"));
    Socket at = endpoint.accept();
    EXPECT_TRUE(has(at.message(), "Request-Id: r"));
    at.write(ok("served"));
    EXPECT_EQ(statusOf(fresh.message()), 200);
    for (int i = 0; i < 20; ++i) {
        Socket next = gateway.client();
        EXPECT_EQ(readiness(next), 200);
    }
}

TEST_P(DescriptorLimits, ANewConfigurationIsReadAndItsDiscoveryCalled) {
    Server next;
    crowd();
    gateway.reload(next);
    Socket call = next.accept();
    EXPECT_TRUE(has(call.message(), "GET /api/targets HTTP/1.1\r\n"));
    call.write(ok(Json{{"index", 3}, {"snapshot", true}, {"endpoints", Targets{}}}.dump()));
    EXPECT_TRUE(has(call.message(), "since=3 "));
}

}  // namespace
}  // namespace gateway::net::test
