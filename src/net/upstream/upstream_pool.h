// Connections to the endpoints and the attempts on them. One attempt a connection at a time; nothing is
// resent.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "gateway/events.h"
#include "net/discovery/endpoint_list.h"
#include "net/transport/tcp_connection.h"
#include "net/transport/timer_queue.h"

namespace gateway::net {

// What of a request goes to an endpoint, unchanged.
struct Forwarded {
    std::string method, target, host, id, key, body;
};

struct AttemptResult {
    Outcome outcome = Outcome::reset;
    Duration elapsed{};
    std::optional<LoadReport> report;
    std::optional<double> meteredPercent;  // the tenant's use, where the endpoint told it
    std::optional<double> trueCost;        // of a 200: what the request cost in the end
    std::string contentType, body;         // of a 200
};

class UpstreamConnection;

class UpstreamPool {
public:
    struct Limits {
        std::size_t connections = 256;  // over all endpoints
        Duration connect{}, keepAlive{}, drainGracePeriod{};
        Duration reuseDelay{};                  // of a connection after an answer
        ReclaimDescriptor reclaimDescriptor{};  // where the process has no descriptor left
    };
    using Number = std::uint64_t;
    struct Hooks {
        std::function<void(Number, AttemptResult&&)> done;
        // Asked before an attempt is written on a connection that has just come up; false: it never begins.
        // May cancel the attempt itself.
        std::function<bool(Number)> wanted;
    };

    UpstreamPool(boost::asio::io_context& io, TimerQueue& timers, const Limits& limits, Hooks hooks);
    ~UpstreamPool();

    void update(const EndpointList& list);
    // Every attempt ends with one call of Hooks::done, at the earliest within this call. Where `beginWithin`
    // is not 0 nothing is written after that time.
    void start(Number attempt, const std::string& endpoint, Duration timeout, Duration beginWithin,
               std::shared_ptr<const Forwarded> request);
    void cancel(Number attempt);
    // Gives up one that has not gone out whole, as while its connection comes up: it never begins.
    void cancelUnsent(Number attempt);
    // Ends the connection that has been idle the longest; false where none is.
    bool reclaimDescriptor();
    std::size_t connections() const { return *connections_; }

private:
    friend class UpstreamConnection;
    using Moment = std::chrono::steady_clock::time_point;
    using ConnectionPtr = std::shared_ptr<UpstreamConnection>;

    struct Endpoint {
        tcp::endpoint address;
        Time startedAt{};
        Moment leavingSince = Moment::max();  // told that it drains or is gone
        Moment heardAt{};                     // its latest answer
        std::vector<ConnectionPtr> idle;      // the one used last at the back
    };
    struct Attempt {
        std::shared_ptr<Endpoint> endpoint;  // may have left the list
        std::shared_ptr<const Forwarded> request;
        Moment began, until, beginBy;
        ConnectionPtr link;
        TimerQueue::Token timer = 0;
    };

    bool maySend(const Endpoint& w) const;
    static bool sentWhole(const UpstreamConnection& link);
    void leave(Endpoint& w);
    ConnectionPtr checkOut(Endpoint& w);
    void dropIdle(Endpoint& w);
    void write(Attempt& a);
    void expire(Number attempt);
    void finish(Number attempt, AttemptResult&& result);
    void sweep();

    void connected(Number attempt);
    void answered(Number attempt, AttemptResult&& result, bool reusable);
    void broken(const ConnectionPtr& link);
    void discard(const ConnectionPtr& link);

    boost::asio::io_context& io_;
    TimerQueue& timers_;
    Limits limits_;
    Hooks hooks_;
    std::unordered_map<std::string, std::shared_ptr<Endpoint>> endpoints_;
    std::unordered_map<Number, Attempt> attempts_;
    std::shared_ptr<std::size_t> connections_ = std::make_shared<std::size_t>(0);
    bool sweeping_ = false;
};

}  // namespace gateway::net
