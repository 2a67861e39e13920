// The endpoints of the gateway, the connections to them and the attempts on them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>

#include "net/discovery/endpoint_list.h"
#include "net/transport/tcp_connection.h"
#include "net/transport/timer_queue.h"
#include "net/upstream/attempt.h"
#include "net/upstream/attempt_runner.h"
#include "net/upstream/idle_connection_pool.h"
#include "net/upstream/upstream_endpoint_table.h"

namespace gateway::net {

class UpstreamClient {
public:
    struct Limits {
        std::size_t maxConnections = 256;               // over all endpoints
        std::size_t messageBytes = 64UL * 1024 * 1024;  // of incomplete responses and unwritten requests
        Duration connectTimeout{};                      // 0: only the attempt's timeout applies
        Duration keepAlive{};                   // endpoints close connections that were idle this long
        Duration drainGracePeriod{};            // during which attempts are sent to a draining endpoint
        Duration reuseDelay{};                  // before a connection is used again after a response
        ReclaimDescriptor reclaimDescriptor{};  // called if no socket can be opened
    };
    using Hooks = AttemptRunner::Hooks;
    using AttemptOptions = AttemptRunner::Options;

    // `ioContext` and `timers` must outlive the client. `ioContext` must not run a handler after the client
    // is destroyed.
    UpstreamClient(boost::asio::io_context& ioContext, TimerQueue& timers, const Limits& limits, Hooks hooks);
    UpstreamClient(const UpstreamClient&) = delete;
    UpstreamClient& operator=(const UpstreamClient&) = delete;
    ~UpstreamClient() = default;

    // Applies an endpoint list of discovery. Attempts in flight continue, even on an endpoint that was
    // removed.
    void update(const EndpointList& list);

    // Starts an attempt: see AttemptRunner::start(). The attempt ends at once as Outcome::notSent if the
    // endpoint is not listed.
    void start(AttemptId id, const EndpointId& endpoint, const AttemptOptions& options,
               std::shared_ptr<const ForwardedRequest> request);

    // Cancels an attempt. Has no effect if the attempt has ended.
    void cancel(AttemptId id);

    // Cancels an attempt if its request has not been sent completely, for example while the connection is
    // being established.
    void cancelUnsent(AttemptId id);

    // Closes the connection that has been idle longest. Returns false if there is none.
    bool evictIdleConnection();

private:
    IdleConnectionPool idleConnections_;
    UpstreamEndpointTable endpoints_;
    AttemptRunner attemptRunner_;
};

}  // namespace gateway::net
