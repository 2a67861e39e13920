// One connection to an endpoint. It carries one attempt at a time.
#pragma once

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

#include "net/transport/tcp_connection.h"
#include "net/transport/timer_queue.h"
#include "net/upstream/attempt.h"

namespace gateway::net {

class UpstreamConnection;

// Learns what happens on upstream connections. Calls come from the event loop, and within connect() never.
class UpstreamConnectionObserver {
public:
    UpstreamConnectionObserver() = default;
    UpstreamConnectionObserver(const UpstreamConnectionObserver&) = delete;
    UpstreamConnectionObserver& operator=(const UpstreamConnectionObserver&) = delete;
    virtual ~UpstreamConnectionObserver() = default;

    // The connection is up, and the attempt can be written on it.
    virtual void onConnected(AttemptId attempt) = 0;

    // A complete response came. `isReusable`: the connection may carry another attempt. If not, it is closed
    // after this call.
    virtual void onResponse(AttemptId attempt, AttemptResult&& result, bool isReusable) = 0;

    // The connection failed or ended, or a malformed response came on it. It is closed. Its attempt is still
    // assigned, or AttemptId::none if it was idle.
    virtual void onBroken(const std::shared_ptr<UpstreamConnection>& connection) = 0;

    // Bytes came while the connection was idle. It is still open.
    virtual void onUnexpectedInput(const std::shared_ptr<UpstreamConnection>& connection) = 0;
};

class UpstreamConnection final : public TcpConnection {
public:
    // `observer` and `timers` must outlive the connection's being open. `openConnections` is incremented for
    // the lifetime of this object.
    UpstreamConnection(boost::asio::io_context& ioContext, UpstreamConnectionObserver& observer,
                       TimerQueue& timers, std::shared_ptr<std::size_t> openConnections);
    ~UpstreamConnection() override;
    UpstreamConnection(const UpstreamConnection&) = delete;
    UpstreamConnection& operator=(const UpstreamConnection&) = delete;

    // Assigns the connection to an attempt until its response is complete. Precondition: no attempt is
    // assigned.
    void assign(AttemptId attempt);
    AttemptId attempt() const { return attempt_; }

    // Writes the request of the assigned attempt, once. `timeout` is sent to the endpoint, as 1 ms at least.
    // Precondition: the connection is open.
    void write(const ForwardedRequest& request, std::chrono::milliseconds timeout);

    // Whether the last byte of the attempt's request was handed to the kernel. If so, the endpoint may run
    // it.
    bool isRequestWritten() const { return written() > writtenBefore_ && allWritten(); }

    // Whether it carried an attempt before this one.
    bool isReused() const { return writtenBefore_ > 0; }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;
    enum class ParseProgress { incomplete, interim, complete, malformed };

    void onConnected() override { observer_.onConnected(attempt_); }
    void onReceived() override;
    void onClosed() override { observer_.onBroken(self()); }

    void expectResponse();
    ParseProgress parseInput();
    void limitResponseTime();
    void finishResponse();
    void closeAsBroken();
    std::shared_ptr<UpstreamConnection> self() {
        return std::static_pointer_cast<UpstreamConnection>(shared_from_this());
    }

    UpstreamConnectionObserver& observer_;
    TimerQueue& timers_;
    std::shared_ptr<std::size_t> openConnections_;  // may outlive its owner in the loop's last handlers
    AttemptId attempt_ = AttemptId::none;
    std::uint64_t writtenBefore_ = 0;              // bytes, before the attempt's request
    std::uint64_t responseNumber_ = 0;             // of the response in hand
    std::uint64_t timeLimitedResponseNumber_ = 0;  // of the latest response whose remainder has a time limit
    int interimResponses_ = 0;                     // ahead of the response in hand
    std::optional<Parser> parser_;                 // empty while the connection is idle
};

}  // namespace gateway::net
