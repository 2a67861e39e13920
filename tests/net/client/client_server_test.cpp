// Tests of ClientServer in this process, so that a test controls the order in which events are handled.
#include "net/client/client_server.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "net/transport/loopback_fixture.h"
#include "support/http_messages.h"
#include "support/request_spec.h"

namespace gateway::net::test {
namespace {

constexpr const char* kReadinessRequest = "GET /-/ready HTTP/1.1\r\nHost: gateway\r\n\r\n";

class ClientServerTest : public LoopbackFixture {
protected:
    struct StartedRequest {
        RequestId id;
        std::shared_ptr<ClientSession> session;
    };

    ClientServerTest() {
        RequestClass load;
        load.deadline = std::chrono::hours(1);
        rules.classes = {load};
        rules.classNames = {"load"};
        rules.planNames = {"free"};
        rules.maxRequestCost = 1;
        limits.requestReadTimeout = std::chrono::hours(1);
    }

    void startServer() {
        server.emplace(ioContext, timers, clock, rules, limits,
                       ClientServer::Hooks{[] { return true; },
                                           [this](ClientRequest&& request, const auto& session) {
                                               started.push_back({request.arrival.request, session});
                                               return true;
                                           },
                                           [](const RequestId&) {}});
        server->listen(tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    }

    tcp::socket connectClient() {
        tcp::socket client(ioContext);
        client.connect(server->address());
        return client;
    }

    // Connects a client that has received a response and is idle.
    tcp::socket connectIdleClient() {
        tcp::socket client = connectClient();
        write(client, kReadinessRequest);
        EXPECT_EQ(statusOf(receive(client)), 200);
        return client;
    }

    // Connects a client whose request stays in flight.
    tcp::socket connectBusyClient(const std::string& requestId) {
        tcp::socket client = connectIdleClient();
        const std::size_t startedBefore = started.size();
        write(client, requestText(requestId));
        runUntil([&] { return started.size() > startedBefore; });
        return client;
    }

    static std::string requestText(const std::string& id) { return safeRequest(id).withoutQuota().text(); }

    // Runs all handlers that are ready, and those that become ready meanwhile.
    void handleReadyEvents() {
        ioContext.poll();
        ioContext.restart();
    }

    Clock clock;
    RequestRules rules;
    ClientServer::Limits limits;
    std::vector<StartedRequest> started;
    std::optional<ClientServer> server;
};

// Guards against accepts that pile up at the limit, without end, and take memory and connections beyond it.
TEST_F(ClientServerTest, HoldsNoMoreConnectionsThanItsLimit) {
    constexpr int kMaxClients = 4;
    limits.connections = kMaxClients;
    startServer();
    constexpr int kIdleClients = 5 * kMaxClients;
    std::vector<tcp::socket> clients;
    clients.reserve(kIdleClients + kMaxClients);
    for (int i = 0; i < kIdleClients; ++i) clients.push_back(connectIdleClient());
    for (int i = 0; i < kMaxClients; ++i) clients.push_back(connectBusyClient("r" + std::to_string(i)));
    tcp::socket next = connectClient();
    write(next, kReadinessRequest);
    handleReadyEvents();
    EXPECT_EQ(next.available(), 0U);
    server->answer(*started.front().session, plainResponse(boost::beast::http::status::ok));
    EXPECT_EQ(statusOf(receive(next)), 200);
}

// Guards against a new connection that is closed for the next client before its request has arrived.
TEST_F(ClientServerTest, SparesNewConnectionUntilItsRequestCanArrive) {
    limits.connections = 2;
    limits.newConnectionGrace = std::chrono::hours(1);
    startServer();
    const tcp::socket busy = connectBusyClient("busy");
    tcp::socket fresh = connectClient();
    handleReadyEvents();
    tcp::socket next = connectClient();
    write(next, kReadinessRequest);
    handleReadyEvents();
    write(fresh, requestText("fresh"));
    runUntil([&] { return started.size() == 2; });
    EXPECT_EQ(started.back().id, RequestId("fresh"));
    EXPECT_EQ(next.available(), 0U);
    server->answer(*started.back().session, plainResponse(boost::beast::http::status::ok));
    EXPECT_EQ(statusOf(receive(next)), 200);
}

// Guards against a silent connection that keeps others in the backlog: no event ends its grace period.
TEST_F(ClientServerTest, EndsSilentConnectionAfterGracePeriodForWaitingClient) {
    limits.connections = 1;
    limits.newConnectionGrace = std::chrono::milliseconds(50);
    startServer();
    tcp::socket silent = connectClient();
    handleReadyEvents();
    tcp::socket next = connectClient();
    write(next, kReadinessRequest);
    EXPECT_EQ(statusOf(receive(next)), 200);
    EXPECT_TRUE(isClosedWithoutBytes(silent));
}

// Guards against a connection with valid requests that is ended because others hold connections with
// incomplete ones: what it has sent is read, or left in the kernel, and never answered.
TEST_F(ClientServerTest, AnswersEveryRequestSentAtOnceWhileIncompleteRequestsFillTheLimit) {
    constexpr std::size_t kRequests = 60;  // more bytes than are read while a request is in flight
    limits.connections = 2;
    startServer();
    tcp::socket usual = connectClient();
    for (std::size_t i = 0; i < kRequests; ++i) write(usual, requestText("r" + std::to_string(i)));
    runUntil([&] { return started.size() == 1; });
    ioContext.run_for(
        std::chrono::milliseconds(600));  // longer than an overloaded client may wait at the limit
    tcp::socket incomplete = connectClient();
    write(incomplete, "GET /load HTTP/1.1\r\n");
    tcp::socket next = connectClient();
    write(next, kReadinessRequest);
    EXPECT_EQ(statusOf(receive(next)), 200);
    EXPECT_EQ(statusOf(receive(incomplete)), 503);
    for (std::size_t i = 0; i < kRequests; ++i) {
        runUntil([&] { return started.size() > i; });
        ASSERT_GT(started.size(), i);
        server->answer(*started[i].session, plainResponse(boost::beast::http::status::ok));
        ASSERT_EQ(statusOf(receive(usual)), 200);
    }
}

// Guards against a client that stays in the backlog although a session has become idle: the kernel accepted
// the rest of its response only after the client had read a part of it.
TEST_F(ClientServerTest, AcceptsClientOnceSlowReaderHasReceivedItsResponse) {
    limits.connections = 1;
    limits.newConnectionGrace = std::chrono::hours(1);  // the server does not look for room again by itself
    startServer();
    tcp::socket slowReader = connectBusyClient("r");
    const std::string body(std::size_t{32} * 1024 * 1024, 'x');  // more than the socket buffers can hold
    server->answer(*started.front().session, {boost::beast::http::status::ok, {}, "text/plain", body});
    tcp::socket next = connectClient();
    write(next, kReadinessRequest);
    handleReadyEvents();
    EXPECT_EQ(next.available(), 0U);
    std::size_t receivedBytes = 0;
    while (receivedBytes < body.size()) receivedBytes += receive(slowReader).size();
    EXPECT_EQ(statusOf(receive(next)), 200);
}

// Guards against a client that is taken from the backlog and dropped, because listening ends at that moment.
TEST_F(ClientServerTest, ServesAllClientsInBacklogWhenListeningEnds) {
    startServer();
    handleReadyEvents();
    std::vector<tcp::socket> clients;
    for (const std::string id : {"r1", "r2", "r3"}) {
        clients.push_back(connectClient());
        write(clients.back(), requestText(id));
    }
    server->drain([] {});  // the grace periods are 0
    runUntil([&] { return started.size() >= clients.size(); });
    EXPECT_EQ(started.size(), clients.size());
}

}  // namespace
}  // namespace gateway::net::test
