// A new process at the address of an endpoint that has gone.
#include <gtest/gtest.h>

#include "support/gateway_test.h"

namespace gateway::net::test {
namespace {

class ReplacedEndpointTest : public GatewayTest {
protected:
    // Sends the endpoint in a delta, and returns once the gateway has applied it.
    void announce(int index, const ListedEndpoint& listed) {
        watch.write(kChunkedHead + deltaChunk(index, {listed}));
        watch.close();
        watch = gateway().discovery().accept();
        EXPECT_TRUE(contains(watch.receiveMessage(), "since=" + std::to_string(index) + " "));
    }

    SaturatedServer saturated;
    Socket watch;
};

// Guards against an attempt that reaches the new process because it was made for the old one.
TEST_F(ReplacedEndpointTest, DoesNotSendAttemptThatWasConnectingToOldProcess) {
    GatewayOptions options = optionsWithEndpoint(endpoint, withLongDrainGracePeriod());
    options.knownEndpoints = {listedEndpoint("old", saturated)};
    startGateway(options);
    watch = gateway().discovery().accept();
    watch.receiveMessage();
    Socket client = connectClient();
    client.write(unsafeRequest("r").withoutQuota().text());
    waitUntilHandled(gateway());  // the gateway has started to connect to the old process
    announce(42, listedEndpoint("other", endpoint));
    ListedEndpoint replacement = listedEndpoint("new", saturated, "terminating");
    replacement.startedAtMs = 5000;
    announce(43, replacement);
    Socket connection = saturated.acceptPending();
    EXPECT_TRUE(connection.waitForClose());
    Socket retry = endpoint.accept();
    EXPECT_TRUE(isRequest(retry.receiveMessage(), "r"));
    retry.write(okResponse("served"));
    EXPECT_EQ(bodyOf(client.receiveMessage()), "served");
}

}  // namespace
}  // namespace gateway::net::test
