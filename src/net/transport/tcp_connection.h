// One TCP connection: connecting, reading continuously, writing in order.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "net/transport/timer_queue.h"

namespace gateway::net {

using boost::asio::ip::tcp;
using boost::system::error_code;

// Frees a descriptor for a connection when the process has none left. Returns false if none can be freed.
using ReclaimDescriptor = std::function<bool()>;

// The base of every connection of the process.
//
// Must be owned by a shared_ptr, since pending operations hold one. A timer that may outlive the connection
// must hold a weak_ptr. Derived classes learn what happens through the private virtual functions. Those are
// called from the event loop; onClosed() can also come from within a call of the derived class that fails. An
// exception of a derived class closes its connection and affects nothing else.
class TcpConnection : public std::enable_shared_from_this<TcpConnection> {
public:
    virtual ~TcpConnection() = default;
    TcpConnection(const TcpConnection&) = delete;
    TcpConnection& operator=(const TcpConnection&) = delete;

    // Connects to `peer`. Calls onConnected(), or onClosed() if the connection is refused or takes longer
    // than `timeout`, but never before returning. If the process has no descriptor left, tries once more after
    // `reclaimDescriptor`, which may be empty.
    void connect(const tcp::endpoint& peer, TimerQueue& timers, Duration timeout,
                 const ReclaimDescriptor& reclaimDescriptor = {});

    // Starts to read from an accepted connection. Precondition: constructed from a connected socket.
    void start();

    // Whether connecting failed because this process has no descriptor left, which is no evidence about the
    // peer.
    bool lacksDescriptor() const { return lacksDescriptor_; }

    // Whether bytes have come that have not been consumed, read or not.
    bool hasInput() { return input_.size() > 0 || peek() == PeekResult::bytes; }

    // Whether neither unconsumed bytes nor the connection's end have come.
    bool isQuiet() { return input_.size() == 0 && peek() == PeekResult::nothing; }

    // Whether the peer's end of sending, or a failure, has come, read or not, even behind unread bytes. Costs
    // one system call, or two if there are unread bytes.
    bool peerHasClosed();

    // Appends `bytes` to the output and writes what the kernel accepts at once. The rest follows in order.
    void send(std::string_view bytes) {
        queue(bytes);
        flush();
    }

    // Appends `bytes` to the output. They are written by the next flush() or send().
    void queue(std::string_view bytes) { output_.append(bytes); }

    // Writes the output. Has no effect while the connection is not open; call it again from onConnected().
    void flush();

    // Closes the connection without calling onClosed().
    void close();

    // Whether the connection is up: connected and not closed.
    bool isOpen() const { return open_; }

    // The number of bytes that were handed to the kernel since the connection came up.
    std::uint64_t written() const { return written_; }

    // Whether all output was handed to the kernel.
    bool allWritten() const { return output_.size() == outputPosition_; }

protected:
    // For connect(). `ioContext` must outlive the connection.
    explicit TcpConnection(boost::asio::io_context& ioContext) : socket_(ioContext) {}

    // For start().
    explicit TcpConnection(tcp::socket&& socket) : socket_(std::move(socket)) {}

    // The bytes that were read and not consumed yet. Grows to 128 KiB at most; a connection that exceeds that
    // is closed.
    boost::beast::flat_buffer& input() { return input_; }

    // Drops the input, and all that comes from now on. Reading goes on, since otherwise the connection's end
    // would not be noticed.
    void discardInput();

    // Drops all that comes from now on, but keeps the input that has come.
    void dropFurtherInput() { discarding_ = true; }

    // Whether new input is dropped.
    bool dropsInput() const { return discarding_; }

    // Ends the sending direction. The connection stays open for reading.
    void shutdownSend();

private:
    enum class PeekResult { nothing, bytes, end };

    virtual void onConnected() {}
    virtual void onReceived() = 0;   // input() has grown
    virtual void onSendDrained() {}  // output that the kernel did not accept at once is all written
    virtual void onClosed() = 0;     // the peer closed the connection, it failed, or it was never up

    PeekResult peek();
    bool openSocket(const tcp::endpoint& peer, const ReclaimDescriptor& reclaimDescriptor);
    void read();
    void appendInput(const void* bytes, std::size_t size);
    void awaitWritable();
    void fail();
    template <class Step>
    void runGuarded(Step&& step);

    static constexpr std::size_t kMaxInputBytes = 128UL * 1024;

    tcp::socket socket_;
    boost::beast::flat_buffer input_{kMaxInputBytes};
    std::string output_;
    std::size_t outputPosition_ = 0;  // of the first byte that is not written
    std::uint64_t written_ = 0;
    bool lacksDescriptor_ = false;
    bool open_ = false;
    bool closed_ = false;
    bool reading_ = false;  // a read is pending
    bool writing_ = false;  // a wait until the socket is writable is pending
    bool discarding_ = false;
};

}  // namespace gateway::net
