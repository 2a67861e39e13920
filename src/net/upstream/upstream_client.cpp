#include "net/upstream/upstream_client.h"

#include <utility>

namespace gateway::net {
namespace {

IdleConnectionPool::Limits idleLimits(const UpstreamClient::Limits& limits) {
    return {limits.keepAlive, limits.reuseDelay};
}

AttemptRunner::Limits attemptLimits(const UpstreamClient::Limits& limits) {
    return {limits.maxConnections, limits.messageBytes, limits.connectTimeout, limits.drainGracePeriod,
            limits.reclaimDescriptor};
}

}  // namespace

UpstreamClient::UpstreamClient(boost::asio::io_context& ioContext, TimerQueue& timers, const Limits& limits,
                               Hooks hooks)
    : idleConnections_(timers, idleLimits(limits)),
      endpoints_([this](const UpstreamEndpoint& endpoint) { idleConnections_.closeAll(endpoint); }),
      attemptRunner_(ioContext, timers, idleConnections_, attemptLimits(limits), std::move(hooks)) {}

void UpstreamClient::update(const EndpointList& list) {
    endpoints_.update(list);
}

void UpstreamClient::start(AttemptId id, const EndpointId& endpoint, const AttemptOptions& options,
                           std::shared_ptr<const ForwardedRequest> request) {
    attemptRunner_.start(id, endpoints_.find(endpoint), options, std::move(request));
}

void UpstreamClient::cancel(AttemptId id) {
    attemptRunner_.cancel(id);
}

void UpstreamClient::cancelUnsent(AttemptId id) {
    attemptRunner_.cancelUnsent(id);
}

bool UpstreamClient::evictIdleConnection() {
    return idleConnections_.evictLongestIdle();
}

}  // namespace gateway::net
