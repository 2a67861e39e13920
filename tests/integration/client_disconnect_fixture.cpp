#include "integration/client_disconnect_fixture.h"

#include <algorithm>

namespace gateway::net::test {

std::ostream& operator<<(std::ostream& out, Disconnect disconnect) {
    switch (disconnect) {
        case Disconnect::close:
            return out << "Close";
        case Disconnect::reset:
            return out << "Reset";
        case Disconnect::halfClose:
            return out << "HalfClose";
    }
    return out << "unknown";
}

void disconnect(Socket& client, Disconnect how) {
    switch (how) {
        case Disconnect::close:
            return client.close();
        case Disconnect::reset:
            return client.reset();
        case Disconnect::halfClose:
            return client.closeSending();
    }
}

RequestSpec ClientDisconnectFixture::uncountedRequest(const std::string& id) {
    return unsafeRequest(id).withoutQuota().withTimeout(kLongTimeout);
}

void ClientDisconnectFixture::expectOnlyNextRequestForwarded(const std::vector<const Server*>& endpoints,
                                                             const std::vector<Socket*>& connections) const {
    Socket client = connectClient();
    client.write(uncountedRequest("next").text());
    std::vector<const Socket*> watched(connections.begin(), connections.end());
    watched.insert(watched.end(), endpoints.begin(), endpoints.end());
    const auto readable = waitForReadable(watched);
    ASSERT_EQ(readable.size(), 1U) << "the gateway made an attempt besides that of the next request";
    Socket accepted;
    const auto known = std::find(connections.begin(), connections.end(), readable.front());
    if (known == connections.end())
        accepted = (*std::find(endpoints.begin(), endpoints.end(), readable.front()))->accept();
    Socket& connection = known == connections.end() ? accepted : **known;
    const std::string forwarded = connection.receiveMessage();
    EXPECT_TRUE(isRequest(forwarded, "next")) << forwarded;
    connection.write(okResponse("served"));
    EXPECT_EQ(statusOf(client.receiveMessage()), 200);
    EXPECT_TRUE(readableNow(watched).empty()) << "the gateway made an attempt after that of the next request";
}

}  // namespace gateway::net::test
