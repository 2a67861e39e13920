// Keeps the endpoint set up to date from what discovery reports, and asks for the watch where it is polled.
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

    // Applies the update. A failed one leaves the set as it is and schedules another try.
    void onEndpointUpdate(EventContext& context, const EndpointUpdate& update);

    // Opens the watch again.
    static void onRetryDue(EventContext& context);

private:
    void scheduleRetry(EventContext& context) const;
    void startOnce(EventContext& context);

    const Settings& settings_;
    EndpointSet& endpoints_;
    ConcurrencyLimiter& limiter_;
    bool started_ = false;
};

}  // namespace gateway
