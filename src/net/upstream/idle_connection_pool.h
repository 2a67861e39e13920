// A pool of the idle connections to all endpoints.
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

// Holds the connections that no attempt uses. A connection is not reused within `reuseDelay` after a
// response, so that an unsolicited response is detected before it can be mistaken for the response to the
// next request. A connection that has been idle for half of the endpoints' keep-alive time is not reused and
// is closed soon after, so that no request is written to a connection that the endpoint is closing.
class IdleConnectionPool {
public:
    using ConnectionPtr = std::shared_ptr<UpstreamConnection>;

    struct Limits {
        Duration keepAlive{};   // endpoints close connections that were idle this long; above 0
        Duration reuseDelay{};  // before a connection is used again after a response
    };

    // `timers` must outlive the pool. It must not run a timer after the pool is destroyed.
    IdleConnectionPool(TimerQueue& timers, const Limits& limits);

    // The pool identifies an endpoint by the pointer to its UpstreamEndpoint. An endpoint must not be
    // destroyed while the pool holds connections to it: call closeAll() first.

    // Adds a connection that became idle at `idleSince`. Precondition: connections to one endpoint are added
    // in the order of `idleSince`.
    void add(const UpstreamEndpoint& endpoint, ConnectionPtr connection, SteadyTimePoint idleSince);

    // Removes and returns the most recently used connection that is usable now, or null if there is none.
    // Closes the unusable connections that it finds.
    ConnectionPtr take(const UpstreamEndpoint& endpoint);

    // Closes the connection and removes it from the pool, if the pool holds it.
    void close(const ConnectionPtr& connection);

    void closeAll(const UpstreamEndpoint& endpoint);

    // Closes the connection, among those to all endpoints, that has been idle longest. Returns false if the
    // pool is empty.
    bool evictLongestIdle();

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
