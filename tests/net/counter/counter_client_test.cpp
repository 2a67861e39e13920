// Tests of CounterClient with its own event loop and a scripted counter service.
#include "net/counter/counter_client.h"

#include <gtest/gtest.h>

#include <vector>

#include "net/discovery/endpoint_list.h"
#include "support/http_messages.h"
#include "support/loopback_socket.h"

namespace gateway::net::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class CounterClientTest : public testing::Test {
protected:
    CounterClient makeClient(Duration callTimeout) {
        return {io,
                timers,
                parseAddress(counter.address(), "counter"),
                {1, callTimeout, seconds(5)},
                [this](CounterReplied&& reply) { replies.push_back(std::move(reply)); }};
    }

    // Starts a call, and returns the connection on which it was received.
    Socket startAndReceive(CounterClient& client) {
        startCall(client);
        runUntilReadable(counter);
        Socket connection = counter.accept();
        runUntilReadable(connection);
        connection.receiveMessage();
        return connection;
    }

    static void startCall(CounterClient& client) {
        client.add({"q1.1", 1, seconds(5)});
        client.flush();
    }

    void runUntilReplies(std::size_t count) {
        io.restart();
        while (replies.size() < count) io.run_one();
    }

    // Runs the event loop until `socket` is readable.
    void runUntilReadable(const Socket& socket) {
        io.restart();
        while (!socket.waitReadable(0)) io.run_one_for(milliseconds(10));
    }

    Server counter;
    boost::asio::io_context io;
    TimerQueue timers{io};
    std::vector<CounterReplied> replies;
};

// Guards against calls on a dead connection, whose amounts never reach the counter.
TEST_F(CounterClientTest, ReplacesConnectionAfterSeveralCallTimeouts) {
    CounterClient client = makeClient(milliseconds(5));
    startCall(client);
    runUntilReplies(1);
    Socket unanswered = counter.accept();
    for (std::size_t calls = 2; calls <= 40 && !counter.waitReadable(0); ++calls) {
        startCall(client);
        runUntilReplies(calls);
    }
    EXPECT_TRUE(counter.waitReadable(0));
}

TEST_F(CounterClientTest, ReportsTotalsInTheOrderOfTheCalls) {
    CounterClient client = makeClient(seconds(20));
    startCall(client);
    startCall(client);
    runUntilReadable(counter);
    Socket connection = counter.accept();
    runUntilReadable(connection);
    connection.receiveMessage();
    connection.receiveMessage();
    EXPECT_FALSE(client.isIdle());
    connection.write(okResponse("1") + "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
    runUntilReplies(2);
    EXPECT_EQ(replies[0].name, "q1.1");
    EXPECT_EQ(replies[0].outcome, Outcome::ok);
    EXPECT_EQ(replies[0].total, 1);
    EXPECT_EQ(replies[1].outcome, Outcome::rejected);
    EXPECT_TRUE(client.isIdle());
}

TEST_F(CounterClientTest, ReportsConnectFailedDuringBackoff) {
    counter.close();
    CounterClient client = makeClient(seconds(20));
    startCall(client);
    runUntilReplies(1);
    EXPECT_EQ(replies[0].outcome, Outcome::connectFailed);
    startCall(client);  // reports the call before it returns
    ASSERT_EQ(replies.size(), 2U);
    EXPECT_EQ(replies[1].outcome, Outcome::connectFailed);
}

TEST_F(CounterClientTest, ReportsResetForWrittenCallOfBrokenConnection) {
    CounterClient client = makeClient(seconds(20));
    Socket connection = startAndReceive(client);
    connection.reset();
    runUntilReplies(1);
    EXPECT_EQ(replies[0].outcome, Outcome::reset);
}

// ---- Responses without a length -------------------------------------------------------------------------

// Guards against a total that is lost, and against the next call on a connection that ends with the response.
TEST_F(CounterClientTest, ReportsTotalWithoutLengthBeforeItMakesNextCallOnNewConnection) {
    CounterClient client = makeClient(seconds(20));
    Socket first = startAndReceive(client);
    startCall(client);
    runUntilReadable(first);
    first.receiveMessage();
    first.write(okResponse("11") + "HTTP/1.1 200 OK\r\n\r\n1");
    runUntilReplies(1);
    startCall(client);
    runUntilReadable(counter);
    Socket second = counter.accept();
    EXPECT_EQ(replies.size(), 1U);
    first.write("2");
    first.close();
    runUntilReadable(second);
    ASSERT_EQ(replies.size(), 2U);
    EXPECT_EQ(replies[1].outcome, Outcome::ok);
    EXPECT_EQ(replies[1].total, 12);
    second.receiveMessage();
    second.write(okResponse("13"));
    runUntilReplies(3);
    EXPECT_EQ(replies[2].total, 13);
}

// Guards against a total of which a reset has cut off the last digits.
TEST_F(CounterClientTest, ReportsResetForTruncatedTotalWithoutLength) {
    CounterClient client = makeClient(seconds(20));
    Socket connection = startAndReceive(client);
    connection.write("HTTP/1.1 200 OK\r\n\r\n1");
    connection.reset();
    runUntilReplies(1);
    EXPECT_EQ(replies[0].outcome, Outcome::reset);
}

}  // namespace
}  // namespace gateway::net::test
