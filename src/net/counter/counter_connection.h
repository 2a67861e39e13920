// One connection to the counter service, with pipelined calls.
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

// Receives the events of counter connections, and allows them to write.
class CounterConnectionObserver {
public:
    virtual ~CounterConnectionObserver() = default;

    // Whether the connection may write calls now. Calls that may not be written are kept until
    // CounterConnection::release() or their timeout.
    virtual bool mayWrite(const CounterConnection& connection) const = 0;
    // The connection is established; it writes its calls after this.
    virtual void onConnected(const CounterConnection& connection) = 0;
    // A call has ended. Every call causes exactly one.
    virtual void onReply(const CounterConnection& connection, CounterReplied&& reply) = 0;
    // The connection broke or was never established. Its calls are reported after this. `wasConnected`: it
    // had been established.
    virtual void onBroken(const CounterConnection& connection, bool wasConnected) = 0;
};

// Writes calls in order and matches responses with them in that order. A call that times out is reported
// then; its late response is read and dropped.
class CounterConnection final : public TcpConnection {
public:
    // `observer` and `timers` must outlive the connection while it is open. `lane` is for the observer, to
    // tell its connections apart.
    CounterConnection(boost::asio::io_context& ioContext, CounterConnectionObserver& observer,
                      TimerQueue& timers, std::size_t lane, Duration callTimeout);

    std::size_t lane() const { return lane_; }

    // Starts a call. It is written with flush(), or once the connection is established and may write.
    void call(const AddToCounter& add, std::string_view host);

    // Writes the calls that were kept back, if the connection is established and may write.
    void release();

    // Closes the connection and reports all calls as ended. A call that was written in full ends with
    // `writtenOutcome`; any other with connectFailed, as the counter has not received it.
    void failAll(Outcome writtenOutcome = Outcome::timedOut);

    // The connection should not carry another call: it has been idle so long that the counter may be closing
    // it, or unanswered so long that it is probably dead.
    bool isStale() const;

    // All calls have been reported. Responses to calls that timed out may still be due.
    bool isIdle() const;

private:
    using SteadyTime = std::chrono::steady_clock::time_point;

    struct Call {
        std::uint64_t number = 0;
        std::string name;
        SteadyTime startedAt{};
        std::string unqueued;                 // the request, while it is kept back
        std::optional<std::uint64_t> endsAt;  // offset in the stream behind the request, once it is queued
        TimerQueue::Token timeoutTimer = 0;
        bool hasTimedOut = false;  // reported; the response has not been received
    };

    void onConnected() override;
    void onReceived() override;
    void onClosed() override;

    void queueCall(Call& call, const std::string& text);
    bool isWritten(const Call& call) const { return call.endsAt && *call.endsAt <= written(); }
    void expireCall(std::uint64_t number);
    bool finishOldestCall(const CounterResponse& response);
    void report(const Call& call, Outcome outcome, double total);

    CounterConnectionObserver& observer_;
    TimerQueue& timers_;
    std::size_t lane_;
    Duration callTimeout_;
    std::uint64_t nextNumber_ = 1;
    std::uint64_t queuedBytes_ = 0;
    std::deque<Call> calls_;  // in the order of their responses
    SteadyTime lastReceivedAt_{};
    CounterResponseParser parser_;
};

}  // namespace gateway::net
