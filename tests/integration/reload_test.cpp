// SIGHUP: a gateway goes over to the addresses that its configuration file names now.
#include "support/gateway_test.h"

namespace gateway::net::test {
namespace {

class ReloadTest : public GatewayTest {};

// The file takes precedence over EDGE_DISCOVERY once it was replaced. Versions of another discovery may be
// others, so its whole list is requested; its changes follow in order.
TEST_F(ReloadTest, SwitchesToNewDiscoveryAndRequestsItsSnapshot) {
    const Server newEndpoint;
    const Server newDiscovery;
    const Server thirdDiscovery;
    startGateway(withLongDrainGracePeriod());
    Socket oldWatch = gateway().discovery().accept();
    oldWatch.receiveMessage();
    gateway().reload(R"({"discovery": "127.0.0.1:1", )");  // half written: the addresses in use stay
    gateway().reload(newDiscovery);
    Socket watch = newDiscovery.accept();
    EXPECT_TRUE(contains(watch.receiveMessage(), "GET /api/targets HTTP/1.1\r\n"));
    EXPECT_TRUE(oldWatch.waitForClose());
    watch.write(okResponse(snapshotDocument(3, {listedEndpoint("b", newEndpoint)})));
    EXPECT_TRUE(contains(watch.receiveMessage(), "GET /api/targets?follow=1&since=3 "));
    expectServedBy(gateway(), newEndpoint, 3);
    EXPECT_FALSE(endpoint.waitReadable(0));
    gateway().reload(thirdDiscovery);
    EXPECT_TRUE(contains(thirdDiscovery.accept().receiveMessage(), "GET /api/targets HTTP/1.1\r\n"));
}

}  // namespace
}  // namespace gateway::net::test
