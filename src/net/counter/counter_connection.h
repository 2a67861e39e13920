// A connection to the counter service, with pipelined calls.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "gateway/actions.h"
#include "gateway/events.h"
#include "net/counter/counter_protocol.h"
#include "net/transport/tcp_connection.h"

namespace gateway::net {

class CounterConnection;

// Receives the events of counter connections, and decides when they may write.
class CounterConnectionObserver {
public:
    virtual ~CounterConnectionObserver() = default;

    // Returns whether the connection may write calls now. A call that may not be written is held until
    // CounterConnection::writeHeldCalls() or the call's timeout.
    virtual bool canWrite(const CounterConnection& connection) const = 0;
    // Called when the connection is established, before it writes its calls.
    virtual void onConnected(const CounterConnection& connection) = 0;
    // Called once for each call, when the call has ended.
    virtual void onReply(const CounterConnection& connection, CounterReplied&& reply) = 0;
    // Called when the response that is being received ends with the connection: calls that are written later
    // would not be answered. May close the connection.
    virtual void onEnding(const CounterConnection& connection) = 0;
    // Called when the connection broke or could not be established, before onReply() is called for its calls.
    // `wasConnected`: the connection is still open, or bytes were written on it.
    virtual void onBroken(const CounterConnection& connection, bool wasConnected) = 0;
};

// Writes calls in order and matches responses with them in that order. Reports a call that times out at its
// timeout, and discards the response if it arrives later.
class CounterConnection final : public TcpConnection {
public:
    // `observer` and `timers` must be valid until the connection is closed. `channelIndex` identifies the
    // connection to the observer.
    CounterConnection(boost::asio::io_context& ioContext, CounterConnectionObserver& observer,
                      TimerQueue& timers, std::size_t channelIndex, Duration callTimeout);

    std::size_t channelIndex() const { return channelIndex_; }

    // Starts a call. The call is written by the next flush(), or, if the connection is not established yet or
    // may not write, by writeHeldCalls().
    void call(const AddToCounter& add, std::string_view host);

    // Writes the calls that are held, if the connection is established and may write.
    void writeHeldCalls();

    // Closes the connection and reports all calls as ended. A call that was written completely ends with
    // `writtenOutcome`. Any other call ends with connectFailed, since the counter has not received it.
    void closeAndEndCalls(Outcome writtenOutcome = Outcome::timedOut);

    // Returns whether the connection should not be used for another call: it has been idle for so long that
    // the counter may be closing it, or a call has been unanswered for so long that the connection is
    // probably dead.
    bool isStale() const;

    // Returns whether all calls have been reported. Responses to calls that timed out may still arrive.
    bool hasReportedAllCalls() const;

private:
    using SteadyTime = std::chrono::steady_clock::time_point;

    struct Call {
        std::uint64_t number = 0;
        std::string name;
        SteadyTime startedAt{};
        std::string heldRequest;                 // the encoded request, while the call is held
        std::optional<std::uint64_t> endOffset;  // of the request's end in the output, once it is queued
        TimerQueue::Token timeoutTimer = 0;
        bool hasTimedOut = false;  // the call was reported; its response has not been received
    };

    void onConnected() override;
    void onReceived() override;
    void onEndOfStream() override;
    void onClosed() override;

    void queueCall(Call& call, const std::string& text);
    bool isWritten(const Call& call) const { return call.endOffset && *call.endOffset <= bytesWritten(); }
    void expireCall(std::uint64_t number);
    bool finishOldestCall(const CounterResponse& response);
    void report(const Call& call, Outcome outcome, double total);

    CounterConnectionObserver& observer_;
    TimerQueue& timers_;
    std::size_t channelIndex_;
    Duration callTimeout_;
    std::uint64_t nextNumber_ = 1;
    std::uint64_t queuedBytes_ = 0;
    std::deque<Call> calls_;  // in the order of their responses
    SteadyTime lastReceivedAt_{};
    CounterResponseParser parser_;
};

}  // namespace gateway::net
