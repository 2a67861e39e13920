// A connection to an endpoint, which carries one attempt at a time.
#pragma once

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

#include "net/transport/clock.h"
#include "net/transport/memory_budget.h"
#include "net/transport/tcp_connection.h"
#include "net/transport/timer_queue.h"
#include "net/upstream/attempt.h"
#include "net/upstream/response_fault_log.h"

namespace gateway::net {

class UpstreamConnection;

// Receives the events of upstream connections. Called from the event loop, never from within connect().
class UpstreamConnectionObserver {
public:
    UpstreamConnectionObserver() = default;
    UpstreamConnectionObserver(const UpstreamConnectionObserver&) = delete;
    UpstreamConnectionObserver& operator=(const UpstreamConnectionObserver&) = delete;
    virtual ~UpstreamConnectionObserver() = default;

    // The connection is established, and the attempt can be written to it.
    virtual void onConnected(AttemptId attempt) = 0;

    // A complete response was received. `isReusable`: the connection can carry another attempt; if false, it
    // is closed after this call.
    virtual void onResponse(AttemptId attempt, AttemptResult&& result, bool isReusable) = 0;

    // The connection failed, was closed by the endpoint or received a malformed response. It has already been
    // closed. connection->attempt() returns the attempt that it carried, or AttemptId::none if it was idle;
    // connection->responseFault() returns what was wrong.
    virtual void onBroken(const std::shared_ptr<UpstreamConnection>& connection) = 0;

    // Bytes were received while the connection was idle. It is still open.
    virtual void onUnexpectedInput(const std::shared_ptr<UpstreamConnection>& connection) = 0;

    // The messages of all connections exceed the memory budget. May close this connection.
    virtual void onMemoryExceeded() = 0;
};

class UpstreamConnection final : public TcpConnection {
public:
    // `observer` and `timers` must outlive the connection while it is open. `connectionCount` counts the
    // objects of this class: the constructor increments it and the destructor decrements it.
    UpstreamConnection(boost::asio::io_context& ioContext, UpstreamConnectionObserver& observer,
                       TimerQueue& timers, std::shared_ptr<std::size_t> connectionCount,
                       std::shared_ptr<MemoryBudget> memoryBudget);
    ~UpstreamConnection() override;
    UpstreamConnection(const UpstreamConnection&) = delete;
    UpstreamConnection& operator=(const UpstreamConnection&) = delete;

    // Assigns the connection to an attempt until the response is complete. Precondition: the connection has
    // no attempt.
    void assign(AttemptId attempt);
    AttemptId attempt() const { return attempt_; }

    // Writes the request of the assigned attempt. `timeout` is sent to the endpoint, and is at least 1 ms
    // there. Preconditions: the connection is open, and write() was not called for this attempt before.
    void write(const ForwardedRequest& request, std::chrono::milliseconds timeout);

    // Returns whether the whole request of the attempt was passed to the kernel, so that the endpoint may run
    // it.
    bool isRequestWritten() const { return bytesWritten() > bytesWrittenBefore_ && isFlushed(); }

    // Returns whether the connection carried another attempt before the present one.
    bool isReused() const { return bytesWrittenBefore_ > 0; }

    // Returns what the connection takes from the memory budget.
    std::size_t chargedBytes() const { return memory_.bytes(); }

    // Returns when the request was written or the current response began, whichever was later.
    SteadyTimePoint lastProgressAt() const { return lastProgressAt_; }

    // Returns why there is no complete response. Precondition: the connection was reported as broken.
    ResponseFault responseFault() const { return responseFault_; }

    // Closes the connection and reports it as broken.
    void closeAsBroken(ResponseFault fault);

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;
    enum class ParseProgress { incomplete, interim, complete, malformed };

    void onConnected() override { observer_.onConnected(attempt_); }
    void onReceived() override;
    void onEndOfStream() override;
    void onClosed() override { observer_.onBroken(self()); }

    void expectResponse();
    ParseProgress parseInput();
    void limitReceiveTime();
    void finishResponse();
    void chargeMemory();
    std::shared_ptr<UpstreamConnection> self() {
        return std::static_pointer_cast<UpstreamConnection>(shared_from_this());
    }

    UpstreamConnectionObserver& observer_;
    TimerQueue& timers_;
    std::shared_ptr<std::size_t> connectionCount_;  // shared, as pending handlers can outlive the runner
    AttemptId attempt_ = AttemptId::none;
    std::uint64_t bytesWrittenBefore_ = 0;         // bytesWritten() at the start of the attempt's request
    std::uint64_t responseNumber_ = 0;             // of the current response
    std::uint64_t timeLimitedResponseNumber_ = 0;  // of the latest response with a time limit
    int interimResponses_ = 0;                     // before the current response
    std::optional<Parser> parser_;                 // empty while no attempt is assigned
    ResponseFault responseFault_ = ResponseFault::reset;
    SteadyTimePoint lastProgressAt_{};
    MemoryCharge memory_;  // of the buffers and the incomplete response
};

}  // namespace gateway::net
