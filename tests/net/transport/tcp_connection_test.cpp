#include "net/transport/tcp_connection.h"

#include <gtest/gtest.h>

#include <boost/asio/socket_base.hpp>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "net/transport/loopback_fixture.h"

namespace gateway::net {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Records the calls of its virtual functions.
class RecordingConnection final : public TcpConnection {
public:
    explicit RecordingConnection(boost::asio::io_context& ioContext) : TcpConnection(ioContext) {}
    explicit RecordingConnection(tcp::socket&& socket) : TcpConnection(std::move(socket)) {}

    using TcpConnection::discardInput;
    using TcpConnection::isDiscardingInput;
    using TcpConnection::pauseReading;
    using TcpConnection::resumeReading;
    using TcpConnection::shutdownSend;

    std::string received() {
        const auto bytes = input().data();
        return {static_cast<const char*>(bytes.data()), bytes.size()};
    }

    void consume(std::size_t bytes) { input().consume(bytes); }

    std::vector<std::string> calls;
    bool throwsOnReceived = false;
    bool hasEndOfStream = false;

private:
    void onConnected() override { calls.emplace_back("connected"); }
    void onReceived() override {
        calls.emplace_back("received");
        if (throwsOnReceived) throw std::runtime_error("expected by the test");
    }
    void onOutputWritten() override { calls.emplace_back("output written"); }
    void onEndOfStream() override { hasEndOfStream = true; }
    void onClosed() override { calls.emplace_back("closed"); }
};

class TcpConnectionTest : public test::LoopbackFixture {
protected:
    using Calls = std::vector<std::string>;

    void connect(Duration timeout = seconds(20), const ReclaimDescriptor& reclaimDescriptor = {}) {
        connection->connect(address(), timers, timeout, reclaimDescriptor);
    }

    void connectAndAccept() {
        connect();
        peer = accept();
        runUntil([&] { return connection->isOpen(); });
        connection->calls.clear();
    }

    // Ends the connection with a TCP reset.
    void resetPeer() {
        peer.set_option(boost::asio::socket_base::linger(true, 0));
        peer.close();
    }

    bool isClosed() const { return !connection->calls.empty() && connection->calls.back() == "closed"; }

