// Clients that send further requests, or other bytes, before they have received a response.
#include <gtest/gtest.h>

#include <stdexcept>
#include <string>
#include <thread>

#include "support/gateway_test.h"

namespace gateway::net::test {
namespace {

class PipeliningTest : public GatewayTest {
protected:
    void SetUp() override { startGateway(withLongDeadlines()); }

    static RequestSpec longRequest(const std::string& id) {
        return unsafeRequest(id).withTimeout(kLongTimeout);
    }
    static RequestSpec largeRequest(const std::string& id) {
        return longRequest(id).withBody(std::string(30'000, 'x'));
    }
};

// The timeout of a pipelined request starts when the request arrives, not when the previous one is answered.
TEST_F(PipeliningTest, CountsTimeoutFromArrivalOfRequest) {
    using std::chrono::milliseconds;
    constexpr milliseconds kDelay{600};
    Socket client = connectClient();
    const auto request = [](const char* id) { return safeRequest(id).withTimeout(kLongTimeout).text(); };
    client.write(request("r1") + request("r2"));
    Socket connection = endpoint.accept();
    EXPECT_TRUE(isRequest(connection.receiveMessage(), "r1"));
    pause(kDelay);
    client.write(request("r3"));
    waitUntilHandled(gateway());  // the gateway has read r3
    pause(kDelay);
    for (const auto& [id, delay] : {std::pair("r2", 2 * kDelay), std::pair("r3", kDelay)}) {
        connection.write(okResponse("x"));
        EXPECT_EQ(statusOf(client.receiveMessage()), 200);
        const std::string forwarded = connection.receiveMessage();
        EXPECT_TRUE(isRequest(forwarded, id)) << forwarded;
        EXPECT_LE(announcedTimeout(forwarded), kLongTimeout - delay) << forwarded;
    }
}

// Guards against timeouts that start when a request is read: the gateway leaves it in the kernel for some
// time.
TEST_F(PipeliningTest, CountsTimeoutOfRequestsThatWereLeftInKernel) {
    constexpr std::chrono::milliseconds kDelay{600};
    Socket client = connectClient();
    const auto large = [](const char* id) { return largeRequest(id).withoutQuota().text(); };
    client.write(longRequest("r1").withoutQuota().text() + large("r2") + large("r3"));
    Socket connection = endpoint.accept();
    EXPECT_TRUE(isRequest(connection.receiveMessage(), "r1"));
    for (const std::string next : {"r2", "r3"}) {
        pause(kDelay);
        connection.write(okResponse("x"));
        EXPECT_EQ(statusOf(client.receiveMessage()), 200);
        const std::string forwarded = connection.receiveMessage();
        EXPECT_TRUE(isRequest(forwarded, next));
        EXPECT_LE(announcedTimeout(forwarded), kLongTimeout - (next == "r2" ? kDelay : 2 * kDelay));
    }
}

// The gateway has already started the next read when it takes pipelined requests out of its buffer.
TEST_F(PipeliningTest, ReadsRequestsThatFollowPipelinedOnes) {
    Socket client = connectClient();
    client.write(longRequest("r1").text() + longRequest("r2").text());
    Socket connection = endpoint.accept();
    for (const std::string id : {"r1", "r2", "r3", "r4"}) {
        const std::string forwarded = connection.receiveMessage();
        EXPECT_TRUE(isRequest(forwarded, id)) << id << ": " << forwarded;
        connection.write(okResponse(id));
        EXPECT_EQ(bodyOf(client.receiveMessage()), id);
        if (id == "r2") client.write(longRequest("r3").text());
        if (id == "r3") client.write(longRequest("r4").text());
    }
}

TEST_F(PipeliningTest, AnswersHundredsOfRequestsInOrder) {
    constexpr int kRequests = 200;
    Socket client = connectClient();
    std::string requests;
    for (int i = 0; i < kRequests; ++i)
        requests += safeRequest("r" + std::to_string(i)).withoutQuota().withTimeout(kLongTimeout).text();
    client.write(requests);
    Socket connection = endpoint.accept();
    for (int i = 0; i < kRequests; ++i) {
        EXPECT_TRUE(isRequest(connection.receiveMessage(), "r" + std::to_string(i)));
        connection.write(okResponse(std::to_string(i)));
        EXPECT_EQ(bodyOf(client.receiveMessage()), std::to_string(i));
    }
    EXPECT_EQ(requestReadiness(client), 200);
}

// ClientDisconnectTest sends the same bytes and disconnects; the gateway then does not forward them.
TEST_F(PipeliningTest, ServesLargeRequestBehindAnother) {
    Socket connection = openIdleConnection();
    Socket client = connectClient();
    waitUntilHandled(gateway());
    gateway().whileStopped([&] {
        client.write(longRequest("r1").withoutQuota().text() + largeRequest("r2").withoutQuota().text());
    });
    for (const std::string id : {"r1", "r2"}) {
        EXPECT_TRUE(isRequest(connection.receiveMessage(), id));
        connection.write(okResponse(id));
        EXPECT_EQ(bodyOf(client.receiveMessage()), id);
    }
}

// Guards against requests that are read and dropped because too many bytes follow the request in flight.
TEST_F(PipeliningTest, AnswersEveryRequestOfManyLargeOnesSentAtOnce) {
    constexpr int kRequests = 300;  // more bytes than the kernel's buffers hold
    Socket client = connectClient();
    const std::jthread sender([&] {
        for (int i = 0; i < kRequests; ++i)
            client.write(largeRequest("r" + std::to_string(i)).withoutQuota().text());
    });
    Socket connection = endpoint.accept();
    for (int i = 0; i < kRequests; ++i) {
        const std::string forwarded = connection.receiveMessage();
        EXPECT_TRUE(isRequest(forwarded, "r" + std::to_string(i)));
        EXPECT_EQ(bodyOf(forwarded).size(), 30'000U);
        connection.write(okResponse(std::to_string(i)));
        EXPECT_EQ(bodyOf(client.receiveMessage()), std::to_string(i));
    }
    EXPECT_EQ(requestReadiness(client), 200);
}

// Guards against requests that are read faster than they are answered, and dropped with their connection.
TEST_F(PipeliningTest, AnswersEveryRequestOfManySmallOnesSentAtOnce) {
    constexpr int kRequests = 40'000;  // far more bytes than the gateway keeps
    const std::string request = "GET /-/ready HTTP/1.1\r\n\r\n";
    Socket client = connectClient();
    const std::jthread sender([&] {
        std::string requests;
        for (int i = 0; i < kRequests; ++i) requests += request;
        client.write(requests);
    });
    for (int i = 0; i < kRequests; ++i) ASSERT_EQ(statusOf(client.receiveMessage()), 200);
}

TEST_F(PipeliningTest, AnswersPipelinedRequestsThatPrecedeShutdown) {
    Socket client = connectClient();
    Socket probe = connectClient();
    client.write(longRequest("r0").text() + longRequest("r1").text() + longRequest("r2").text());
    Socket connection = endpoint.accept();
    EXPECT_TRUE(isRequest(connection.receiveMessage(), "r0"));
    gateway().terminate();
    waitUntilNotReady(probe);
    for (const std::string next : {"r1", "r2", ""}) {
        const bool isLast = next.empty();
        connection.write(okResponse("x"));
        const std::string response = client.receiveMessage();
        EXPECT_EQ(statusOf(response), 200);
        EXPECT_EQ(contains(response, "Connection: close"), isLast) << "before " << next;
        if (!isLast) {
            EXPECT_TRUE(isRequest(connection.receiveMessage(), next));
        }
    }
    EXPECT_TRUE(client.waitForClose());
    client.close();
    probe.close();
    EXPECT_EQ(gateway().waitForExit(), 0);
}

// Input that the gateway no longer reads must not cause a reset that destroys the response.
TEST_F(PipeliningTest, DeliversFinalResponseWhileClientKeepsSending) {
    Socket client = connectClient();
    client.write(replaced(longRequest("r").text(), "\r\n", "\r\nConnection: close\r\n"));
    const Socket connection = acceptAttempt(endpoint);
    const std::string body(60'000, 'b');
    gateway().whileStopped([&] {
        connection.write(okResponse(body));
        client.write(std::string(50'000, 'x'));
    });
    EXPECT_TRUE(bodyOf(client.receiveMessage()) == body);  // too long to print
}

// Clients send invalid bytes, then close or reset the connection.
TEST_F(PipeliningTest, ServesOthersAfterFloodsOfInvalidBytes) {
    const std::string lines(2'000'000, '\n');
    for (const std::string& flood : {"nonsense\r\n\r\n" + lines, std::string(100'000, 'x')}) {
        for (const bool reset : {false, true, false, true}) {
            Socket flooding = connectClient();
            try {
                flooding.write(flood);
            } catch (const std::runtime_error&) {  // the gateway has closed the connection
            }
            reset ? flooding.reset() : flooding.close();
        }
    }
    Socket client = connectClient();
    const Socket connection = sendToEndpoint(client, safeRequest("r").withTimeout(kLongTimeout));
    connection.write(okResponse("served"));
    EXPECT_EQ(bodyOf(client.receiveMessage()), "served");
    EXPECT_FALSE(endpoint.waitReadable(0));
}

}  // namespace
}  // namespace gateway::net::test
