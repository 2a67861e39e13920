// Runs attempts: sends each one to its endpoint and reports its result.
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
#include "net/upstream/upstream_connection.h"
#include "net/upstream/upstream_endpoint.h"

namespace gateway::net {

// Each attempt uses an idle connection, or else a new one, and is sent once at most. It ends with its
// response, the end of its connection, its timeout or its cancellation, whichever comes first.
class AttemptRunner final : private UpstreamConnectionObserver {
public:
    struct Limits {
        std::size_t connections = 256;          // max, over all endpoints, idle ones included
        Duration connectTimeout{};              // 0: the attempt's timeout alone limits connecting
        Duration drainGracePeriod{};            // during which a draining endpoint is sent attempts
        ReclaimDescriptor reclaimDescriptor{};  // for when the process has no descriptor left
    };
    struct Hooks {
        // Called once for each attempt, at the earliest within start().
        std::function<void(AttemptId, AttemptResult&&)> onEnded;
        // Called when a new connection is up, before the attempt is written to it. May cancel the attempt.
        std::function<void(AttemptId)> beforeSend;
        // Whether the attempt is to be sent. If not, it ends as Outcome::notSent.
        std::function<bool(AttemptId)> isWanted;
    };
    struct Options {
        Duration timeout{};      // for the complete response
        Duration startWithin{};  // after which no byte of the request is sent; 0: no such limit
    };

    // `ioContext`, `timers` and `idle` must outlive the runner, and the runner every handler that `ioContext`
    // runs.
    AttemptRunner(boost::asio::io_context& ioContext, TimerQueue& timers, IdleConnectionPool& idle,
                  const Limits& limits, Hooks hooks);

    // Starts an attempt. Precondition: `id` was not used before. `endpoint` is null if it is not listed. The
    // attempt ends at once as Outcome::notSent if its endpoint is not listed or has drained, if its time is
    // over, or if every connection is in use.
    void start(AttemptId id, std::shared_ptr<UpstreamEndpoint> endpoint, const Options& options,
               std::shared_ptr<const ForwardedRequest> request);

    // Ends an attempt as Outcome::cancelled, or as Outcome::notSent if its last byte has not been sent. Has
    // no effect on one that has ended.
    void cancel(AttemptId id);

    // Cancels the attempt if its last byte has not been sent, as while its connection is being established.
    void cancelUnsent(AttemptId id);

private:
    using ConnectionPtr = std::shared_ptr<UpstreamConnection>;

    struct Attempt {
        std::shared_ptr<UpstreamEndpoint> endpoint;
        std::shared_ptr<const ForwardedRequest> request;
        SteadyTimePoint startedAt{};
        SteadyTimePoint timeoutAt{};
        SteadyTimePoint startDeadline{};
        ConnectionPtr connection;
        TimerQueue::Token timeoutTimer = 0;
    };

    void onConnected(AttemptId id) override;
    void onResponse(AttemptId id, AttemptResult&& result, bool isReusable) override;
    void onBroken(const ConnectionPtr& connection) override;
    void onUnexpectedInput(const ConnectionPtr& connection) override;

    bool canStart(const Attempt& attempt) const;
    bool hasConnectionCapacity();
    void connect(Attempt& attempt, AttemptId id, Duration timeout);
    static void send(const Attempt& attempt);
    void expire(AttemptId id);
    void finish(AttemptId id, AttemptResult&& result);
    void finish(AttemptId id, Outcome outcome);

    boost::asio::io_context& ioContext_;
    TimerQueue& timers_;
    IdleConnectionPool& idle_;
    Limits limits_;
    Hooks hooks_;
    std::unordered_map<AttemptId, Attempt> attempts_;  // in flight
    std::shared_ptr<std::size_t> openConnections_ = std::make_shared<std::size_t>(0);
};

}  // namespace gateway::net
