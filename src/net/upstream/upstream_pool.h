// The gateway's side towards its endpoints: which there are, the connections to them and the attempts on
// them.
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

class UpstreamPool {
public:
    struct Limits {
        std::size_t connections = 256;          // max, over all endpoints
        Duration connectTimeout{};              // 0: the attempt's timeout alone limits connecting
        Duration keepAlive{};                   // after which endpoints close an idle connection
        Duration drainGracePeriod{};            // during which a draining endpoint is sent attempts
        Duration reuseDelay{};                  // cool-down of a connection after a response
        ReclaimDescriptor reclaimDescriptor{};  // for when the process has no descriptor left
    };
    using Hooks = AttemptRunner::Hooks;
    using AttemptOptions = AttemptRunner::Options;

    // `ioContext` and `timers` must outlive the pool, and the pool every handler that `ioContext` runs.
    UpstreamPool(boost::asio::io_context& ioContext, TimerQueue& timers, const Limits& limits, Hooks hooks);
    UpstreamPool(const UpstreamPool&) = delete;
    UpstreamPool& operator=(const UpstreamPool&) = delete;
    ~UpstreamPool() = default;

    // Applies a list of discovery's. Attempts in flight go on, even on an endpoint that was removed.
    void update(const EndpointList& list);

    // Starts an attempt, as AttemptRunner::start() does. It ends at once as Outcome::notSent if the endpoint
    // is not listed.
    void start(AttemptId id, const EndpointId& endpoint, const AttemptOptions& options,
               std::shared_ptr<const ForwardedRequest> request);

    // Cancels an attempt. Has no effect on one that has ended.
    void cancel(AttemptId id);

    // Cancels an attempt if its last byte has not been sent, as while its connection is being established.
    void cancelUnsent(AttemptId id);

    // Closes the connection that has been idle longest. Returns false if there is none.
    bool evictIdleConnection();

private:
    IdleConnectionPool idle_;
    UpstreamEndpointTable endpoints_;
    AttemptRunner attempts_;
};

}  // namespace gateway::net
