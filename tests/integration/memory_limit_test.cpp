// The memory of a gateway process under floods of each form of message, at the least memory and the most
// descriptors that deployments have, with more clients than client connections.
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <functional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "support/gateway_test.h"

namespace gateway::net::test {
namespace {

constexpr int kMemoryMegabytes = 32;
constexpr int kMaxSockets = 1024;
constexpr int kFloodingClients = 700;
constexpr int kRounds = 3;  // how often each client connects
constexpr long kKilobytesPerMegabyte = 1024;
constexpr std::size_t kHalfBodyBytes = 32UL * 1024;

std::string postHead(const std::string& framing) {
    return "POST /spend HTTP/1.1\r\nHost: h\r\n" + framing + "\r\n";
}

std::string repeated(const std::string& text, std::size_t bytes) {
    std::string result;
    while (result.size() + text.size() <= bytes) result += text;
    return result;
}

// What one flooding client sends on each connection.
struct Flood {
    const char* name;
    std::function<std::string()> bytes;
};

std::ostream& operator<<(std::ostream& out, const Flood& flood) {
    return out << flood.name;
}

const std::vector<Flood>& floods() {
    static const std::string kLength = "Content-Length: 65536\r\n";
    static const std::string kChunked = "Transfer-Encoding: chunked\r\n";
    static const std::vector<Flood> kFloods = {
        {"ManyShortFields", [] { return postHead(kLength + repeated("a:b\r\n", 15'000)); }},
        {"FieldsWithinLimit",
         [] { return postHead(kLength + repeated("a:" + std::string(116, 'b') + "\r\n", 14'500)); }},
        {"UnfinishedHead", [] { return "POST /spend HTTP/1.1\r\n" + repeated("abc: d\r\n", 16'000); }},
        {"LongField", [] { return "POST /spend HTTP/1.1\r\nlong: " + std::string(16'000, 'x'); }},
        {"HalfBody", [] { return postHead(kLength) + std::string(kHalfBodyBytes, 'x'); }},
        {"AlmostWholeBody", [] { return postHead(kLength) + std::string(65'000, 'x'); }},
        {"HalfChunk", [] { return postHead(kChunked) + "10000\r\n" + std::string(kHalfBodyBytes, 'x'); }},
        {"TinyChunks", [] { return postHead(kChunked) + repeated("1\r\nx\r\n", 64'000); }},
        {"LargeRequests",
         [] {
             static int count = 0;
             std::string requests;
             for (int i = 0; i < 2; ++i)
                 requests += unsafeRequest("large" + std::to_string(count++))
                                 .withoutQuota()
                                 .withBody(std::string(60'000, 'x'))
                                 .text();
             return requests;
         }},
        {"UnreadResponses", [] { return repeated("GET /-/ready HTTP/1.1\r\n\r\n", 200'000); }},
        {"InvalidRequests", [] { return repeated("GET /unknown HTTP/1.1\r\n\r\n", 200'000); }},
    };
    return kFloods;
}

// Writes as much as the kernel takes at once.
void writeWithoutWaiting(const Socket& client, const std::string& bytes) {
    const ssize_t written = ::send(client.fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    static_cast<void>(written);  // the gateway may have closed the connection
}

class MemoryLimitTest : public testing::TestWithParam<Flood> {
protected:
    Server endpoint{kMaxSockets};  // accepts connections into its backlog and never answers
    GatewayOptions options = optionsWithEndpoint(endpoint);
};

INSTANTIATE_TEST_SUITE_P(Forms, MemoryLimitTest, testing::ValuesIn(floods()),
                         [](const auto& testCase) { return testCase.param.name; });

// Guards against a process that passes its memory limit because of what many clients send.
TEST_P(MemoryLimitTest, StaysBelowLimitAndServesUsualClients) {
    options.memoryMegabytes = kMemoryMegabytes;
    options.maxSockets = kMaxSockets;
    const GatewayProcess gateway(options);
    std::vector<Socket> clients(kFloodingClients);
    for (int round = 0; round < kRounds; ++round) {
        for (Socket& client : clients) {
            client = gateway.connectClient();
            writeWithoutWaiting(client, GetParam().bytes());
        }
        Socket usual = gateway.connectClient();
        EXPECT_EQ(requestReadiness(usual), 200);
        EXPECT_LT(gateway.residentKilobytes(), kMemoryMegabytes * kKilobytesPerMegabyte);
    }
    EXPECT_LT(gateway.peakResidentKilobytes(), kMemoryMegabytes * kKilobytesPerMegabyte);
}

class SingleClientMemoryTest : public GatewayTest {
protected:
    void startGatewayWithLeastMemory(GatewayOptions options) {
        options.memoryMegabytes = kMemoryMegabytes;
        options.maxSockets = kMaxSockets;
        startGateway(std::move(options));
    }
    void expectMemoryBelowLimit() {
        EXPECT_LT(gateway().peakResidentKilobytes(), kMemoryMegabytes * kKilobytesPerMegabyte);
    }
};

// Guards against memory that grows without end while a client sends requests and never reads.
TEST_F(SingleClientMemoryTest, StopsReadingClientThatNeverReads) {
    constexpr int kMaxBatches = 6000;
    startGatewayWithLeastMemory(optionsWithEndpoint(endpoint));
    const Socket client = connectClient();
    const std::string batch = repeated("GET /unknown HTTP/1.1\r\n\r\n", 4000);
    int batchesWithoutProgress = 0;
    for (int i = 0; i < kMaxBatches && batchesWithoutProgress < 3; ++i) {
        const ssize_t sent = ::send(client.fd(), batch.data(), batch.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        batchesWithoutProgress = sent < 0 ? batchesWithoutProgress + 1 : 0;
        waitUntilHandled(gateway());
    }
    expectMemoryBelowLimit();
}

// Guards against memory that grows with the number of tenant names.
TEST_F(SingleClientMemoryTest, KeepsLimitedNumberOfTenants) {
    constexpr int kTenants = 60'000;
    constexpr int kTenantsAtOnce = 100;
    startGatewayWithLeastMemory({});  // without an endpoint each request is rejected at once
    Socket client = connectClient();
    for (int i = 0; i < kTenants; i += kTenantsAtOnce) {
        std::string requests;
        for (int tenant = i; tenant < i + kTenantsAtOnce; ++tenant)
            requests += keyedRequest("r" + std::to_string(tenant))
                            .withTenant("00000000" + std::to_string(10'000'000 + tenant))
                            .text();
        client.write(requests);
        for (int tenant = 0; tenant < kTenantsAtOnce; ++tenant)
            EXPECT_EQ(statusOf(client.receiveMessage()), 429);
    }
    expectMemoryBelowLimit();
}

// What an endpoint sends in place of a complete response.
struct EndpointFlood {
    const char* name;
    std::string bytes;
};

std::ostream& operator<<(std::ostream& out, const EndpointFlood& flood) {
    return out << flood.name;
}

class EndpointMemoryTest : public SingleClientMemoryTest,
                           public testing::WithParamInterface<EndpointFlood> {};

const std::string kOkHead = "HTTP/1.1 200 OK\r\n";
INSTANTIATE_TEST_SUITE_P(
    Forms, EndpointMemoryTest,
    testing::Values(EndpointFlood{"UnfinishedHead", kOkHead + repeated("a:b\r\n", 16'000)},
                    EndpointFlood{"AlmostWholeBody",
                                  kOkHead + "Content-Length: 65536\r\n\r\n" + std::string(65'000, 'x')},
                    EndpointFlood{"NoLength", kOkHead + "\r\n" + std::string(65'000, 'x')},
                    EndpointFlood{"HalfChunk", kOkHead + "Transfer-Encoding: chunked\r\n\r\n10000\r\n" +
                                                   std::string(33'000, 'x')}),
    [](const auto& testCase) { return testCase.param.name; });

// Guards against a process that passes its memory limit because of what endpoints send.
TEST_P(EndpointMemoryTest, StaysBelowLimitWhenResponsesStopBeforeTheirEnd) {
    constexpr int kRequestsAtOnce = 400;
    constexpr int kEndpoints = 64;  // under the same address; the limit of attempts grows with their number
    Server busyEndpoint(kMaxSockets);
    GatewayOptions options = optionsWithEndpoint(busyEndpoint, withLongDeadlines());
    for (int i = 0; i < kEndpoints; ++i)
        options.knownEndpoints.push_back(listedEndpoint("e" + std::to_string(i), busyEndpoint));
    startGatewayWithLeastMemory(std::move(options));
    std::vector<Socket> clients(kRequestsAtOnce);
    std::vector<Socket> connections;
    for (int i = 0; i < kRequestsAtOnce; ++i) {
        Socket& client = clients[static_cast<std::size_t>(i)];
        client = connectClient();
        client.write(unsafeRequest("r" + std::to_string(i)).withoutQuota().withTimeout(kLongTimeout).text());
        if (!waitForReadable({&client, &busyEndpoint}).empty() && !busyEndpoint.waitReadable(0)) break;
        connections.push_back(acceptAttempt(busyEndpoint));
    }
    ASSERT_GE(connections.size(), 300U);
    gateway().whileStopped([&] {
        for (const Socket& connection : connections) writeWithoutWaiting(connection, GetParam().bytes);
    });
    waitUntilHandled(gateway());
    for (std::size_t i = 0; i < connections.size(); ++i)
        EXPECT_EQ(statusOf(clients[i].receiveMessage()), 502);
    expectMemoryBelowLimit();
}

}  // namespace
}  // namespace gateway::net::test
