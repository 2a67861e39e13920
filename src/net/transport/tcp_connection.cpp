#include "net/transport/tcp_connection.h"

#include <poll.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <cerrno>
#include <exception>

namespace gateway::net {
namespace {

constexpr std::size_t kReadBytes = 4096;
constexpr std::size_t kMaxIdleOutputCapacity = 16UL * 1024;  // kept for reuse once all is written
constexpr std::size_t kDiscardBytes = 64UL * 1024;

// Receives discarded input. All connections share it, because its contents are never read.
std::array<char, kDiscardBytes> discardBuffer;

constexpr int kMaxOpenAttempts = 3;

// A call that a signal interrupted is repeated like one that would block.
bool wouldBlock(const error_code& ec) {
    return ec == boost::asio::error::would_block || ec == boost::asio::error::try_again ||
           ec == boost::asio::error::interrupted;
}

}  // namespace

bool isDescriptorShortage(const error_code& ec) {
    return ec.category() == boost::system::system_category() &&
           (ec.value() == EMFILE || ec.value() == ENFILE);
}

template <class Step>
void TcpConnection::runGuarded(Step&& step) {
    try {
        step();
    } catch (const std::exception&) {
        fail();
    }
}

// ---- Connecting -----------------------------------------------------------------------------------

void TcpConnection::connect(const tcp::endpoint& peer, TimerQueue& timers, Duration timeout,
                            const ReclaimDescriptor& reclaimDescriptor) {
    hasFailedToOpenSocket_ = !openSocket(peer, reclaimDescriptor);
    if (hasFailedToOpenSocket_) {
        timers.schedule(Duration::zero(), [weak = weak_from_this()] {
            if (const auto self = weak.lock()) self->fail();
        });
        return;
    }
    socket_.async_connect(peer, [this, self = shared_from_this()](const error_code& ec) {
        if (closed_) return;
        if (ec) {
            fail();
            return;
        }
        runGuarded([this] {
            start();
            onConnected();
        });
    });
    // An unreachable machine never answers, so only this timer ends the attempt to connect.
    timers_ = &timers;
    connectTimer_ = timers.schedule(timeout, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && !self->open_) self->fail();
    });
}

// A pending timer would keep the memory of a closed connection.
void TcpConnection::cancelConnectTimer() {
    if (timers_ != nullptr) timers_->cancel(connectTimer_);
    timers_ = nullptr;
}

bool TcpConnection::openSocket(const tcp::endpoint& peer, const ReclaimDescriptor& reclaimDescriptor) {
    error_code ec;
    for (int attempt = 0; attempt < kMaxOpenAttempts; ++attempt) {
        socket_.open(peer.protocol(), ec);
        if (!ec) return true;
        const bool isRepeatedShortage = attempt > 0 && isDescriptorShortage(ec);
        if (isRepeatedShortage && !(reclaimDescriptor && reclaimDescriptor())) return false;
    }
    return false;
}

void TcpConnection::start() {
    open_ = true;
    cancelConnectTimer();
    error_code ec;
    socket_.set_option(tcp::no_delay(true), ec);
    socket_.non_blocking(true, ec);
    awaitInput();
}

// ---- Reading --------------------------------------------------------------------------------------

// Waits for input, and takes it from the kernel in the handler. An asynchronous read would take the input
// some time before its handler runs; until then, neither input() nor peek() would show it.
void TcpConnection::awaitInput() {
    if (closed_ || awaitingInput_ || isReadingPaused_) return;
    awaitingInput_ = true;
    socket_.async_wait(tcp::socket::wait_read, [this, self = shared_from_this()](error_code ec) {
        awaitingInput_ = false;
        if (closed_ || isReadingPaused_) return;
        if (!ec) runGuarded([&] { ec = read(); });
        if (ec)
            fail();
        else
            awaitInput();
    });
}

