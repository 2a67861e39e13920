// Sends attempts to endpoints, and reports their outcomes to the modules that choose and limit them.
#pragma once

#include "decision/engine/event_context.h"
#include "decision/engine/request.h"
#include "decision/upstream/concurrency_limiter.h"
#include "decision/upstream/endpoint_picker.h"
#include "decision/upstream/endpoint_set.h"
#include "decision/upstream/endpoint_stats.h"
#include "decision/upstream/latency_stats.h"
#include "decision/upstream/retry_policy.h"
#include "decision/upstream/slow_start.h"

namespace gateway {

class AttemptDispatcher {
public:
    // All arguments must outlive the dispatcher.
    AttemptDispatcher(LatencyStats& latency, EndpointStats& stats, SlowStart& slowStart,
                      ConcurrencyLimiter& limiter, EndpointSet& endpoints, EndpointPicker& picker,
                      RetryPolicy& retryPolicy);

    // Sends the next attempt of the request and returns true. Returns false and leaves the request unchanged
    // if its time is up, the concurrency limit is reached or no endpoint may receive the attempt.
    bool trySend(EventContext& context, Request& request);

    // Records the end of an attempt in the request and in the statistics and limits of its endpoint.
    // Precondition: `ended.attempt` is the position of an attempt of the request that is in flight.
    void recordEnd(Request& request, const AttemptEnded& ended, TimePoint now);

private:
    void observe(const Request& request, const AttemptEnded& ended, Endpoint& endpoint, TimePoint now);

    LatencyStats& latency_;
    EndpointStats& stats_;
    SlowStart& slowStart_;
    ConcurrencyLimiter& limiter_;
    EndpointSet& endpoints_;
    EndpointPicker& picker_;
    RetryPolicy& retryPolicy_;
};

}  // namespace gateway
