#include "net/transport/tcp_connection.h"

#include <poll.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <cstring>
#include <exception>

namespace gateway::net {
namespace {

constexpr std::size_t kReadSize = 4096;
constexpr std::size_t kMaxKeptOutput = 16UL * 1024;  // of the buffer's capacity, once all is written
constexpr std::size_t kDiscardSize = 64UL * 1024;

// What was read to be dropped; nobody looks at it, so all connections share it.
std::array<char, kDiscardSize> discarded;

}  // namespace

// An exception while one connection is served ends that connection, not the process.
template <class Step>
void TcpConnection::runGuarded(Step&& step) {
    try {
        step();
    } catch (const std::exception&) {
        fail();
    }
}

void TcpConnection::connect(const tcp::endpoint& peer, TimerQueue& timers, Duration limit,
                            const ReclaimDescriptor& reclaimDescriptor) {
    error_code ec;
    socket_.open(peer.protocol(), ec);
    if (ec && reclaimDescriptor && reclaimDescriptor()) socket_.open(peer.protocol(), ec);
    lacksDescriptor_ = static_cast<bool>(ec);
    if (ec) {  // reported from the loop, as all failures are
        timers.after(Duration::zero(), [weak = weak_from_this()] {
            if (const auto self = weak.lock()) self->fail();
        });
        return;
    }
    socket_.async_connect(peer, [this, self = shared_from_this()](const error_code& failure) {
        if (closed_) return;
        if (failure) return fail();
        runGuarded([this] {
            start();
            onConnected();
        });
    });
    // A machine that is cut off never answers: only this timer ends the connecting.
    timers.after(limit, [weak = weak_from_this()] {
        if (const auto self = weak.lock(); self && !self->open_) self->fail();
    });
}

void TcpConnection::start() {
    open_ = true;
    error_code ec;
    socket_.set_option(tcp::no_delay(true), ec);
    socket_.non_blocking(true, ec);
    read();
}

void TcpConnection::read() {
    if (closed_ || reading_) return;
    reading_ = true;
    const bool drops = discarding_;
    const auto buffer = drops ? boost::asio::buffer(discarded) : input_.prepare(kReadSize);
    socket_.async_read_some(buffer, [this, drops, place = buffer.data(), self = shared_from_this()](
                                        const error_code& ec, std::size_t size) {
        reading_ = false;
        if (closed_) return;
        if (ec) return fail();
        runGuarded([&] {
            if (!drops && !discarding_) takeInput(place, size);
            read();
        });
    });
}

// All that stood in front may have been consumed meanwhile: the buffer begins anew then.
void TcpConnection::takeInput(const void* place, std::size_t size) {
    const auto current = input_.prepare(size);
    if (current.data() != place) std::memmove(current.data(), place, size);
    input_.commit(size);
    onReceived();
}

void TcpConnection::discardInput() {
    discarding_ = true;
    input_.consume(input_.size());
}

void TcpConnection::flush() {
    if (!open_ || closed_ || writing_ || allWritten()) return;
    error_code ec;
    const auto rest = boost::asio::buffer(output_.data() + outputAt_, output_.size() - outputAt_);
    const std::size_t size = socket_.write_some(rest, ec);
    written_ += size;
    outputAt_ += size;
    if (allWritten()) {
        output_.clear();
        outputAt_ = 0;
        if (output_.capacity() > kMaxKeptOutput) output_.shrink_to_fit();
        return;
    }
    // On a broken connection nothing more is written; the pending read tells of its end, after what the
    // peer may still have said.
    if (ec && ec != boost::asio::error::would_block && ec != boost::asio::error::try_again) return;
    awaitWritable();
}

void TcpConnection::awaitWritable() {
    writing_ = true;
    socket_.async_wait(tcp::socket::wait_write, [this, self = shared_from_this()](const error_code& failure) {
        writing_ = false;
        if (closed_ || failure) return;
        runGuarded([this] {
            flush();
            if (!closed_ && allWritten()) onSendDrained();
        });
    });
}

TcpConnection::Peeked TcpConnection::peek() {
    char first = 0;
    error_code ec;
    const std::size_t size = socket_.receive(boost::asio::buffer(&first, 1), tcp::socket::message_peek, ec);
    if (ec == boost::asio::error::would_block || ec == boost::asio::error::try_again) return Peeked::nothing;
    return !ec && size > 0 ? Peeked::bytes : Peeked::end;
}

bool TcpConnection::peerHasClosed() {
    if (closed_) return true;
    const Peeked peeked = peek();
    if (peeked != Peeked::bytes) return peeked == Peeked::end;
    pollfd request{socket_.native_handle(), POLLRDHUP, 0};  // tells of an end whatever stands in front of it
    return ::poll(&request, 1, 0) > 0 && request.revents != 0;
}

void TcpConnection::shutdownSend() {
    error_code ec;
    socket_.shutdown(tcp::socket::shutdown_send, ec);
}

void TcpConnection::close() {
    closed_ = true;
    open_ = false;
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
