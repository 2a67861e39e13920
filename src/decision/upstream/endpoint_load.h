// Load and speed of one endpoint, estimated from its load reports and response times.
#pragma once

#include "decision/upstream/attempt_sample.h"
#include "gateway/types.h"

namespace gateway {

// Invariants: the estimate of other gateways' attempts is never negative; the slowness lies between 0 and the
// upper bound for one sample.
class EndpointLoad {
public:
    // Records the number of requests in flight that the endpoint reported, over all gateways. `ownInFlight`:
    // attempts of this gateway among them.
    void recordReport(double reportedInFlight, int ownInFlight);

    // Records the latency of a finished attempt. An attempt without a latency changes only observedAt().
    void recordAttempt(const AttemptSample& sample, TimePoint now);

    // Estimate of the attempts that the other gateways have in flight at the endpoint.
    double remoteInFlight() const { return remoteInFlight_; }

    // Mean latency of the endpoint relative to the mean latency of the request class over all endpoints. 1:
    // as fast as the mean endpoint.
    double slowness() const { return slowness_; }

    // Time of the latest outcome; the epoch if there was none.
    TimePoint observedAt() const { return observedAt_; }

private:
    double remoteInFlight_ = 0;
    double slowness_ = 1;
    TimePoint observedAt_{};
};

}  // namespace gateway
