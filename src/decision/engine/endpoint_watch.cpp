#include "decision/engine/endpoint_watch.h"

#include <algorithm>
#include <chrono>

namespace gateway {
namespace {

// Retries within the max poll interval while discovery can't be reached.
constexpr int kRetriesPerPollInterval = 8;
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(200);

}  // namespace

EndpointWatch::EndpointWatch(const Settings& settings, EndpointSet& endpoints, ConcurrencyLimiter& limiter)
    : settings_(settings), endpoints_(endpoints), limiter_(limiter) {}

void EndpointWatch::onEndpointUpdate(EventContext& context, const EndpointUpdate& update) {
    if (update.kind == UpdateKind::failed) {
        scheduleRetry(context);
        return;
    }
    if (settings_.discovery == DiscoveryMode::poll) openWatchOnce(context);
    endpoints_.apply(update, context.now);
    limiter_.initializeLimit(endpoints_.endpointCount());
}

void EndpointWatch::onRetryDue(EventContext& context) {
    context.emit(WatchEndpoints{});
}

void EndpointWatch::scheduleRetry(EventContext& context) const {
    const Duration delay = settings_.maxPollInterval / kRetriesPerPollInterval;
    context.setTimer(DiscoveryRetryDue{}, std::max(delay, kMinRetryDelay));
}

void EndpointWatch::openWatchOnce(EventContext& context) {
    if (watchOpened_) return;
    watchOpened_ = true;
    context.emit(WatchEndpoints{});
}

}  // namespace gateway
