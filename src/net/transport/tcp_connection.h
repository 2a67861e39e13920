// One TCP connection: connecting, one read always pending, writes in order.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/transport/timer_queue.h"

namespace gateway::net {

using boost::asio::ip::tcp;
using boost::system::error_code;

// Frees a descriptor for a connection where none is left; false: nothing can be spared.
using ReclaimDescriptor = std::function<bool()>;

// The base of every connection of the process. Lives in a shared_ptr, as pending operations hold it; a timer
// that outlives it must hold a weak_ptr. Derived classes learn what happens by the private virtual functions,
// always from the event loop, but for a failure of their own code.
class TcpConnection : public std::enable_shared_from_this<TcpConnection> {
public:
    virtual ~TcpConnection() = default;
    TcpConnection(const TcpConnection&) = delete;
    TcpConnection& operator=(const TcpConnection&) = delete;

    // Reports onConnected(), or onClosed() when it is refused or does not come up within `limit`.
    void connect(const tcp::endpoint& peer, TimerQueue& timers, Duration limit,
                 const ReclaimDescriptor& reclaimDescriptor = {});

    // Starts an accepted connection.
    void start();

    // Connecting failed here, for want of a descriptor, and tells nothing of the peer.
    bool lacksDescriptor() const { return lacksDescriptor_; }

    // Bytes have come that were not taken in yet.
    bool hasInput() { return input_.size() > 0 || peek() == Peeked::bytes; }

    // Neither bytes nor the connection's end have come that were not taken in yet.
    bool isQuiet() { return input_.size() == 0 && peek() == Peeked::nothing; }

    // The peer's end, or a break, has come, read or not, also where it stands behind bytes that were not
    // taken in yet. One system call, two where there are such bytes.
    bool peerHasClosed();

    // Writes at once what the kernel takes, after all that was sent before.
    void send(std::string_view bytes) {
        queue(bytes);
        flush();
    }
    void queue(std::string_view bytes) { output_.append(bytes); }
    void flush();

    // Ends the connection without a further report.
    void close();

    bool isOpen() const { return open_; }

    // Bytes that have gone to the kernel, of all that were sent or queued.
    std::uint64_t written() const { return written_; }
    bool allWritten() const { return output_.size() == outputAt_; }

protected:
    explicit TcpConnection(boost::asio::io_context& io) : socket_(io) {}
    explicit TcpConnection(tcp::socket&& socket) : socket_(std::move(socket)) {}

    boost::beast::flat_buffer& input() { return input_; }

    // From now on what comes is read and dropped, only to see the connection's end: bounds what a peer can
    // make this process hold. Not reading would hide that the peer has left.
    void discardInput();
    // The same, but what has come so far is kept.
    void dropFurtherInput() { discarding_ = true; }
    bool dropsInput() const { return discarding_; }

    void shutdownSend();

private:
    enum class Peeked { nothing, bytes, end };

    virtual void onConnected() {}
    virtual void onReceived() = 0;   // input() has grown
    virtual void onSendDrained() {}  // a write that had to wait has gone out whole
    virtual void onClosed() = 0;     // the peer closed, or the connection failed or never came up

    Peeked peek();
    void read();
    void takeInput(const void* place, std::size_t size);
    void awaitWritable();
    void fail();
    template <class Step>
    void runGuarded(Step&& step);

    static constexpr std::size_t kMaxInput = 128UL * 1024;

    tcp::socket socket_;
    boost::beast::flat_buffer input_{kMaxInput};
    std::string output_;
    std::size_t outputAt_ = 0;
    std::uint64_t written_ = 0;
    bool lacksDescriptor_ = false;
    bool open_ = false;
    bool closed_ = false;
    bool reading_ = false;
    bool writing_ = false;
    bool discarding_ = false;
};

}  // namespace gateway::net
