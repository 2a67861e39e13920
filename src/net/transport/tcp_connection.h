// A TCP connection: connects, reads continuously and writes in order.
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

// Frees a file descriptor so that a socket can be opened. Returns false if it can't free one.
using ReclaimDescriptor = std::function<bool()>;

// Returns whether a system call failed because the process or the system has no file descriptor left.
bool isDescriptorShortage(const error_code& ec);

// The base class of all TCP connections of the process.
//
// Must be owned by a shared_ptr, because pending operations hold a copy of it. A timer that can outlive the
// connection must hold a weak_ptr. The private virtual functions notify the derived class of events and are
// called from the event loop only. If one of them other than onClosed() throws an exception, the connection
// is closed and onClosed() is called; other connections are not affected.
class TcpConnection : public std::enable_shared_from_this<TcpConnection> {
public:
    virtual ~TcpConnection() = default;
    TcpConnection(const TcpConnection&) = delete;
    TcpConnection& operator=(const TcpConnection&) = delete;

    // Connects to `peer`. Calls onConnected(), or onClosed() if connecting fails or takes longer than
    // `timeout`, but never before returning. If no socket can be opened, tries again a few times; if no
    // descriptor is left, it calls `reclaimDescriptor` before that, which may be empty.
    void connect(const tcp::endpoint& peer, TimerQueue& timers, Duration timeout,
                 const ReclaimDescriptor& reclaimDescriptor = {});

    // Starts reading from an accepted connection. Precondition: constructed from a connected socket.
    void start();

    // Returns whether connect() failed because no socket could be opened, usually because this process has no
    // file descriptor left. Such a failure says nothing about the peer.
    bool hasFailedToOpenSocket() const { return hasFailedToOpenSocket_; }

    // Returns whether there are received bytes that were not consumed, in input() or still in the kernel.
    bool hasInput() { return input_.size() > 0 || peek() == PeekResult::bytes; }

    // Returns whether the connection is open and has no unconsumed bytes, in input() or in the kernel.
    bool isOpenWithoutInput() { return input_.size() == 0 && peek() == PeekResult::nothing; }

    // Returns whether the peer has closed its sending direction or the connection has failed, even if
    // received bytes have not been read yet. Makes one system call, or two if there are unread bytes.
    bool hasPeerClosed();

    // Appends `bytes` to the output and writes as much as the kernel accepts. The rest is written when the
    // socket becomes writable.
    void send(std::string_view bytes) {
        queue(bytes);
        flush();
    }

    // Appends `bytes` to the output. The next flush() or send() writes them.
    void queue(std::string_view bytes) { output_.append(bytes); }

    // Writes the output. Has no effect while the connection is not open; the derived class calls it again
    // from onConnected().
    void flush();

    // Closes the connection without calling onClosed().
    void close();

    // Returns whether the connection is established and not closed.
    bool isOpen() const { return open_; }

    // The number of bytes that were passed to the kernel since the connection was established.
    std::uint64_t bytesWritten() const { return bytesWritten_; }

    // Returns whether all output was passed to the kernel.
    bool isFlushed() const { return output_.size() == outputPosition_; }

protected:
    // Constructs a connection for connect(). `ioContext` must outlive it.
    explicit TcpConnection(boost::asio::io_context& ioContext) : socket_(ioContext) {}

    // Constructs a connection for start().
    explicit TcpConnection(tcp::socket&& socket) : socket_(std::move(socket)) {}

    // The bytes that were read and not consumed yet, at most 128 KiB. A connection is closed if less than
    // 4 KiB of this limit is left for the next read.
    boost::beast::flat_buffer& input() { return input_; }

    // The bytes that were not passed to the kernel yet. The next flush() or send() writes what was appended.
    std::string& output() { return output_; }

    // Returns the memory of the input and output buffers.
    std::size_t bufferCapacity() const { return input_.capacity() + output_.capacity(); }

    // Returns whether the latest read took all bytes that the kernel had.
    bool hasDrainedKernel() const { return hasDrainedKernel_; }

    // Frees the input buffer if it is empty and larger than one read.
    void releaseUnusedInput();

    // Leaves arriving bytes in the kernel until resumeReading(). Meanwhile the end of the connection is not
    // reported; hasPeerClosed() shows it.
    void pauseReading() { isReadingPaused_ = true; }
    void resumeReading();
    bool isReadingPaused() const { return isReadingPaused_; }

    // Discards the input and all bytes that arrive from now on. Reading continues, because it detects the end
    // of the connection.
    void discardInput();

    // Returns whether arriving bytes are discarded.
    bool isDiscardingInput() const { return discarding_; }

    // Closes the sending direction. The connection stays open for reading.
    void shutdownSend();

private:
    enum class PeekResult { nothing, bytes, end };

    virtual void onConnected() {}
    virtual void onReceived() = 0;     // input() has grown
    virtual void onOutputWritten() {}  // the kernel has accepted all output, after it had refused a part
    // The peer has closed its sending direction, and all bytes that it sent were received. Not called if the
    // connection failed, for example by a reset. onClosed() follows unless this function calls close().
    virtual void onEndOfStream() {}
    virtual void onClosed() = 0;  // the peer closed the connection, or connecting or the connection failed

    PeekResult peek();
    bool openSocket(const tcp::endpoint& peer, const ReclaimDescriptor& reclaimDescriptor);
    void awaitInput();
    error_code read();
    void cancelConnectTimer();
    void awaitWritable();
    void fail();
    template <class Step>
    void runGuarded(Step&& step);

    static constexpr std::size_t kMaxInputBytes = 128UL * 1024;

    tcp::socket socket_;
    boost::beast::flat_buffer input_{kMaxInputBytes};
    std::string output_;
    std::size_t outputPosition_ = 0;  // of the first unwritten byte
    std::uint64_t bytesWritten_ = 0;
    bool hasFailedToOpenSocket_ = false;
    bool open_ = false;
    bool closed_ = false;
    bool awaitingInput_ = false;     // a wait for input is pending
    bool awaitingWritable_ = false;  // a wait until the socket is writable is pending
    bool isReadingPaused_ = false;
    bool hasDrainedKernel_ = true;
    bool hasFailed_ = false;  // a system call reported that the connection has failed
    bool discarding_ = false;
    TimerQueue* timers_ = nullptr;  // of connect()
    TimerQueue::Token connectTimer_ = 0;
};

}  // namespace gateway::net
