// Sends attempts to endpoints, and feeds their outcomes back to the modules that choose and limit them.
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
                      RetryPolicy& retries);

    // Sends the next attempt of the request. False when the time is up, the concurrency limit is reached or
    // no endpoint may receive it; then nothing was changed for the request.
    bool trySend(EventContext& context, Request& request);

    // Ends an attempt of the request that is in flight, and learns from its outcome. Precondition:
    // `ended.attempt` is the position of that attempt.
    void recordEnd(Request& request, const AttemptEnded& ended, TimePoint now);

private:
    void observe(const Request& request, const AttemptEnded& ended, Endpoint& endpoint, TimePoint now);

    LatencyStats& latency_;
    EndpointStats& stats_;
    SlowStart& slowStart_;
    ConcurrencyLimiter& limiter_;
    EndpointSet& endpoints_;
    EndpointPicker& picker_;
    RetryPolicy& retries_;
};

}  // namespace gateway
