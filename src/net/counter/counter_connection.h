// One connection to the counter: calls are pipelined, and replied to in their order.
#pragma once

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "gateway/actions.h"
#include "gateway/events.h"
#include "net/transport/tcp_connection.h"

namespace gateway::net {

class CounterConnection final : public TcpConnection {
public:
    // What a connection needs of the client that it belongs to.
    class Owner {
    public:
        Owner() = default;
        Owner(const Owner&) = delete;
        Owner& operator=(const Owner&) = delete;
        virtual ~Owner() = default;

        // Calls may be written on this connection now.
        virtual bool mayWrite(const CounterConnection& connection) const = 0;
        // The connection is up.
        virtual void onConnected(const CounterConnection& connection) = 0;
        // A call has ended.
        virtual void onReply(const CounterConnection& connection, CounterReplied&& reply) = 0;
        // The connection ended, before its calls are reported. `wasUp`: it had come up before.
        virtual void onBroken(const CounterConnection& connection, bool wasUp) = 0;
    };

    // `owner` and `timers` must outlive the connection's being open. `lane` is the owner's mark.
    CounterConnection(boost::asio::io_context& io, Owner& owner, TimerQueue& timers, std::size_t lane,
                      Duration callTimeout);

    std::size_t lane() const { return lane_; }

    // Begins a call. It goes out with flush(), or with release() when the connection is up.
    void call(const AddToCounter& add, std::string_view host);

    // Writes the calls that waited for the connection, or for those before it to end.
    void release();

    // Ends the connection and tells what becomes of all calls; none is made anew. Those whose last byte went
    // out end as `sentOutcome`.
    void failAll(Outcome sentOutcome = Outcome::timedOut);

    // Idle so long that the counter may be closing it, or silent so long that nothing more will come.
    bool isStale() const;

    // All calls have ended for their callers; late replies may still be due.
    bool isIdle() const;

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;
    using Moment = std::chrono::steady_clock::time_point;

    struct Call {
        std::uint64_t number = 0;
        std::string name;
        Moment began{};
        std::string unwritten;       // not yet handed to the connection
        std::uint64_t lastByte = 0;  // of all that the connection writes; 0: not handed over
        TimerQueue::Token timer = 0;
        bool reported = false;  // it timed out; its reply is still to be taken in
    };

    void onConnected() override;
    void onReceived() override;
    void onClosed() override;

    void write(Call& call, const std::string& text);
    bool isWritten(const Call& call) const { return call.lastByte != 0 && call.lastByte <= written(); }
    void resetParser();
    bool takeReply();
    void expire(std::uint64_t number);
    void report(const Call& call, Outcome outcome, double total);

    Owner& owner_;
    TimerQueue& timers_;
    std::size_t lane_;
    Duration callTimeout_;
    std::uint64_t nextNumber_ = 1;
    std::uint64_t queuedBytes_ = 0;
    std::deque<Call> calls_;  // in the order of their replies
    Moment heardAt_{};
    std::optional<Parser> parser_;
};

}  // namespace gateway::net
