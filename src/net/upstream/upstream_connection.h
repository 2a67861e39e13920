// One connection to an endpoint. Carries one attempt at a time; nothing is sent again.
#pragma once

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <memory>
#include <optional>

#include "net/transport/tcp_connection.h"
#include "net/upstream/attempt.h"

namespace gateway::net {

// Numbers an attempt over all endpoints; never comes twice.
enum class AttemptId : std::uint64_t { none = 0 };

class UpstreamConnection final : public TcpConnection {
public:
    // What a connection needs of the pool that it belongs to.
    class Owner {
    public:
        Owner() = default;
        Owner(const Owner&) = delete;
        Owner& operator=(const Owner&) = delete;
        virtual ~Owner() = default;

        virtual void onConnected(AttemptId attempt) = 0;
        // A whole response. `reusable`: the connection may carry another attempt, else it is closed.
        virtual void onResponse(AttemptId attempt, AttemptResult&& result, bool reusable) = 0;
        // The connection ended, or what came on it can't be read.
        virtual void onBroken(const std::shared_ptr<UpstreamConnection>& connection) = 0;
        // Bytes came that nobody asked for.
        virtual void onUnexpectedInput(const std::shared_ptr<UpstreamConnection>& connection) = 0;
    };

    // `openConnections` is one higher while this lives. `owner` and `timers` must outlive the connection's
    // being open.
    UpstreamConnection(boost::asio::io_context& io, Owner& owner, TimerQueue& timers,
                       std::shared_ptr<std::size_t> openConnections);
    ~UpstreamConnection() override;
    UpstreamConnection(const UpstreamConnection&) = delete;
    UpstreamConnection& operator=(const UpstreamConnection&) = delete;

    // From now on the connection is that attempt's.
    void assign(AttemptId attempt);
    AttemptId attempt() const { return attempt_; }

    // Writes the attempt's request; `timeout` is sent to the endpoint.
    void write(const ForwardedRequest& request, std::chrono::milliseconds timeout);

    // The last byte of the attempt's request has gone to the kernel: it may have run.
    bool isRequestWritten() const { return written() > writtenBefore_ && allWritten(); }

    // It carried an attempt before this one.
    bool isReused() const { return writtenBefore_ > 0; }

    void setIdleSince(std::chrono::steady_clock::time_point moment) { idleSince_ = moment; }
    std::chrono::steady_clock::time_point idleSince() const { return idleSince_; }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void onConnected() override { owner_.onConnected(attempt_); }
    void onReceived() override;
    void onClosed() override { owner_.onBroken(self()); }

    void beginResponse();
    void awaitRest();
    void finishResponse();
    void breakOff();
    std::shared_ptr<UpstreamConnection> self() {
        return std::static_pointer_cast<UpstreamConnection>(shared_from_this());
    }

    Owner& owner_;
    TimerQueue& timers_;
    std::shared_ptr<std::size_t> openConnections_;  // may outlive the pool in the loop's last handlers
    AttemptId attempt_ = AttemptId::none;
    std::uint64_t writtenBefore_ = 0;  // bytes, before the attempt's request
    std::chrono::steady_clock::time_point idleSince_{};
    std::uint64_t response_ = 0;         // number of the one in hand
    std::uint64_t limitedResponse_ = 0;  // of the one whose rest has a time limit
    int interimResponses_ = 0;
    std::optional<Parser> parser_;
};

}  // namespace gateway::net
