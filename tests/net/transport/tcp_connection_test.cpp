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

// Records what happens on it.
class RecordingConnection final : public TcpConnection {
public:
    explicit RecordingConnection(boost::asio::io_context& ioContext) : TcpConnection(ioContext) {}

    using TcpConnection::discardInput;
    using TcpConnection::dropFurtherInput;
    using TcpConnection::dropsInput;
    using TcpConnection::shutdownSend;

    std::string received() {
        const auto bytes = input().data();
        return {static_cast<const char*>(bytes.data()), bytes.size()};
    }

    std::vector<std::string> calls;
    bool throwsOnReceived = false;

private:
    void onConnected() override { calls.emplace_back("connected"); }
    void onReceived() override {
        calls.emplace_back("received");
        if (throwsOnReceived) throw std::runtime_error("expected by the test");
    }
    void onSendDrained() override { calls.emplace_back("send drained"); }
    void onClosed() override { calls.emplace_back("closed"); }
};

class TcpConnectionTest : public test::LoopbackFixture {
protected:
    using Calls = std::vector<std::string>;

    void connect(Duration limit = seconds(20), const ReclaimDescriptor& reclaimDescriptor = {}) {
        connection_->connect(address(), timers_, limit, reclaimDescriptor);
    }

    void connectAndAccept() {
        connect();
        peer_ = accept();
        runUntil([&] { return connection_->isOpen(); });
        connection_->calls.clear();
    }

    bool isClosed() const { return !connection_->calls.empty() && connection_->calls.back() == "closed"; }

    std::shared_ptr<RecordingConnection> connection_ = std::make_shared<RecordingConnection>(ioContext_);
    tcp::socket peer_{ioContext_};
};

TEST_F(TcpConnectionTest, ReportsConnectionOnceItIsUp) {
    connect();
    EXPECT_TRUE(connection_->calls.empty());
    EXPECT_FALSE(connection_->isOpen());
    runUntil([&] { return connection_->isOpen(); });
    EXPECT_EQ(connection_->calls, (Calls{"connected"}));
    EXPECT_FALSE(connection_->lacksDescriptor());
}

TEST_F(TcpConnectionTest, ReportsRefusedConnectionAsClosed) {
    const tcp::endpoint refusing = address();
    acceptor_.close();
    connection_->connect(refusing, timers_, seconds(20));
    EXPECT_TRUE(connection_->calls.empty());
    runUntil([&] { return isClosed(); });
    EXPECT_EQ(connection_->calls, (Calls{"closed"}));
    EXPECT_FALSE(connection_->lacksDescriptor());
}

TEST_F(TcpConnectionTest, DoesNotReportOwnClose) {
    connectAndAccept();
    connection_->close();
    peer_.close();
    ioContext_.run_for(milliseconds(20));
    EXPECT_TRUE(connection_->calls.empty());
    EXPECT_FALSE(connection_->isOpen());
    EXPECT_TRUE(connection_->peerHasClosed());
}

TEST_F(TcpConnectionTest, ReadsInput) {
    connectAndAccept();
    EXPECT_TRUE(connection_->isQuiet());
    write(peer_, "hello");
    runUntil([&] { return !connection_->calls.empty(); });
    EXPECT_EQ(connection_->received(), "hello");
    EXPECT_TRUE(connection_->hasInput());
    EXPECT_FALSE(connection_->isQuiet());
}

TEST_F(TcpConnectionTest, FindsBytesAndEndThatAreNotReadYet) {
    connectAndAccept();
    write(peer_, "x");
    while (!connection_->hasInput()) {
    }
    EXPECT_FALSE(connection_->peerHasClosed());
    peer_.shutdown(tcp::socket::shutdown_send);
    while (!connection_->peerHasClosed()) {
    }
    EXPECT_TRUE(connection_->calls.empty());
    EXPECT_EQ(connection_->received(), "");
}

TEST_F(TcpConnectionTest, ReportsInputBeforePeersEnd) {
    connectAndAccept();
    write(peer_, "x");
    peer_.close();
    runUntil([&] { return isClosed(); });
    EXPECT_EQ(connection_->calls, (Calls{"received", "closed"}));
}

TEST_F(TcpConnectionTest, DiscardsInputButReportsPeersEnd) {
    connectAndAccept();
    connection_->discardInput();
    EXPECT_TRUE(connection_->dropsInput());
    write(peer_, "x");
    peer_.close();
    runUntil([&] { return isClosed(); });
    EXPECT_EQ(connection_->calls, (Calls{"closed"}));
}

TEST_F(TcpConnectionTest, KeepsEarlierInputWhenItDropsFurtherInput) {
    connectAndAccept();
    write(peer_, "kept");
    runUntil([&] { return !connection_->calls.empty(); });
    connection_->dropFurtherInput();
    write(peer_, "dropped");
    peer_.close();
    runUntil([&] { return isClosed(); });
    EXPECT_EQ(connection_->received(), "kept");
}

TEST_F(TcpConnectionTest, WritesQueuedBytesInOrder) {
    connectAndAccept();
    connection_->queue("a");
    EXPECT_EQ(connection_->written(), 0U);
    EXPECT_FALSE(connection_->allWritten());
    connection_->send("b");
    EXPECT_EQ(connection_->written(), 2U);
    EXPECT_TRUE(connection_->allWritten());
    EXPECT_EQ(receive(peer_), "ab");
}

TEST_F(TcpConnectionTest, ReportsWhenOutputThatHadToWaitIsWritten) {
    connectAndAccept();
    const std::string output(std::size_t{32} * 1024 * 1024, 'x');  // more than the sockets' buffers hold
    connection_->send(output);
    EXPECT_FALSE(connection_->allWritten());
    std::size_t receivedBytes = 0;
    while (receivedBytes < output.size()) receivedBytes += receive(peer_).size();
    runUntil([&] { return !connection_->calls.empty(); });
    EXPECT_EQ(connection_->calls, (Calls{"send drained"}));
    EXPECT_EQ(connection_->written(), output.size());
}

TEST_F(TcpConnectionTest, StaysReadableAfterShutdownOfSending) {
    connectAndAccept();
    connection_->send("last");
    connection_->shutdownSend();
    EXPECT_EQ(receive(peer_), "last");
    EXPECT_TRUE(isClosedWithoutBytes(peer_));
    write(peer_, "x");
    runUntil([&] { return !connection_->calls.empty(); });
    EXPECT_EQ(connection_->calls, (Calls{"received"}));
}

TEST_F(TcpConnectionTest, ExceptionOfDerivedClassClosesConnection) {
    connectAndAccept();
    connection_->throwsOnReceived = true;
    write(peer_, "x");
    runUntil([&] { return isClosed(); });
    EXPECT_FALSE(connection_->isOpen());
}

}  // namespace
}  // namespace gateway::net
