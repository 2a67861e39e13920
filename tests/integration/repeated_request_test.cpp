// Requests that arrive again, with the same id, on another connection.
#include <string>

#include "integration/client_disconnect_fixture.h"

namespace gateway::net::test {
namespace {

class RepeatedRequestTest : public ClientDisconnectFixture, public testing::WithParamInterface<Disconnect> {};

INSTANTIATE_TEST_SUITE_P(Ways, RepeatedRequestTest,
                         testing::Values(Disconnect::close, Disconnect::reset, Disconnect::halfClose),
                         testing::PrintToStringParamName());

// Guards against a request that runs twice because its id comes again after its client has left.
TEST_P(RepeatedRequestTest, DoesNotForwardExecutedRequestAgainAfterDisconnect) {
    startGateway(withLongDeadlines());
    Socket client = connectClient();
    Socket connection = sendToEndpoint(client, uncountedRequest("once"));
    disconnect(client, GetParam());
    EXPECT_TRUE(connection.waitForClose());
    Socket again = connectClient();
    again.write(uncountedRequest("once").text());
    EXPECT_EQ(statusOf(again.receiveMessage()), 502);
    EXPECT_FALSE(endpoint.waitReadable(0));
}

class SequentialRepeatTest : public ClientDisconnectFixture {};

TEST_F(SequentialRepeatTest, DoesNotForwardAnsweredRequestAgain) {
    startGateway(withLongDeadlines());
    Socket client = connectClient();
    Socket connection = sendToEndpoint(client, uncountedRequest("once"));
    connection.write(okResponse("x"));
    EXPECT_EQ(statusOf(client.receiveMessage()), 200);
    client.write(uncountedRequest("once").text());
    EXPECT_EQ(statusOf(client.receiveMessage()), 502);
    EXPECT_FALSE(connection.waitReadable(0));
}

TEST_F(SequentialRepeatTest, ForwardsSafeRequestAgain) {
    startGateway(withLongDeadlines());
    Socket client = connectClient();
    const RequestSpec request = safeRequest("repeated").withoutQuota().withTimeout(kLongTimeout);
    Socket connection = sendToEndpoint(client, request);
    client.close();
    EXPECT_TRUE(connection.waitForClose());
    Socket again = connectClient();
    sendToEndpoint(again, request).write(okResponse("served"));
    EXPECT_EQ(bodyOf(again.receiveMessage()), "served");
}

}  // namespace
}  // namespace gateway::net::test
