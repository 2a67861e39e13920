// The idle connections to all endpoints.
#pragma once

#include <memory>
#include <unordered_map>
#include <vector>

#include "gateway/types.h"
#include "net/transport/clock.h"
#include "net/transport/timer_queue.h"
#include "net/upstream/upstream_connection.h"
#include "net/upstream/upstream_endpoint.h"

namespace gateway::net {

// Holds connections between two attempts. A connection has a cool-down before reuse, since a surplus response
// could be taken for the next request's. It is closed after half of the endpoints' keep-alive time, so that
// no request is written to a connection that its endpoint is closing.
class IdleConnectionPool {
public:
    using ConnectionPtr = std::shared_ptr<UpstreamConnection>;

    struct Limits {
        Duration keepAlive{};   // after which endpoints close an idle connection; above 0
        Duration reuseDelay{};  // cool-down after a response
    };

    // `timers` must outlive the pool, and the pool the timers' last run.
    IdleConnectionPool(TimerQueue& timers, const Limits& limits);

    // An endpoint is identified by its object. Precondition of its destruction: none of its connections is in
    // the pool, as after closeAll().

    // Adds a connection that became idle at `idleSince`. Precondition: connections to one endpoint are added
    // in the order of `idleSince`.
    void add(const UpstreamEndpoint& endpoint, ConnectionPtr connection, SteadyTimePoint idleSince);

    // Removes and returns the most recently used connection that can carry a request now, or null if there is
    // none. Closes the connections that it finds unusable.
    ConnectionPtr take(const UpstreamEndpoint& endpoint);

    // Closes the connection, and removes it if it is in the pool.
    void close(const ConnectionPtr& connection);

    void closeAll(const UpstreamEndpoint& endpoint);

    // Closes the connection that has been idle longest, over all endpoints. Returns false if there is none.
    bool evictOldest();

private:
    struct IdleConnection {
        ConnectionPtr connection;
        SteadyTimePoint idleSince;
    };
    using IdleConnections = std::vector<IdleConnection>;  // the most recently used at the back

    bool isExpired(const IdleConnection& idle, SteadyTimePoint now) const;
    void closeExpired();
    void scheduleCloseExpired();

    TimerQueue& timers_;
    Limits limits_;
    Duration maxIdleTime_;
    std::unordered_map<const UpstreamEndpoint*, IdleConnections> connections_;
    bool isCloseScheduled_ = false;
};

}  // namespace gateway::net
