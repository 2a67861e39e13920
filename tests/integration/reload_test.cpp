// Reload after SIGHUP: a gateway switches to the addresses in its changed configuration file.
#include "support/gateway_test.h"

namespace gateway::net::test {
namespace {

class ReloadTest : public GatewayTest {};

// After a reload the address in the file takes precedence over EDGE_DISCOVERY. List indices of another
// discovery service are unrelated to the known one, so the gateway requests a snapshot first, and then the
// changes to it.
TEST_F(ReloadTest, SwitchesToNewDiscoveryAndRequestsItsSnapshot) {
    const Server newEndpoint;
    const Server newDiscovery;
    const Server thirdDiscovery;
    startGateway(withLongDrainGracePeriod());
    Socket oldWatch = gateway().discovery().accept();
    oldWatch.receiveMessage();
    gateway().reload(R"({"discovery": "127.0.0.1:1", )");  // incomplete: the addresses do not change
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
