// Load and speed of one endpoint, as its reports and responses show them.
#pragma once

#include "decision/upstream/attempt_sample.h"
#include "gateway/types.h"

namespace gateway {

// Invariants: the estimate of other gateways' attempts is never negative; the slowness stays within 0 and
// the upper bound for one sample.
class EndpointLoad {
public:
    // Takes in the number of requests in flight that the endpoint reports, over all gateways.
    // `ownInFlight`: attempts of this gateway among them.
    void recordReport(double reportedInFlight, int ownInFlight);

    // Takes in the latency of a finished attempt. An attempt without a latency changes only the time of the
    // latest outcome.
    void recordAttempt(const AttemptSample& sample, TimePoint now);

    // Estimate of the attempts that the other gateways have in flight at the endpoint.
    double remoteInFlight() const { return remoteInFlight_; }

    // Mean latency of the endpoint, in mean latencies of the requests' classes. 1: as fast as the fleet.
    double slowness() const { return slowness_; }

    // Time of the latest outcome; the epoch if there was none.
    TimePoint observedAt() const { return observedAt_; }

private:
    double remoteInFlight_ = 0;
    double slowness_ = 1;
    TimePoint observedAt_{};
};

}  // namespace gateway
