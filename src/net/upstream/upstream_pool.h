// The connections to all endpoints, and the attempts on them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "net/discovery/endpoint_list.h"
#include "net/transport/timer_queue.h"
#include "net/upstream/attempt.h"
#include "net/upstream/upstream_connection.h"

namespace gateway::net {

class UpstreamPool final : private UpstreamConnection::Owner {
public:
    struct Limits {
        std::size_t connections = 256;  // over all endpoints
        Duration connectTimeout{};      // 0: the attempt's own
        Duration keepAlive{};           // after which endpoints close an idle connection
        Duration drainGracePeriod{};
        Duration reuseDelay{};                  // of a connection after a response
        ReclaimDescriptor reclaimDescriptor{};  // where the process has no descriptor left
    };
    struct Hooks {
        std::function<void(AttemptId, AttemptResult&&)> onEnded;
        // Asked before an attempt is written on a connection that has just come up; false: it never begins.
        // May cancel the attempt itself.
        std::function<bool(AttemptId)> isWanted;
    };

    // `io` and `timers` must outlive the pool.
    UpstreamPool(boost::asio::io_context& io, TimerQueue& timers, const Limits& limits, Hooks hooks);

    // Takes in what discovery reported.
    void update(const EndpointList& list);

    // Every attempt ends with one call of Hooks::onEnded, at the earliest within this call. Where
    // `beginWithin` is not 0 nothing is written after that time.
    void start(AttemptId id, const EndpointId& endpointId, Duration timeout, Duration beginWithin,
               std::shared_ptr<const ForwardedRequest> request);

    void cancel(AttemptId id);

    // Cancels an attempt that has not gone out whole, as while its connection comes up: it never begins.
    void cancelUnsent(AttemptId id);

    // Ends the connection that has been idle the longest; false where none is.
    bool evictIdleConnection();

private:
    using Moment = std::chrono::steady_clock::time_point;
    using ConnectionPtr = std::shared_ptr<UpstreamConnection>;

    struct Endpoint {
        tcp::endpoint address;
        TimePoint startedAt{};
        Moment leavingSince = Moment::max();  // discovery reported that it drains or was removed
        Moment heardAt{};                     // its latest response
        std::vector<ConnectionPtr> idle;      // the one used last at the back
    };
    struct Attempt {
        std::shared_ptr<Endpoint> endpoint;  // may have left the list
        std::shared_ptr<const ForwardedRequest> request;
        Moment began;
        Moment until;
        Moment beginBy;
        ConnectionPtr connection;
        TimerQueue::Token timer = 0;
    };

    void onConnected(AttemptId id) override;
    void onResponse(AttemptId id, AttemptResult&& result, bool reusable) override;
    void onBroken(const ConnectionPtr& connection) override;
    void onUnexpectedInput(const ConnectionPtr& connection) override;

    void removeMissing(const EndpointList& list);
    void updateEndpoint(const ResolvedEndpoint& listed);
    bool maySend(const Endpoint& endpoint) const;
    static void markLeaving(Endpoint& endpoint);
    static void closeIdle(Endpoint& endpoint);
    ConnectionPtr takeIdle(Endpoint& endpoint) const;
    void connect(Attempt& attempt, AttemptId id, Duration timeout);
    static void write(const Attempt& attempt);
    void expire(AttemptId id);
    void finish(AttemptId id, AttemptResult&& result);
    void closeOldIdle();
    void scheduleCloseOldIdle();
    Moment oldestReusable() const;

    boost::asio::io_context& io_;
    TimerQueue& timers_;
    Limits limits_;
    Hooks hooks_;
    std::unordered_map<EndpointId, std::shared_ptr<Endpoint>> endpoints_;
    std::unordered_map<AttemptId, Attempt> attempts_;
    std::shared_ptr<std::size_t> openConnections_ = std::make_shared<std::size_t>(0);
    bool sweepScheduled_ = false;
};

}  // namespace gateway::net
