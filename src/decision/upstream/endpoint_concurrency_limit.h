// Counts and limits this gateway's attempts in flight at one endpoint.
#pragma once

#include "decision/upstream/attempt_sample.h"
#include "gateway/types.h"

namespace gateway {

// Invariants: the number of attempts in flight is never negative; the limit never falls below one attempt.
class EndpointConcurrencyLimit {
public:
    // `maxInFlight`: initial limit in attempts, at least 1.
    explicit EndpointConcurrencyLimit(double maxInFlight) : maxInFlight_(maxInFlight) {}

    // Whether one more attempt is within the limit.
    bool hasCapacity() const { return inFlight_ + 1 <= maxInFlight_; }

    int inFlight() const { return inFlight_; }
    double maxInFlight() const { return maxInFlight_; }

    void beginAttempt() { ++inFlight_; }

    // Precondition: an attempt is in flight.
    void endAttempt() { --inFlight_; }

    // Adapts the limit to the outcome of an attempt. A sign of overload lowers the limit, at most once per
    // mean response time. A complete, unstreamed response without such a sign raises it while the limit is
    // nearly reached.
    void observe(const AttemptSample& sample, TimePoint now);

    // Resets the limit to `maxInFlight`. Attempts in flight remain counted until they end.
    void reset(double maxInFlight);

private:
    bool isNearlyUsedUp() const { return inFlight_ + 1 >= maxInFlight_ - 1; }

    int inFlight_ = 0;
    double maxInFlight_;
    TimePoint loweredAt_{};
};

}  // namespace gateway
