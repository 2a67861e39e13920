// Applies the updates of discovery to the endpoint set, and opens the watch on discovery: with
// DiscoveryMode::poll after the first successful update, and in both modes some time after a failed one.
#pragma once

#include "decision/engine/event_context.h"
#include "decision/upstream/concurrency_limiter.h"
#include "decision/upstream/endpoint_set.h"
#include "gateway/settings.h"

namespace gateway {

class EndpointWatch {
public:
    // All arguments must outlive the watch.
    EndpointWatch(const Settings& settings, EndpointSet& endpoints, ConcurrencyLimiter& limiter);

    // Applies the update. A failed update leaves the set unchanged and schedules a retry of the watch.
    void onEndpointUpdate(EventContext& context, const EndpointUpdate& update);

    // Opens the watch again after a failed update.
    static void onRetryDue(EventContext& context);

private:
    void scheduleRetry(EventContext& context) const;
    void openWatchOnce(EventContext& context);

    const Settings& settings_;
    EndpointSet& endpoints_;
    ConcurrencyLimiter& limiter_;
    bool watchOpened_ = false;  // by openWatchOnce()
};

}  // namespace gateway
