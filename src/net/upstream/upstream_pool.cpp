#include "net/upstream/upstream_pool.h"

#include <utility>

namespace gateway::net {
namespace {

IdleConnectionPool::Limits idleLimits(const UpstreamPool::Limits& limits) {
    return {limits.keepAlive, limits.reuseDelay};
}

AttemptRunner::Limits attemptLimits(const UpstreamPool::Limits& limits) {
    return {limits.maxConnections, limits.connectTimeout, limits.drainGracePeriod, limits.reclaimDescriptor};
}

}  // namespace

UpstreamPool::UpstreamPool(boost::asio::io_context& ioContext, TimerQueue& timers, const Limits& limits,
                           Hooks hooks)
    : idleConnections_(timers, idleLimits(limits)),
      endpoints_([this](const UpstreamEndpoint& endpoint) { idleConnections_.closeAll(endpoint); }),
      attempts_(ioContext, timers, idleConnections_, attemptLimits(limits), std::move(hooks)) {}

void UpstreamPool::update(const EndpointList& list) {
    endpoints_.update(list);
}

void UpstreamPool::start(AttemptId id, const EndpointId& endpoint, const AttemptOptions& options,
                         std::shared_ptr<const ForwardedRequest> request) {
    attempts_.start(id, endpoints_.find(endpoint), options, std::move(request));
}

void UpstreamPool::cancel(AttemptId id) {
    attempts_.cancel(id);
}

void UpstreamPool::cancelUnsent(AttemptId id) {
    attempts_.cancelUnsent(id);
}

bool UpstreamPool::evictIdleConnection() {
    return idleConnections_.evictOldest();
}

}  // namespace gateway::net