    std::shared_ptr<RecordingConnection> connection = std::make_shared<RecordingConnection>(ioContext);
    tcp::socket peer{ioContext};
};

TEST_F(TcpConnectionTest, ReportsEstablishedConnection) {
    connect();
    EXPECT_TRUE(connection->calls.empty());
    EXPECT_FALSE(connection->isOpen());
    runUntil([&] { return connection->isOpen(); });
    EXPECT_EQ(connection->calls, (Calls{"connected"}));
    EXPECT_FALSE(connection->hasFailedToOpenSocket());
}

TEST_F(TcpConnectionTest, ReportsRefusedConnectionAsClosed) {
    const tcp::endpoint refusingAddress = address();
    acceptor.close();
    connection->connect(refusingAddress, timers, seconds(20));
    EXPECT_TRUE(connection->calls.empty());
    runUntil([&] { return isClosed(); });
    EXPECT_EQ(connection->calls, (Calls{"closed"}));
    EXPECT_FALSE(connection->hasFailedToOpenSocket());
}

TEST_F(TcpConnectionTest, DoesNotReportOwnClose) {
    connectAndAccept();
    connection->close();
    peer.close();
    ioContext.run_for(milliseconds(20));
    EXPECT_TRUE(connection->calls.empty());
    EXPECT_FALSE(connection->isOpen());
    EXPECT_TRUE(connection->hasPeerClosed());
}

TEST_F(TcpConnectionTest, ReadsInput) {
    connectAndAccept();
    EXPECT_TRUE(connection->isOpenWithoutInput());
    write(peer, "hello");
    runUntil([&] { return !connection->calls.empty(); });
    EXPECT_EQ(connection->received(), "hello");
    EXPECT_TRUE(connection->hasInput());
    EXPECT_FALSE(connection->isOpenWithoutInput());
}

TEST_F(TcpConnectionTest, DetectsBytesAndCloseThatAreNotReadYet) {
    connectAndAccept();
    write(peer, "x");
    while (!connection->hasInput()) {
    }
    EXPECT_FALSE(connection->hasPeerClosed());
    peer.shutdown(tcp::socket::shutdown_send);
    while (!connection->hasPeerClosed()) {
    }
    EXPECT_TRUE(connection->calls.empty());
    EXPECT_EQ(connection->received(), "");
}

// Guards against input that was taken from the kernel before its handler runs, and that no query shows.
TEST_F(TcpConnectionTest, ShowsInputThatArrivedBeforeStart) {
    peer.connect(address());
    write(peer, "x");
    tcp::socket accepted = accept();
    while (accepted.available() == 0) {
    }
    connection = std::make_shared<RecordingConnection>(std::move(accepted));
    connection->start();
    EXPECT_TRUE(connection->hasInput());
    EXPECT_FALSE(connection->isOpenWithoutInput());
    runUntil([&] { return !connection->calls.empty(); });
    EXPECT_EQ(connection->received(), "x");
}

// The buffer of one read is smaller than what has arrived.
TEST_F(TcpConnectionTest, ShowsRestOfInputThatExceedsOneRead) {
    connectAndAccept();
    const std::string bytes(6000, 'x');
    write(peer, bytes);
    runUntil([&] { return !connection->calls.empty(); });
    const std::string firstPart = connection->received();
    ASSERT_LT(firstPart.size(), bytes.size());
    connection->consume(firstPart.size());
    EXPECT_TRUE(connection->hasInput());
}

TEST_F(TcpConnectionTest, ReportsInputBeforeClose) {
    connectAndAccept();
    write(peer, "x");
    peer.close();
    runUntil([&] { return isClosed(); });
    EXPECT_EQ(connection->calls, (Calls{"received", "closed"}));
}

TEST_F(TcpConnectionTest, ReportsEndOfStreamOfClosedConnection) {
    connectAndAccept();
    write(peer, "x");
    peer.close();
    runUntil([&] { return isClosed(); });
    EXPECT_TRUE(connection->hasEndOfStream);
}

TEST_F(TcpConnectionTest, DoesNotReportResetAsEndOfStream) {
    connectAndAccept();
    write(peer, "x");
    resetPeer();
    runUntil([&] { return isClosed(); });
    EXPECT_EQ(connection->received(), "x");
    EXPECT_FALSE(connection->hasEndOfStream);
}

// The kernel reports a reset once. If a write gets the report, the next read finds the end of the stream.
TEST_F(TcpConnectionTest, DoesNotReportResetThatWriteMetAsEndOfStream) {
    connectAndAccept();
    write(peer, "x");
    resetPeer();
    while (connection->isFlushed()) connection->send("y");
    runUntil([&] { return isClosed(); });
    EXPECT_EQ(connection->received(), "x");
    EXPECT_FALSE(connection->hasEndOfStream);
}

TEST_F(TcpConnectionTest, DoesNotReportResetThatPeekMetAsEndOfStream) {
    connectAndAccept();
    resetPeer();
    while (!connection->hasPeerClosed()) {
    }
    runUntil([&] { return isClosed(); });
    EXPECT_FALSE(connection->hasEndOfStream);
}

TEST_F(TcpConnectionTest, DiscardsInputButReportsClose) {
    connectAndAccept();
    connection->discardInput();
    EXPECT_TRUE(connection->isDiscardingInput());
    write(peer, "x");
    peer.close();
    runUntil([&] { return isClosed(); });
    EXPECT_EQ(connection->calls, (Calls{"closed"}));
}

TEST_F(TcpConnectionTest, LeavesInputInKernelWhileReadingIsPaused) {
    connectAndAccept();
    write(peer, "first");
    runUntil([&] { return !connection->calls.empty(); });
    connection->pauseReading();
    write(peer, "second");
    peer.close();
    runUntil([&] { return connection->hasPeerClosed(); });
    EXPECT_EQ(connection->received(), "first");
    EXPECT_EQ(connection->calls, (Calls{"received"}));
    connection->resumeReading();
    runUntil([&] { return isClosed(); });
    EXPECT_EQ(connection->received(), "firstsecond");
    EXPECT_EQ(connection->calls, (Calls{"received", "received", "closed"}));
}

TEST_F(TcpConnectionTest, WritesQueuedBytesInOrder) {
    connectAndAccept();
    connection->queue("a");
    EXPECT_EQ(connection->bytesWritten(), 0U);
    EXPECT_FALSE(connection->isFlushed());
    connection->send("b");
    EXPECT_EQ(connection->bytesWritten(), 2U);
    EXPECT_TRUE(connection->isFlushed());
    EXPECT_EQ(receive(peer), "ab");
}

TEST_F(TcpConnectionTest, ReportsWhenDelayedOutputIsWritten) {
    connectAndAccept();
    const std::string output(std::size_t{32} * 1024 * 1024, 'x');  // more than the socket buffers can hold
    connection->send(output);
    EXPECT_FALSE(connection->isFlushed());
    std::size_t receivedBytes = 0;
    while (receivedBytes < output.size()) receivedBytes += receive(peer).size();
    runUntil([&] { return !connection->calls.empty(); });
    EXPECT_EQ(connection->calls, (Calls{"output written"}));
    EXPECT_EQ(connection->bytesWritten(), output.size());
}

TEST_F(TcpConnectionTest, StaysReadableAfterShutdownOfSending) {
    connectAndAccept();
    connection->send("last");
    connection->shutdownSend();
    EXPECT_EQ(receive(peer), "last");
    EXPECT_TRUE(isClosedWithoutBytes(peer));
    write(peer, "x");
    runUntil([&] { return !connection->calls.empty(); });
    EXPECT_EQ(connection->calls, (Calls{"received"}));
}

TEST_F(TcpConnectionTest, ExceptionOfDerivedClassClosesConnection) {
    connectAndAccept();
    connection->throwsOnReceived = true;
    write(peer, "x");
    runUntil([&] { return isClosed(); });
    EXPECT_FALSE(connection->isOpen());
}

}  // namespace
}  // namespace gateway::net