// Reads what the kernel has, up to a limit. Returns an error if the connection has ended.
error_code TcpConnection::read() {
    const auto buffer = discarding_ ? boost::asio::buffer(discardBuffer) : input_.prepare(kReadBytes);
    error_code ec;
    const std::size_t size = socket_.read_some(buffer, ec);
    if (wouldBlock(ec)) return {};
    // The kernel reports a failure once. If a write or a peek received the report, this read sees the end of
    // the stream instead.
    if (ec == boost::asio::error::eof && !hasFailed_) onEndOfStream();
    if (ec || discarding_) return ec;
    input_.commit(size);
    hasDrainedKernel_ = size < kReadBytes;
    onReceived();
    releaseUnusedInput();
    return {};
}

void TcpConnection::resumeReading() {
    if (!isReadingPaused_) return;
    isReadingPaused_ = false;
    awaitInput();
}

void TcpConnection::discardInput() {
    discarding_ = true;
    input_.consume(input_.size());
    releaseUnusedInput();
    resumeReading();
}

void TcpConnection::releaseUnusedInput() {
    if (input_.size() == 0 && input_.capacity() > kReadBytes) input_.shrink_to_fit();
}

TcpConnection::PeekResult TcpConnection::peek() {
    char firstByte = 0;
    error_code ec;
    std::size_t size = 0;
    do {
        size = socket_.receive(boost::asio::buffer(&firstByte, 1), tcp::socket::message_peek, ec);
    } while (ec == boost::asio::error::interrupted);
    if (wouldBlock(ec)) return PeekResult::nothing;
    if (ec && ec != boost::asio::error::eof) hasFailed_ = true;
    return !ec && size > 0 ? PeekResult::bytes : PeekResult::end;
}

bool TcpConnection::hasPeerClosed() {
    if (closed_) return true;
    const PeekResult result = peek();
    if (result != PeekResult::bytes) return result == PeekResult::end;
    pollfd request{socket_.native_handle(), POLLRDHUP, 0};  // reports a close even if there are unread bytes
    int readyCount = 0;
    do {
        readyCount = ::poll(&request, 1, 0);
    } while (readyCount < 0 && errno == EINTR);
    return readyCount > 0 && request.revents != 0;
}

// ---- Writing --------------------------------------------------------------------------------------

void TcpConnection::flush() {
    if (!open_ || closed_ || awaitingWritable_ || isFlushed()) return;
    error_code ec;
    const auto unwritten =
        boost::asio::buffer(output_.data() + outputPosition_, output_.size() - outputPosition_);
    const std::size_t size = socket_.write_some(unwritten, ec);
    bytesWritten_ += size;
    outputPosition_ += size;
    if (isFlushed()) {
        output_.clear();
        outputPosition_ = 0;
        if (output_.capacity() > kMaxIdleOutputCapacity) output_.shrink_to_fit();
        return;
    }
    // A failed connection is not written to any more. The pending read reports the failure after it has
    // delivered the bytes that the peer sent before.
    if (ec && !wouldBlock(ec)) {
        hasFailed_ = true;
        return;
    }
    awaitWritable();
}

void TcpConnection::awaitWritable() {
    awaitingWritable_ = true;
    socket_.async_wait(tcp::socket::wait_write, [this, self = shared_from_this()](const error_code& ec) {
        awaitingWritable_ = false;
        if (closed_ || ec) return;
        runGuarded([this] {
            flush();
            if (!closed_ && isFlushed()) onOutputWritten();
        });
    });
}

// ---- Closing --------------------------------------------------------------------------------------

void TcpConnection::shutdownSend() {
    error_code ec;
    socket_.shutdown(tcp::socket::shutdown_send, ec);
}

void TcpConnection::close() {
    closed_ = true;
    open_ = false;
    cancelConnectTimer();
    error_code ec;
    socket_.close(ec);
}

void TcpConnection::fail() {
    if (closed_) return;
    const auto self = shared_from_this();
    close();
    onClosed();
}

}  // namespace gateway::net
