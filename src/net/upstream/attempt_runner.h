// Runs attempts: sends each attempt to its endpoint and reports the result.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <unordered_map>

#include "net/transport/clock.h"
#include "net/transport/tcp_connection.h"
#include "net/transport/timer_queue.h"
#include "net/upstream/attempt.h"
#include "net/upstream/idle_connection_pool.h"
#include "net/upstream/response_fault_log.h"
#include "net/upstream/upstream_connection.h"
#include "net/upstream/upstream_endpoint.h"

namespace gateway::net {

// An attempt uses an idle connection if there is one, and a new connection otherwise. It is sent at most
// once. It ends when its response is complete, its connection fails, its timeout expires or it is cancelled,
// whichever happens first. If messages take more memory than allowed, the attempts fail whose responses have
// been incomplete longest.
class AttemptRunner final : private UpstreamConnectionObserver {
public:
    struct Limits {
        std::size_t maxConnections = 256;               // over all endpoints, including idle connections
        std::size_t messageBytes = 64UL * 1024 * 1024;  // of incomplete responses and unwritten requests
        Duration connectTimeout{};                      // 0: only the attempt's timeout applies
        Duration drainGracePeriod{};            // during which attempts are sent to a draining endpoint
        ReclaimDescriptor reclaimDescriptor{};  // called if no socket can be opened
    };
    struct Hooks {
        // Called once for each attempt when it ends, possibly before start() returns.
        std::function<void(AttemptId, AttemptResult&&)> onEnded;
        // Called when a new connection is established, before the attempt is written to it. May cancel the
        // attempt.
        std::function<void(AttemptId)> onNewConnection;
        // Returns whether to send the attempt. If false, it ends as Outcome::notSent. Called after
        // onNewConnection. Not called for an attempt on an idle connection.
        std::function<bool(AttemptId)> shouldSendOnNewConnection;
    };
    struct Options {
        Duration timeout{};       // for the complete response
        Duration maxSendDelay{};  // the request is not sent later than this; 0: no limit
    };

    // `ioContext`, `timers` and `idleConnections` must outlive the runner. `ioContext` must not run a handler
    // after the runner is destroyed.
    AttemptRunner(boost::asio::io_context& ioContext, TimerQueue& timers, IdleConnectionPool& idleConnections,
                  const Limits& limits, Hooks hooks);

    // Starts an attempt. `endpoint` is null if discovery does not list it. Precondition: `id` was not used
    // before. The attempt ends at once as Outcome::notSent if its endpoint is not listed, if the endpoint's
    // drain grace period is over, if `options.timeout` is 0 or less, or if all connections are in use.
    void start(AttemptId id, std::shared_ptr<UpstreamEndpoint> endpoint, const Options& options,
               std::shared_ptr<const ForwardedRequest> request);

    // Ends an attempt as Outcome::cancelled, or as Outcome::notSent if its request has not been sent
    // completely. Has no effect if the attempt has ended.
    void cancel(AttemptId id);

    // Cancels an attempt if its request has not been sent completely, for example while the connection is
    // being established.
    void cancelUnsent(AttemptId id);

private:
    using ConnectionPtr = std::shared_ptr<UpstreamConnection>;

    struct Attempt {
        std::shared_ptr<UpstreamEndpoint> endpoint;
        std::shared_ptr<const ForwardedRequest> request;
        SteadyTimePoint startedAt{};
        SteadyTimePoint timeoutAt{};
        SteadyTimePoint sendDeadline{};
        ConnectionPtr connection;
        TimerQueue::Token timeoutTimer = 0;
    };

    void onConnected(AttemptId id) override;
    void onResponse(AttemptId id, AttemptResult&& result, bool isReusable) override;
    void onBroken(const ConnectionPtr& connection) override;
    void onUnexpectedInput(const ConnectionPtr& connection) override;
    void onMemoryExceeded() override;

    bool canStart(const Attempt& attempt) const;
    bool makeRoomForConnection();
    void connect(Attempt& attempt, AttemptId id, Duration timeout);
    static void send(const Attempt& attempt);
    void expire(AttemptId id);
    void finish(AttemptId id, AttemptResult&& result);
    void finish(AttemptId id, Outcome outcome);

    boost::asio::io_context& ioContext_;
    TimerQueue& timers_;
    IdleConnectionPool& idleConnections_;
    Limits limits_;
    Hooks hooks_;
    ResponseFaultLog responseFaultLog_;
    std::unordered_map<AttemptId, Attempt> attempts_;  // in flight
    std::shared_ptr<std::size_t> connectionCount_ = std::make_shared<std::size_t>(0);
    std::shared_ptr<MemoryBudget> memoryBudget_;
};

}  // namespace gateway::net
